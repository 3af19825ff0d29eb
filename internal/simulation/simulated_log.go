package simulation

import (
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage"
	"grebeglade/internal/storage/statepb"
	"grebeglade/placement"
)

// retention is the time, in ms, for which at-most-once keys are kept: longer than any run.
const retention = placement.Millis(3600e3)

// maxLogSize is the size, in bytes, above which an allocator's log is replaced by a snapshot. The limit is higher if
// many binds are live.
const maxLogSize = 1 << 14

// simulatedLog is an allocator's durable state on a simulated disk. A sync takes syncTime, entries queued during a
// write are written as one group, and a crash loses all data that was not synced.
type simulatedLog struct {
	disk        *storage.MemoryDisk
	log         *storage.Log
	syncTime    placement.Millis // duration of a write with its sync
	syncEnabled bool             // false to skip syncs, which then take no time
	now         func() placement.Millis
	schedule    func(at placement.Millis, do func(now placement.Millis))
	queue       []pendingWrite
	writing     bool // a write is in progress
	incarnation int  // incremented at each start and each crash, to discard earlier scheduled writes
}

// pendingWrite is an entry in the queue, and a function to call when it is durable, or nil.
type pendingWrite struct {
	entry     *statepb.Entry
	onDurable func(now placement.Millis, err error)
}

// open opens the log for a new incarnation, and sets the journal, the retention of at-most-once keys and the recovered
// binds in its configuration.
func (l *simulatedLog) open(config *native.Config) error {
	l.disk.Recover()
	l.queue = nil
	l.writing = false
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

// crash ends an incarnation, and discards all data that was not synced.
func (l *simulatedLog) crash() {
	l.incarnation++
	l.disk.Crash()
}

// PersistBind implements native.Journal.
func (l *simulatedLog) PersistBind(bind recovery.Bind, onDurable func(now placement.Millis, err error)) {
	l.queue = append(l.queue, pendingWrite{entry: storage.BindEntry(bind), onDurable: onDurable})
	l.writeNext()
}

// ForgetBind implements native.Journal.
func (l *simulatedLog) ForgetBind(key, incarnation uint64, number uint32) {
	l.queue = append(l.queue, pendingWrite{entry: storage.ForgetEntry(key, incarnation, number)})
	l.writeNext()
}

// writeNext starts to write all queued entries as one group, unless a write is in progress.
func (l *simulatedLog) writeNext() {
	if l.writing || len(l.queue) == 0 {
		return
	}
	l.writing = true
	group := l.queue
	l.queue = nil
	duration := l.syncTime
	if !l.syncEnabled {
		duration = 0
	}
	incarnation := l.incarnation
	l.schedule(l.now()+duration, func(now placement.Millis) {
		if l.incarnation == incarnation {
			l.commit(now, group)
		}
	})
}

// commit writes a group and calls its onDurable functions. Such a call may crash the allocator; the remaining ones are
// then skipped.
func (l *simulatedLog) commit(now placement.Millis, group []pendingWrite) {
	entries := make([]*statepb.Entry, len(group))
	for i, write := range group {
		entries[i] = write.entry
	}
	err := l.log.Commit(entries, l.syncEnabled)
	l.writing = false
	incarnation := l.incarnation
	for _, write := range group {
		if write.onDurable != nil && l.incarnation == incarnation {
			write.onDurable(now, err)
		}
	}
	l.writeNext()
}
