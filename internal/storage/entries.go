package storage

import (
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage/statepb"
)

// BindEntry returns the log entry to write before the offer of a bind is sent.
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

// ForgetEntry returns the log entry that removes a bind which no node has accepted.
func ForgetEntry(key, incarnation uint64, number uint32) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Forget{Forget: &statepb.Forget{
		Key:         key,
		Incarnation: incarnation,
		Number:      number,
	}}}
}

// RecoveredBinds returns the live binds in contents, as the registry of the next incarnation takes them.
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
