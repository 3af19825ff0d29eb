package transport

import (
	"context"
	"time"

	"grebeglade/placement"
)

const (
	// maxTurn is how long a worker may handle events before it runs the timers that are due and flushes what was sent: a full
	// queue takes it far longer.
	maxTurn = placement.Millis(1)

	// idleWait is how long a worker without timers waits at a time.
	idleWait = time.Hour

	// drainPoll is the time between two looks at what an event loop has still to write.
	drainPoll = 2 * time.Millisecond
)

// worker runs one handler: it calls the handler from one goroutine with the events of its queue, and is the Network that
// the handler sees.
type worker struct {
	loop     *Loop // for its clock, log and statistics
	handler  Handler
	limits   Limits
	queue    *eventQueue
	loops    *eventLoops
	dialer   dialer
	listener *listener // nil for a handler without an address

	// Of the worker's goroutine.
	now        placement.Millis
	receivedAt placement.Millis // when the message that is being handled was read
	conns      map[ConnID]*connection
	lastID     ConnID
	unflushed  []*connection // connections with encoded messages
	timers     Timers        // calls that are not due
	wakeup     wakeup
}

// wakeup is the handler's only wake-up.
type wakeup struct {
	at  placement.Millis
	set bool
}

func newWorker(loop *Loop, h Handler, limits Limits) *worker {
	limits = limits.withDefaults()
	w := &worker{
		loop: loop, handler: h, limits: limits, queue: newEventQueue(limits.MaxQueuedEvents), conns: map[ConnID]*connection{},
	}
	w.loops = newEventLoops(&socketEvents{worker: w}, loop.log, w.queue.closed)
	w.dialer = dialer{loops: w.loops, queue: w.queue}
	return w
}

// run handles events until the queue is closed, and then once more what is there by then.
func (w *worker) run() {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	w.now = w.loop.Now()
	w.handler.Start(w.now, w)
	w.flush()
	var batch []event
	for last := false; !last; {
		timer.Reset(w.untilNextTimer())
		last = w.wait(timer)
		batch = w.queue.takeQueued(batch)
		w.now = w.loop.Now()
		w.handleUrgent()
		w.handleBatch(batch)
		w.runDue()
		w.flush()
	}
}

// wait blocks until there is something to do, and reports whether the queue is closed.
func (w *worker) wait(timer *time.Timer) (closed bool) {
	select {
	case <-w.queue.closed:
		return true
	case <-w.queue.ready:
	case <-timer.C:
	}
	return false
}

// handleBatch handles events, and clears them for their memory. Between two of them it does what must not wait for the end
// of the batch.
func (w *worker) handleBatch(batch []event) {
	for i := range batch {
		w.handle(&batch[i])
		batch[i] = event{}
		if now := w.loop.Now(); now-w.now >= maxTurn {
			w.now = now
			w.runDue()
			w.flush()
		}
		if w.queue.hasUrgent.Load() {
			w.handleUrgent()
		}
	}
}

func (w *worker) handleUrgent() {
	urgent := w.queue.takeUrgent()
	for i := range urgent {
		w.handle(&urgent[i])
	}
}

func (w *worker) handle(e *event) {
	switch e.kind {
	case eventCall:
		w.handleCall(e)
	case eventOpened:
		w.handleOpened(e.conn)
	case eventMessage:
		w.handleMessage(e)
	case eventClosed:
		w.handleClosed(e)
	}
}

func (w *worker) handleCall(e *event) {
	if e.at > w.now {
		w.timers.Schedule(e.at, e.call)
		return
	}
	e.call(w.now)
}

func (w *worker) handleOpened(c *connection) {
	if !c.open() {
		c.closeSocket()
		return
	}
	if c.id == 0 {
		c.id = w.nextID()
	}
	w.conns[c.id] = c
	w.handler.Opened(w.now, c.id)
}

func (w *worker) handleMessage(e *event) {
	if e.conn.state == stateClosed {
		return
	}
	w.receivedAt = min(e.at, w.now)
	w.handler.Received(w.now, e.conn.id, e.message)
}

func (w *worker) handleClosed(e *event) {
	c := e.conn
	delete(w.conns, c.id)
	if c.state == stateClosed || c.id == 0 {
		return
	}
	c.state = stateClosed
	w.handler.Closed(w.now, c.id, e.reason)
}

func (w *worker) nextID() ConnID {
	w.lastID++
	return w.lastID
}

// untilNextTimer returns for how long neither a call nor the wake-up is due.
func (w *worker) untilNextTimer() time.Duration {
	at, ok := w.timers.Next()
	if w.wakeup.set && (!ok || w.wakeup.at < at) {
		at, ok = w.wakeup.at, true
	}
	if !ok {
		return idleWait
	}
	return max(0, duration(at-w.loop.Now()))
}

// runDue runs the calls that are due, and the wake-up if it is.
func (w *worker) runDue() {
	w.timers.RunDue(w.now)
	if w.wakeup.set && w.wakeup.at <= w.now {
		w.wakeup.set = false
		w.handler.Wake(w.now)
	}
}

// flush hands what the handler sent to the event loops.
func (w *worker) flush() {
	for _, c := range w.unflushed {
		c.flush()
	}
	w.unflushed = w.unflushed[:0]
}

// drain waits until the system has all that was sent, or ctx has ended. The worker's goroutine must have ended.
func (w *worker) drain(ctx context.Context) {
	for _, c := range w.conns {
		for c.state == stateOpen && c.buffered(ctx) > 0 {
			time.Sleep(drainPoll)
		}
	}
}

// The methods that follow are the handler's Network.

func (w *worker) Now() placement.Millis { return w.now }

func (w *worker) ReceivedAt() placement.Millis { return w.receivedAt }

func (w *worker) WakeAt(t placement.Millis) { w.wakeup = wakeup{at: t, set: true} }

func (w *worker) DialCodec(addr string, codec Codec, within placement.Millis) ConnID {
	ctx, cancel := context.WithTimeout(context.Background(), duration(within))
	c := &connection{worker: w, id: w.nextID(), class: classOutgoing, codec: codec, cancelDial: cancel}
	if _, urgent := codec.(Urgent); urgent {
		c.class = classUrgent
	}
	w.conns[c.id] = c
	go w.dialer.dial(ctx, c, addr)
	return c.id
}

func (w *worker) Send(id ConnID, m any) {
	c := w.conns[id]
	if c == nil || c.state != stateOpen {
		return
	}
	out, err := c.codec.Append(c.writeBuffer, m)
	if err != nil {
		w.loop.log.Error("message not sent", "error", err)
		return
	}
	if len(c.writeBuffer) == 0 {
		w.unflushed = append(w.unflushed, c)
	}
	c.writeBuffer = out
}

func (w *worker) Close(id ConnID) {
	c := w.conns[id]
	if c == nil {
		return
	}
	delete(w.conns, id)
	c.close()
}

func (w *worker) IsClosed(id ConnID) bool {
	c := w.conns[id]
	return c == nil || c.ended.Load()
}

// duration converts milliseconds.
func duration(t placement.Millis) time.Duration {
	return time.Duration(float64(t) * float64(time.Millisecond))
}
