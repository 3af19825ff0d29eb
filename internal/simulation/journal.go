package simulation

import (
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage"
	"grebeglade/internal/storage/statepb"
	"grebeglade/placement"
)

// keepState is how long days keep run-once keys: longer than any of them lasts.
const retention = placement.Millis(3600e3)

// journal is an allocator's state directory on a disk that takes its time, and that loses what was not synced when the
// allocator dies: its machine dies with it. What comes while the disk is busy is written together.
type simulatedLog struct {
	disk        *storage.MemoryDisk
	log         *storage.Log
	syncTime    placement.Millis
	syncs       bool // it waits for the disk
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

// begin starts a life: it reads what the last one left.
func (j *simulatedLog) begin(c *native.Config) error {
	j.disk.Recover()
	j.queue, j.busy = nil, false
	j.incarnation++
	log, found, err := storage.Open(j.disk, &statepb.Incarnation{Number: c.Incarnation}, 1<<14, func() float64 { return float64(j.now()) })
	if err != nil {
		return err
	}
	j.log, c.Journal, c.AtMostOnceRetention, c.RecoveredBinds = log, j, retention, storage.RecoveredBinds(found)
	return nil
}

// crash is the end of a life.
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

// next writes all that waits, unless the disk is busy.
func (j *simulatedLog) next() {
	if j.busy || len(j.queue) == 0 {
		return
	}
	j.busy = true
	group, life := j.queue, j.incarnation
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
