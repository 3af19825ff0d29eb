package storage

import (
	"sync"

	"grebeglade/internal/storage/statepb"
)

// SyncPolicy determines when the entries of a Writer become durable.
type SyncPolicy uint8

const (
	// GroupCommit syncs once for all entries that were queued during the previous sync.
	GroupCommit SyncPolicy = iota
	// SyncPerEntry syncs once for each entry that has a callback.
	SyncPerEntry
	// NoSync commits without a sync: entries survive a crash of the process, but a crash of the machine may lose them.
	NoSync
)

// maxQueuedEntries is the capacity of the queue of a Writer. A disk that works never has that many entries queued.
const maxQueuedEntries = 1 << 16

// Writer commits entries to a log on a separate goroutine, so that its callers never wait for the disk. It is safe for
// concurrent use.
type Writer struct {
	log     *Log
	policy  SyncPolicy
	mu      sync.Mutex
	queue   []queuedEntry // guarded by mu
	wake    chan struct{} // holds a value if the queue may have entries
	closing chan struct{} // closed by Close
	stopped chan struct{} // closed when run returns
}

// queuedEntry is an entry that is not committed yet.
type queuedEntry struct {
	entry     *statepb.Entry
	committed func(error) // callback; may be nil
}

// NewWriter returns a writer that takes over the log: the caller must not use the log afterwards.
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

// Write queues an entry. The callback committed is called on the writer's goroutine with the result of the commit,
// after the sync that the policy requires. It may be nil: such an entry is synced with the next entry that has a
// callback.
//
// If the queue is full, committed is called with ErrBacklogFull before Write returns. An entry without a callback is
// dropped in this case: a lost Forget only keeps its key live until it expires.
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

// enqueue adds an entry to the queue. It returns false if the queue is full.
func (w *Writer) enqueue(e queuedEntry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedEntries {
		return false
	}
	w.queue = append(w.queue, e)
	return true
}

// run commits queued entries until the writer is closed.
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
		clear(batch) // lets the garbage collector free the entries
	}
}

// takeQueue returns the queued entries, and replaces the queue by empty, whose capacity is reused.
func (w *Writer) takeQueue(empty []queuedEntry) []queuedEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	queued := w.queue
	w.queue = empty
	return queued
}

// commitBatch commits entries one by one for SyncPerEntry, and as a single group otherwise.
func (w *Writer) commitBatch(batch []queuedEntry) {
	if w.policy != SyncPerEntry {
		w.commitGroup(batch)
		return
	}
	for i := range batch {
		w.commitGroup(batch[i : i+1])
	}
}

// commitGroup commits entries together and calls their callbacks.
func (w *Writer) commitGroup(group []queuedEntry) {
	if len(group) == 0 {
		return
	}
	entries := make([]*statepb.Entry, len(group))
	hasCallback := false
	for i, queued := range group {
		entries[i] = queued.entry
		hasCallback = hasCallback || queued.committed != nil
	}
	err := w.log.Commit(entries, hasCallback && w.policy != NoSync)
	for _, queued := range group {
		if queued.committed != nil {
			queued.committed(err)
		}
	}
}

// Close commits the queued entries and closes the log. The writer must not be used afterwards.
func (w *Writer) Close() error {
	close(w.closing)
	<-w.stopped
	return w.log.Close()
}
