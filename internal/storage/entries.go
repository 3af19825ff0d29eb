package storage

import (
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage/statepb"
)

// BindEntry returns the entry of a bind that is about to be sent.
func BindEntry(bind recovery.Bind) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Bind{Bind: &statepb.Bind{
		Key:           bind.Key,
		Group:         bind.Group,
		Node:          bind.Node,
		Incarnation:   bind.Incarnation,
		Workload:      bind.Workload,
		Number:        bind.Number,
		ExpiresUnixMs: bind.ExpiresAt,
	}}}
}

// ForgetEntry returns the entry of a bind that was never accepted.
func ForgetEntry(key, incarnation uint64, number uint32) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Forget{Forget: &statepb.Forget{
		Key:         key,
		Incarnation: incarnation,
		Number:      number,
	}}}
}

// RecoveredBinds returns the live binds of a directory, for the registry of the next incarnation.
func RecoveredBinds(contents *Contents) []recovery.Bind {
	binds := make([]recovery.Bind, len(contents.LiveBinds))
	for i, bind := range contents.LiveBinds {
		binds[i] = recovery.Bind{
			Key:         bind.Key,
			Group:       bind.Group,
			Node:        bind.Node,
			Incarnation: bind.Incarnation,
			Workload:    bind.Workload,
			Number:      bind.Number,
			ExpiresAt:   bind.ExpiresUnixMs,
		}
	}
	return binds
}
