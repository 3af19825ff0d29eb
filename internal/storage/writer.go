package storage

import (
	"sync"

	"grebeglade/internal/storage/statepb"
)

// SyncPolicy says when the entries of a Writer become durable.
type SyncPolicy uint8

const (
	// GroupCommit syncs once for all entries that came while the sync before was under way.
	GroupCommit SyncPolicy = iota
	// SyncPerEntry syncs for each entry that somebody waits for.
	SyncPerEntry
	// NoSync leaves it to the system: a crash of the process loses nothing, one of the machine may.
	NoSync
)

// maxQueuedEntries is how many entries may wait for the disk: more than a disk that works ever leaves waiting.
const maxQueuedEntries = 1 << 16

// Writer commits entries to a log on a goroutine of its own, so that its callers never wait for the disk. It is safe
// for concurrent use.
type Writer struct {
	log     *Log
	policy  SyncPolicy
	mu      sync.Mutex
	queue   []queuedEntry // guarded by mu
	wake    chan struct{} // holds a value while the queue may have entries
	closing chan struct{} // closed by Close
	stopped chan struct{} // closed by run
}

type queuedEntry struct {
	entry     *statepb.Entry
	committed func(error) // nil if nobody waits for the entry
}

// NewWriter returns a writer to a log, which must not be used by others any more.
func NewWriter(l *Log, policy SyncPolicy) *Writer {
	w := &Writer{
		log: l, policy: policy,
		wake: make(chan struct{}, 1), closing: make(chan struct{}), stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues an entry. The function committed is called on the writer's goroutine once the entry is durable, as far as
// the policy says, or with the error for which it was not written. It may be nil: such an entry becomes durable with the
// next one that has a function.
//
// While too many entries are queued, committed is called with ErrBacklogFull before Write returns. An entry without
// committed is dropped then: a Forget that is lost only leaves its key known until it expires.
func (w *Writer) Write(e *statepb.Entry, committed func(error)) {
	if !w.enqueue(queuedEntry{entry: e, committed: committed}) {
		if committed != nil {
			committed(ErrBacklogFull)
		}
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) enqueue(e queuedEntry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedEntries {
		return false
	}
	w.queue = append(w.queue, e)
	return true
}

// run commits what is queued until the writer is closed.
func (w *Writer) run() {
	defer close(w.stopped)
	var batch []queuedEntry
	for closing := false; !closing; {
		select {
		case <-w.wake:
		case <-w.closing:
			closing = true
		}
		w.mu.Lock()
		batch, w.queue = w.queue, batch[:0]
		w.mu.Unlock()
		w.commitBatch(batch)
		clear(batch)
	}
}

// commitBatch commits entries in the groups that the policy prescribes.
func (w *Writer) commitBatch(batch []queuedEntry) {
	if w.policy != SyncPerEntry {
		w.commitGroup(batch)
		return
	}
	for i := range batch {
		w.commitGroup(batch[i : i+1])
	}
}

// commitGroup commits entries together and notifies those who wait for them.
func (w *Writer) commitGroup(group []queuedEntry) {
	if len(group) == 0 {
		return
	}
	entries, awaited := make([]*statepb.Entry, len(group)), false
	for i, q := range group {
		entries[i] = q.entry
		awaited = awaited || q.committed != nil
	}
	err := w.log.Commit(entries, awaited && w.policy != NoSync)
	for _, q := range group {
		if q.committed != nil {
			q.committed(err)
		}
	}
}

// Close commits what is queued and closes the log. The writer must not be used afterwards.
func (w *Writer) Close() error {
	close(w.closing)
	<-w.stopped
	return w.log.Close()
}
