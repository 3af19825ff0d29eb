package transport

import (
	"sync"
	"sync/atomic"

	"grebeglade/placement"
)

// eventKind says what a worker has to handle.
type eventKind uint8

const (
	eventCall    eventKind = iota // a function to call once its time has come
	eventOpened                   // a connection is established
	eventMessage                  // a message was received
	eventClosed                   // a connection has ended, or could not be dialled
)

// event is what a worker handles at a time. Fields that do not apply to its kind are zero.
type event struct {
	kind    eventKind
	conn    *connection // of all kinds but eventCall
	message any
	reason  error            // why a connection has ended
	at      placement.Millis // when a message was read, or a call is due
	call    func(now placement.Millis)
}

// isUrgent reports whether an event is handled before those that are not urgent.
func (e *event) isUrgent() bool { return e.conn != nil && e.conn.class == classUrgent }

// eventQueue holds the events of one worker until it takes them. Events of one connection stay in order. Any goroutine
// may add events; only the worker takes them.
type eventQueue struct {
	ready     chan struct{} // holds a value while there may be events to take
	closed    chan struct{} // closed by close
	closeOnce sync.Once
	maxQueued int

	mu        sync.Mutex
	notFull   *sync.Cond // signalled once queued was taken, or the queue is closed
	queued    []event
	urgent    []event     // handled before queued
	hasUrgent atomic.Bool // whether urgent holds events; read without the lock
}

func newEventQueue(maxQueued int) *eventQueue {
	q := &eventQueue{
		ready:     make(chan struct{}, 1),
		closed:    make(chan struct{}),
		maxQueued: maxQueued,
	}
	q.notFull = sync.NewCond(&q.mu)
	return q
}

// push adds an event, even to a full queue.
func (q *eventQueue) push(e event) {
	q.mu.Lock()
	q.add(e)
	q.mu.Unlock()
	q.signal()
}

// pushMessages adds messages of one connection. Unless they are urgent, it blocks while the queue is full. This stops
// the event loop that reads for connections of the same class, so that TCP flow control slows their peers down.
func (q *eventQueue) pushMessages(messages []event) {
	q.mu.Lock()
	for !messages[0].isUrgent() && len(q.queued) > q.maxQueued && !q.isClosed() {
		q.notFull.Wait()
	}
	q.add(messages...)
	q.mu.Unlock()
	q.signal()
}

// add adds events of one connection. The caller holds the lock.
func (q *eventQueue) add(events ...event) {
	if events[0].isUrgent() {
		q.urgent = append(q.urgent, events...)
		q.hasUrgent.Store(true)
		return
	}
	q.queued = append(q.queued, events...)
}

// signal makes ready readable.
func (q *eventQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeQueued takes all events that are not urgent. The queue reuses the memory of handled, the events that were taken
// before and are no longer needed.
func (q *eventQueue) takeQueued(handled []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.queued
	q.queued = handled[:0]
	q.notFull.Broadcast()
	return taken
}

// takeUrgent takes all urgent events.
func (q *eventQueue) takeUrgent() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.urgent
	q.urgent = nil
	q.hasUrgent.Store(false)
	return taken
}

// close releases everything that waits for the queue. The events that it holds can still be taken.
func (q *eventQueue) close() {
	q.closeOnce.Do(func() { close(q.closed) })
	q.mu.Lock()
	q.notFull.Broadcast()
	q.mu.Unlock()
}

func (q *eventQueue) isClosed() bool {
	select {
	case <-q.closed:
		return true
	default:
		return false
	}
}
