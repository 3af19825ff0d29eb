package transport

import (
	"sync"
	"sync/atomic"

	"grebeglade/placement"
)

// eventKind is the type of an event.
type eventKind uint8

const (
	eventCall    eventKind = iota // function call that is due at a given time
	eventOpened                   // connection established
	eventMessage                  // message received
	eventStalled                  // a message of the connection does not keep arriving, or its input cannot be decoded
	eventClosed                   // connection ended, or dialing failed
)

// event is one unit of work of a worker. Fields that do not apply to its kind are zero.
type event struct {
	kind    eventKind
	conn    *connection                // nil for eventCall
	message any                        // set for eventMessage
	reason  error                      // set for eventClosed: why the connection ended
	at      placement.Millis           // set for eventMessage: time of the read; for eventCall: due time
	call    func(now placement.Millis) // set for eventCall and eventStalled
}

// isUrgent reports whether the event is handled before other queued events.
func (e *event) isUrgent() bool { return e.conn != nil && e.conn.class == classUrgent }

// eventQueue queues the events of one worker. Events of one connection stay in order. Any goroutine may add events;
// only the worker takes them.
type eventQueue struct {
	ready     chan struct{} // holds a value if events may be queued
	closed    chan struct{} // closed by close
	closeOnce sync.Once
	maxQueued int
	blocking  func(*connection) // called before pushMessages blocks; nil if nobody needs to know

	mu        sync.Mutex
	notFull   *sync.Cond // signalled when the worker takes queued, and when the queue is closed
	queued    []event
	urgent    []event     // handled before queued
	hasUrgent atomic.Bool // whether urgent is non-empty; read without mu
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

// pushMessages adds messages of one connection. Unless they are urgent, it blocks while the queue is full. This blocks
// the event loop of the connection's class, so that TCP flow control slows the peers of the class down.
func (q *eventQueue) pushMessages(messages []event) {
	q.mu.Lock()
	if q.holdsBack(messages) && q.blocking != nil {
		q.blocking(messages[0].conn)
	}
	for q.holdsBack(messages) {
		q.notFull.Wait()
	}
	q.add(messages...)
	q.mu.Unlock()
	q.signal()
}

// holdsBack reports whether messages have to wait until the queue is no longer full. The caller holds mu.
func (q *eventQueue) holdsBack(messages []event) bool {
	return !messages[0].isUrgent() && len(q.queued) > q.maxQueued && !q.isClosed()
}

// add adds events of one connection. The caller holds mu.
func (q *eventQueue) add(events ...event) {
	if events[0].isUrgent() {
		q.urgent = append(q.urgent, events...)
		q.hasUrgent.Store(true)
		return
	}
	q.queued = append(q.queued, events...)
}

// signal wakes the worker if it waits for ready.
func (q *eventQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeQueued removes and returns all events that are not urgent. The queue reuses the memory of handled, the slice that
// the previous call returned and that the caller must not use afterwards.
func (q *eventQueue) takeQueued(handled []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.queued
	q.queued = handled[:0]
	q.notFull.Broadcast()
	return taken
}

// takeUrgent removes and returns all urgent events.
func (q *eventQueue) takeUrgent() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.urgent
	q.urgent = nil
	q.hasUrgent.Store(false)
	return taken
}

// close unblocks all goroutines that wait for the queue. Queued events can still be taken.
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
