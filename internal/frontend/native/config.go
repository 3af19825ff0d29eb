package native

import (
	"log/slog"

	"grebeglade/internal/frontend"
	"grebeglade/internal/recovery"
	"grebeglade/internal/replay"
	"grebeglade/placement"
)

// Config is what a Frontend is made from. It is one struct, though a large one, since the fields are set
// independently of each other.
type Config struct {
	Name             string // of the allocator, the same after a restart
	Incarnation      uint64 // grows with each start of the allocator
	Seed             uint64 // of the placement module, of backoff and of gangs
	Settings         placement.Settings
	GroupNames       []string // names of Settings.Groups, in their order
	KindNames        []string // names of Settings.NodeKinds, in their order
	Zone             string   // where the allocator runs
	DiscoveryAddress string   // of the discovery service; "" for none
	MaxWorkloads     int      // pending and placed workloads; 0 for no limit
	EventLogSize     int      // events that the event log holds; 0 for the default
	Log              *slog.Logger
	Trace            replay.Sink // receives every call of the placement module; nil for no trace
	WallClockOffset  float64     // Unix time, in ms, at which the frontend's clock was 0; needed with Trace and Journal

	Journal        BindJournal     // keeps binds after a crash; nil for none
	RecoveredBinds []recovery.Bind // what earlier incarnations left in the journal
	// AtMostOnceRetention is how long, in ms, the key of an at-most-once workload is known after its last bind.
	AtMostOnceRetention placement.Millis
	MaxDurableKeys      int // keys known at a time; 0 for no limit
}

// BindJournal makes binds durable, so that the next incarnation knows of them.
type BindJournal interface {
	// PersistBind writes a bind. It calls done once on the frontend's goroutine: with nil when the bind is durable, or
	// with the error that kept it from being written.
	PersistBind(b recovery.Bind, done func(now placement.Millis, err error))
	// ForgetBind removes a bind that its node never accepted. No caller waits until that is durable.
	ForgetBind(key, incarnation uint64, number uint32)
}

// Counters are what a Frontend counts since its start, beyond what every frontend does. They are one struct, since they
// are read together.
type Counters struct {
	frontend.Counters
	NotAdmitted      uint64 // requests rejected before they reached the engine
	DiscoveryCalls   uint64 // subscriptions sent to the discovery service
	DiscoveryEntries uint64 // node entries received from it

	Gangs          uint64 // gangs admitted
	GangsPlaced    uint64
	GangsAbandoned uint64 // gangs answered that they do not run
	GangPartStops  uint64

	DuplicateRequests   uint64 // requests received again
	UnmatchedReplies    uint64 // messages of nodes about no bind of this allocator
	BindsPersisted      uint64 // binds that were durable before their offer was sent
	BindsNotPersisted   uint64 // binds that were not sent since the journal failed
	AnsweredFromJournal uint64 // requests answered by what the journal knows of their key
}
