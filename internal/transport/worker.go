package transport

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"grebeglade/placement"
)

const (
	// maxFlushDelay is the time in milliseconds after which a worker that handles a batch runs due timers and flushes.
	// Without this limit, a long batch of queued events would delay both until its end.
	maxFlushDelay = placement.Millis(1)

	// idleTimerPeriod is the wait after which a worker without pending timers checks its queue again.
	idleTimerPeriod = time.Hour
)

// worker runs one handler: it calls the handler from a single goroutine with the events of its queue, and implements
// the handler's Network.
type worker struct {
	loop     *Loop // clock, log and statistics
	handler  Handler
	limits   Limits
	queue    *eventQueue
	loops    *eventLoops
	listener *listener // nil for a handler without an address

	// Used by the worker's goroutine only.
	now        placement.Millis // time of the current event
	receivedAt placement.Millis // time at which the current message was read
	conns      connTable
	schedule   schedule
}

// newWorker returns a worker without a listener; its goroutine is not started.
func newWorker(loop *Loop, h Handler, limits Limits) *worker {
	limits = limits.withDefaults()
	w := &worker{
		loop:    loop,
		handler: h,
		limits:  limits,
		queue:   newEventQueue(limits.MaxQueuedEvents),
		conns:   newConnTable(),
	}
	w.loops = newEventLoops(&socketEvents{worker: w}, loop.log, w.queue.closed)
	w.queue.blocking = w.loops.blocking
	return w
}

// run handles events until the queue is closed, and then the events that are still queued.
func (w *worker) run() {
	timer := time.NewTimer(idleTimerPeriod)
	defer timer.Stop()
	w.now = w.loop.Now()
	w.handler.Start(w.now, w)
	w.conns.flush()
	var batch []event
	for closed := false; !closed; {
		timer.Reset(w.untilNextTimer())
		closed = w.wait(timer)
		batch = w.queue.takeQueued(batch)
		w.now = w.loop.Now()
		w.handleUrgent()
		w.handleBatch(batch)
		w.runDue()
		w.conns.flush()
	}
}

// wait blocks until events are queued, the timer fires or the queue is closed. It reports whether the queue is closed.
func (w *worker) wait(timer *time.Timer) (closed bool) {
	select {
	case <-w.queue.closed:
		return true
	case <-w.queue.ready:
	case <-timer.C:
	}
	return false
}

// untilNextTimer returns the time until the next call or wake-up is due, or idleTimerPeriod if there is none.
func (w *worker) untilNextTimer() time.Duration {
	at, ok := w.schedule.next()
	if !ok {
		return idleTimerPeriod
	}
	return max(0, duration(at-w.loop.Now()))
}

// handleBatch handles events, and clears each so that its memory can be freed. Between events it handles urgent events
// and, once maxFlushDelay has passed since the last time, runs due timers and flushes.
func (w *worker) handleBatch(batch []event) {
	for i := range batch {
		w.handle(&batch[i])
		batch[i] = event{}
		if now := w.loop.Now(); now-w.now >= maxFlushDelay {
			w.now = now
			w.runDue()
			w.conns.flush()
		}
		if w.queue.hasUrgent.Load() {
			w.handleUrgent()
		}
	}
}

// handleUrgent handles all queued urgent events.
func (w *worker) handleUrgent() {
	urgent := w.queue.takeUrgent()
	for i := range urgent {
		w.handle(&urgent[i])
	}
}

// runDue runs the due calls, and Handler.Wake if the wake-up is due.
func (w *worker) runDue() {
	w.schedule.calls.RunDue(w.now)
	if w.schedule.takeWakeUp(w.now) {
		w.handler.Wake(w.now)
	}
}

// handle dispatches one event by its kind.
func (w *worker) handle(e *event) {
	switch e.kind {
	case eventCall:
		w.handleCall(e)
	case eventOpened:
		w.handleOpened(e.conn)
	case eventMessage:
		w.handleMessage(e)
	case eventStalled:
		e.call(w.now)
	case eventClosed:
		w.handleClosed(e)
	}
}

func (w *worker) handleCall(e *event) {
	if e.at > w.now {
		w.schedule.calls.Schedule(e.at, e.call)
		return
	}
	e.call(w.now)
}

func (w *worker) handleOpened(c *connection) {
	if !c.open() {
		c.closeSocket()
		return
	}
	w.conns.add(c)
	w.handler.Opened(w.now, c.id)
}

func (w *worker) handleMessage(e *event) {
	e.conn.shared.queued.Add(-1)
	if e.conn.state == stateClosed {
		return
	}
	w.receivedAt = min(e.at, w.now)
	w.handler.Received(w.now, e.conn.id, e.message)
}

// stallHandler returns the handler as a StallHandler, if it or the FrameHandler that it adapts is one.
func (w *worker) stallHandler() (StallHandler, bool) {
	if adapter, ok := w.handler.(frameHandler); ok {
		handler, ok := adapter.FrameHandler.(StallHandler)
		return handler, ok
	}
	handler, ok := w.handler.(StallHandler)
	return handler, ok
}

func (w *worker) handleClosed(e *event) {
	c := e.conn
	w.conns.remove(c.id)
	neverOpened := c.id == 0 // incoming connection for which Handler.Opened was not called
	if c.state == stateClosed || neverOpened {
		return
	}
	c.state = stateClosed
	w.handler.Closed(w.now, c.id, e.reason)
}

// runOnEventLoop has an event loop run a task after its next pass over its sockets. The task does not run if the event
// loop stops before.
func (w *worker) runOnEventLoop(eventLoop gnet.EventLoop, task func()) {
	run := gnet.RunnableFunc(func(context.Context) error {
		task()
		return nil
	})
	if err := eventLoop.Execute(context.Background(), run); err != nil {
		w.loop.log.Debug("task not run", "error", err)
	}
}

// duration converts milliseconds to a time.Duration.
func duration(t placement.Millis) time.Duration {
	return time.Duration(float64(t) * float64(time.Millisecond))
}
