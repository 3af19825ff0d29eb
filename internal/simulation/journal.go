package simulation

import (
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage"
	"grebeglade/internal/storage/statepb"
	"grebeglade/placement"
)

// StateModel is how the allocators of a day keep what they must know after a crash.
type StateModel struct {
	Disk placement.Millis // that it takes to have something last; 0 for no disk
}

// keepState is how long days keep run-once keys: longer than any of them lasts.
const keepState = placement.Millis(3600e3)

// journal is an allocator's state directory on a disk that takes its time, and that loses what was not synced when the
// allocator dies: its machine dies with it. What comes while the disk is busy is written together.
type journal struct {
	disk   *storage.MemoryDisk
	log    *storage.Log
	takes  placement.Millis
	honest bool // it waits for the disk
	now    func() placement.Millis
	later  func(at placement.Millis, do func(now placement.Millis))
	queue  []write
	busy   bool
	life   int
}

type write struct {
	entry *statepb.Entry
	lasts func(now placement.Millis, err error)
}

// begin starts a life: it reads what the last one left.
func (j *journal) begin(c *native.Config) error {
	j.disk.Recover()
	j.queue, j.busy = nil, false
	j.life++
	log, found, err := storage.Open(j.disk, &statepb.Incarnation{Number: c.Incarnation}, 1<<14, func() float64 { return float64(j.now()) })
	if err != nil {
		return err
	}
	j.log, c.Journal, c.AtMostOnceRetention, c.RecoveredBinds = log, j, keepState, storage.RecoveredBinds(found)
	return nil
}

// crash is the end of a life.
func (j *journal) crash() {
	j.life++
	j.disk.Crash()
}

func (j *journal) PersistBind(b recovery.Bind, lasts func(now placement.Millis, err error)) {
	j.queue = append(j.queue, write{storage.BindEntry(b), lasts})
	j.next()
}

func (j *journal) ForgetBind(key, incarnation uint64, number uint32) {
	j.queue = append(j.queue, write{entry: storage.ForgetEntry(key, incarnation, number)})
	j.next()
}

// next writes all that waits, unless the disk is busy.
func (j *journal) next() {
	if j.busy || len(j.queue) == 0 {
		return
	}
	j.busy = true
	group, life := j.queue, j.life
	j.queue = nil
	takes := j.takes
	if !j.honest {
		takes = 0
	}
	j.later(j.now()+takes, func(now placement.Millis) {
		if j.life != life {
			return
		}
		entries := make([]*statepb.Entry, len(group))
		for i, w := range group {
			entries[i] = w.entry
		}
		err := j.log.Commit(entries, j.honest)
		j.busy = false
		for _, w := range group {
			if w.lasts != nil && j.life == life {
				w.lasts(now, err)
			}
		}
		j.next()
	})
}
