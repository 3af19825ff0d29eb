package storage

import (
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage/statepb"
)

// BindEntry returns the entry of a bind that is about to be sent.
func BindEntry(b recovery.Bind) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Bind{Bind: &statepb.Bind{
		Key: b.Key, Group: b.Group, Node: b.Node, Incarnation: b.Incarnation, Workload: b.Workload, Number: b.Number,
		ExpiresUnixMs: b.ExpiresAt,
	}}}
}

// ForgetEntry returns the entry of a bind that was never accepted.
func ForgetEntry(key, incarnation uint64, number uint32) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Forget{Forget: &statepb.Forget{
		Key: key, Incarnation: incarnation, Number: number,
	}}}
}

// RecoveredBinds returns the live binds of a directory, for the registry of the next incarnation.
func RecoveredBinds(c *Contents) []recovery.Bind {
	binds := make([]recovery.Bind, len(c.LiveBinds))
	for i, b := range c.LiveBinds {
		binds[i] = recovery.Bind{
			Key: b.Key, Group: b.Group, Node: b.Node, Incarnation: b.Incarnation, Workload: b.Workload, Number: b.Number,
			ExpiresAt: b.ExpiresUnixMs,
		}
	}
	return binds
}
