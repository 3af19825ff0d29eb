package native

import (
	"log/slog"

	"grebeglade/internal/frontend"
	"grebeglade/internal/recovery"
	"grebeglade/internal/replay"
	"grebeglade/placement"
)

// Config configures a Frontend. It is one large struct because its fields are set independently of each other.
type Config struct {
	Name             string // allocator name, unchanged by a restart
	Incarnation      uint64 // increases with each start of the allocator
	Seed             uint64 // seed of the placement module, backoff and gangs
	Settings         placement.Settings
	GroupNames       []string // names of Settings.Groups, in their order
	KindNames        []string // names of Settings.NodeKinds, in their order
	Zone             string   // zone in which the allocator runs
	DiscoveryAddress string   // address of the discovery service; "" for none
	MaxWorkloads     int      // limit on pending and placed workloads; 0 for no limit
	EventLogSize     int      // capacity of the event log, in events; 0 for the default
	Log              *slog.Logger
	Trace            replay.Sink // receives a record of every placement module call; nil for no trace
	WallClockOffset  float64     // Unix time, in ms, at which the frontend's clock was 0; needed with Trace and Journal

	Journal        BindJournal     // preserves binds across a crash; nil for none
	RecoveredBinds []recovery.Bind // binds that earlier incarnations left in the journal
	// AtMostOnceRetention is how long, in ms, the key of an at-most-once workload is retained after its last bind.
	AtMostOnceRetention placement.Millis
	MaxDurableKeys      int // limit on keys retained at a time; 0 for no limit
}

// BindJournal makes binds durable, so that the next incarnation can read them.
type BindJournal interface {
	// PersistBind writes a bind. It calls done once on the frontend's goroutine: with nil when the bind is durable, or
	// with the error that kept it from being written.
	PersistBind(b recovery.Bind, done func(now placement.Millis, err error))
	// ForgetBind removes a bind that its node never accepted. It does not wait until the removal is durable.
	ForgetBind(key, incarnation uint64, number uint32)
}

// Counters holds the totals since the start of a Frontend, in addition to those that all frontends have. They are one
// struct because they are read together.
type Counters struct {
	frontend.Counters
	NotAdmitted      uint64 // requests that failed validation
	DiscoveryCalls   uint64 // subscriptions sent to the discovery service
	DiscoveryEntries uint64 // node entries received from the discovery service

	Gangs          uint64 // gangs admitted
	GangsPlaced    uint64
	GangsAbandoned uint64 // admitted gangs whose final answer was a rejection or unschedulable
	GangPartStops  uint64

	DuplicateRequests uint64 // requests received again or after their withdrawal
	UnmatchedReplies  uint64 // node messages that match no bind of this allocator, or reject an accepted one
	BindsPersisted    uint64 // binds that were durable before their offer was sent
	BindsNotPersisted uint64 // binds that were not sent because the journal failed
	// AnsweredFromJournal counts the requests that were not scheduled because a recorded bind of their key may have run
	// or the limit on keys was reached.
	AnsweredFromJournal uint64
}
