package storage

import (
	"errors"
	"sync"

	"grebeglade/internal/recovery"
	"grebeglade/internal/storage/statepb"
)

// SyncPolicy says when what is written must last.
type SyncPolicy uint8

const (
	GroupCommit  SyncPolicy = iota // one sync for all that came while the one before was under way
	SyncPerEntry                   // a sync for each entry that is waited for
	NoSync                         // the machine's own pace: a crash of the process loses nothing, one of the machine may
)

// mostQueued is how many entries may wait for the disk: more than a disk that works ever leaves waiting.
const mostQueued = 1 << 16

// ErrBehind is why an entry is not kept that comes while too many wait: the disk hangs, or cannot keep up.
var ErrBehind = errors.New("the disk does not keep up: too many entries wait for it")

// Writer commits to a log from a goroutine of its own, so that nobody waits for a disk who need not. Its methods may be
// called from any goroutine.
type Writer struct {
	log    *Log
	policy SyncPolicy
	mu     sync.Mutex
	queue  []waiting
	signal chan struct{}
	stop   chan struct{}
	done   chan struct{}
	Stats  Stats
}

// Stats count what a writer did.
type Stats struct{ Entries, Commits, Failures uint64 }

type waiting struct {
	entry *statepb.Entry
	then  func(error)
}

// NewWriter begins to write to a log, which is the writer's from then on.
func NewWriter(l *Log, policy SyncPolicy) *Writer {
	w := &Writer{log: l, policy: policy, signal: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write has an entry written. Then, if it is not nil, is called on the writer's goroutine once the entry lasts, or with the
// reason why it was not kept. Without it nobody waits: the entry lasts when the next does that somebody waits for. While
// too many wait, then is called at once; a settling that is passed over so only leaves its key known for longer.
func (w *Writer) Write(e *statepb.Entry, then func(error)) {
	w.mu.Lock()
	full := len(w.queue) >= mostQueued
	if !full {
		w.queue = append(w.queue, waiting{e, then})
	}
	w.mu.Unlock()
	if full {
		if then != nil {
			then(ErrBehind)
		}
		return
	}
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []waiting
	for {
		stopping := false
		select {
		case <-w.signal:
		case <-w.stop:
			stopping = true
		}
		w.mu.Lock()
		batch, w.queue = w.queue, batch[:0]
		w.mu.Unlock()
		w.commit(batch)
		clear(batch)
		if stopping {
			return
		}
	}
}

func (w *Writer) commit(batch []waiting) {
	for len(batch) > 0 {
		group := batch
		if w.policy == SyncPerEntry {
			group = batch[:1]
		}
		batch = batch[len(group):]
		entries, waits := make([]*statepb.Entry, len(group)), false
		for i, g := range group {
			entries[i] = g.entry
			waits = waits || g.then != nil
		}
		err := w.log.Commit(entries, waits && w.policy != NoSync)
		w.mu.Lock()
		w.Stats.Entries += uint64(len(group))
		w.Stats.Commits++
		if err != nil {
			w.Stats.Failures++
		}
		w.mu.Unlock()
		for _, g := range group {
			if g.then != nil {
				g.then(err)
			}
		}
	}
}

// Close writes what is left and closes the log.
func (w *Writer) Close() error {
	close(w.stop)
	<-w.done
	return w.log.Close()
}

// BindEntry is the entry of a bind that is about to leave.
func BindEntry(b recovery.Bind) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Bound{Bound: &statepb.Bound{
		Key: b.Key, Group: b.Group, Node: b.Node, Incarnation: b.Incarnation, Workload: b.Workload, Number: b.Number, UntilMs: b.ExpiresAt,
	}}}
}

// ForgetEntry is the entry of a bind that was not taken up.
func ForgetEntry(key, incarnation uint64, number uint32) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Settled{Settled: &statepb.Settled{Key: key, Incarnation: incarnation, Number: number}}}
}

// RecoveredBinds is what an earlier life left, as a book is opened with it.
func RecoveredBinds(f *Contents) []recovery.Bind {
	left := make([]recovery.Bind, len(f.LiveBinds))
	for i, b := range f.LiveBinds {
		left[i] = recovery.Bind{
			Key: b.Key, Group: b.Group, Node: b.Node, Incarnation: b.Incarnation, Workload: b.Workload, Number: b.Number, ExpiresAt: b.UntilMs,
		}
	}
	return left
}
