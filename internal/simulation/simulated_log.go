package simulation

import (
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage"
	"grebeglade/internal/storage/statepb"
	"grebeglade/placement"
)

// retention is how long, in ms, at-most-once keys are kept: longer than any run.
const retention = placement.Millis(3600e3)

// maxLogSize is the number of bytes beyond which the log of an allocator is replaced by a snapshot.
const maxLogSize = 1 << 14

// simulatedLog is an allocator's durable state on a simulated disk. Syncs take time, writes that come meanwhile are
// grouped, and a crash loses what was not synced.
type simulatedLog struct {
	disk        *storage.MemoryDisk
	log         *storage.Log
	syncTime    placement.Millis
	syncs       bool // false to skip syncs
	now         func() placement.Millis
	schedule    func(at placement.Millis, do func(now placement.Millis))
	queue       []pendingWrite
	busy        bool // a write is in progress
	incarnation int  // changes at each start and each crash
}

// pendingWrite is an entry that has not been written, and what to call once it is durable, or nil.
type pendingWrite struct {
	entry   *statepb.Entry
	durable func(now placement.Millis, err error)
}

// begin opens the log for an incarnation and puts what was recovered into its configuration.
func (l *simulatedLog) begin(config *native.Config) error {
	l.disk.Recover()
	l.queue = nil
	l.busy = false
	l.incarnation++
	unixMillis := func() float64 { return float64(l.now()) }
	header := &statepb.Incarnation{Number: config.Incarnation}
	log, found, err := storage.Open(l.disk, header, maxLogSize, unixMillis)
	if err != nil {
		return err
	}
	l.log = log
	config.Journal = l
	config.AtMostOnceRetention = retention
	config.RecoveredBinds = storage.RecoveredBinds(found)
	return nil
}

// crash ends an incarnation, and drops what was not synced.
func (l *simulatedLog) crash() {
	l.incarnation++
	l.disk.Crash()
}

// PersistBind implements native.Journal.
func (l *simulatedLog) PersistBind(bind recovery.Bind, durable func(now placement.Millis, err error)) {
	l.queue = append(l.queue, pendingWrite{entry: storage.BindEntry(bind), durable: durable})
	l.writeNext()
}

// ForgetBind implements native.Journal.
func (l *simulatedLog) ForgetBind(key, incarnation uint64, number uint32) {
	l.queue = append(l.queue, pendingWrite{entry: storage.ForgetEntry(key, incarnation, number)})
	l.writeNext()
}

// writeNext writes all pending entries in one group, unless a write is in progress.
func (l *simulatedLog) writeNext() {
	if l.busy || len(l.queue) == 0 {
		return
	}
	l.busy = true
	group := l.queue
	l.queue = nil
	duration := l.syncTime
	if !l.syncs {
		duration = 0
	}
	incarnation := l.incarnation
	l.schedule(l.now()+duration, func(now placement.Millis) {
		if l.incarnation == incarnation {
			l.commit(now, group)
		}
	})
}

// commit writes a group and reports it as durable. A call may crash the allocator; the calls after it are then dropped.
func (l *simulatedLog) commit(now placement.Millis, group []pendingWrite) {
	entries := make([]*statepb.Entry, len(group))
	for i, write := range group {
		entries[i] = write.entry
	}
	err := l.log.Commit(entries, l.syncs)
	l.busy = false
	incarnation := l.incarnation
	for _, write := range group {
		if write.durable != nil && l.incarnation == incarnation {
			write.durable(now, err)
		}
	}
	l.writeNext()
}
