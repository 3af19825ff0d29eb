package simulation

import (
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage"
	"grebeglade/internal/storage/statepb"
	"grebeglade/placement"
)

// retention is how long at-most-once keys are kept: longer than any run.
const retention = placement.Millis(3600e3)

// simulatedLog is an allocator's durable state on a simulated disk. Syncs take time, writes that come meanwhile are grouped, and a
// crash loses what was not synced.
type simulatedLog struct {
	disk        *storage.MemoryDisk
	log         *storage.Log
	syncTime    placement.Millis
	syncs       bool // false to skip syncs
	now         func() placement.Millis
	schedule    func(at placement.Millis, do func(now placement.Millis))
	queue       []pendingWrite
	busy        bool
	incarnation int
}

type pendingWrite struct {
	entry   *statepb.Entry
	durable func(now placement.Millis, err error)
}

// begin opens the log for an incarnation and puts what was recovered into its configuration.
func (j *simulatedLog) begin(c *native.Config) error {
	j.disk.Recover()
	j.queue = nil
	j.busy = false
	j.incarnation++
	log, found, err := storage.Open(j.disk, &statepb.Incarnation{Number: c.Incarnation}, 1<<14, func() float64 { return float64(j.now()) })
	if err != nil {
		return err
	}
	j.log = log
	c.Journal = j
	c.AtMostOnceRetention = retention
	c.RecoveredBinds = storage.RecoveredBinds(found)
	return nil
}

// crash ends an incarnation, and drops what was not synced.
func (j *simulatedLog) crash() {
	j.incarnation++
	j.disk.Crash()
}

func (j *simulatedLog) PersistBind(b recovery.Bind, lasts func(now placement.Millis, err error)) {
	j.queue = append(j.queue, pendingWrite{storage.BindEntry(b), lasts})
	j.next()
}

func (j *simulatedLog) ForgetBind(key, incarnation uint64, number uint32) {
	j.queue = append(j.queue, pendingWrite{entry: storage.ForgetEntry(key, incarnation, number)})
	j.next()
}

// next writes all pending entries, unless a write is in progress.
func (j *simulatedLog) next() {
	if j.busy || len(j.queue) == 0 {
		return
	}
	j.busy = true
	group := j.queue
	life := j.incarnation
	j.queue = nil
	takes := j.syncTime
	if !j.syncs {
		takes = 0
	}
	j.schedule(j.now()+takes, func(now placement.Millis) {
		if j.incarnation != life {
			return
		}
		entries := make([]*statepb.Entry, len(group))
		for i, w := range group {
			entries[i] = w.entry
		}
		err := j.log.Commit(entries, j.syncs)
		j.busy = false
		for _, w := range group {
			if w.durable != nil && j.incarnation == life {
				w.durable(now, err)
			}
		}
		j.next()
	})
}
