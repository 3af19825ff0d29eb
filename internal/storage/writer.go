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
	// SyncPerEntry syncs once for each entry, provided that a caller waits for it.
	SyncPerEntry
	// NoSync leaves it to the system: a crash of the process loses nothing, one of the machine may.
	NoSync
)

// maxQueuedEntries is how many entries may wait for the disk: more than ever wait for a disk that works.
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

// queuedEntry is an entry that waits for the disk.
type queuedEntry struct {
	entry     *statepb.Entry
	committed func(error) // nil if nobody waits for the entry
}

// NewWriter returns a writer to a log, which must not be used by others any more.
func NewWriter(l *Log, policy SyncPolicy) *Writer {
	w := &Writer{
		log:     l,
		policy:  policy,
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues an entry. The function committed is called on the writer's goroutine once the entry is durable, as far
// as the policy says, or with the error for which it was not written. It may be nil: such an entry becomes durable with
// the next one that has a function.
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

// enqueue reports whether there was room in the queue.
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
		batch = w.takeQueue(batch[:0])
		w.commitBatch(batch)
		clear(batch) // so that the entries can be collected
	}
}

// takeQueue returns the queued entries, and leaves an empty slice in their place whose capacity is used next.
func (w *Writer) takeQueue(empty []queuedEntry) []queuedEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	queued := w.queue
	w.queue = empty
	return queued
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

// commitGroup commits entries together and calls the functions that wait for them.
func (w *Writer) commitGroup(group []queuedEntry) {
	if len(group) == 0 {
		return
	}
	entries := make([]*statepb.Entry, len(group))
	awaited := false
	for i, queued := range group {
		entries[i] = queued.entry
		awaited = awaited || queued.committed != nil
	}
	err := w.log.Commit(entries, awaited && w.policy != NoSync)
	for _, queued := range group {
		if queued.committed != nil {
			queued.committed(err)
		}
	}
}

// Close commits what is queued and closes the log. The writer must not be used afterwards.
func (w *Writer) Close() error {
	close(w.closing)
	<-w.stopped
	return w.log.Close()
}
