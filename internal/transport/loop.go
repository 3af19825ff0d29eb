package transport

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"grebeglade/placement"
)

// drainTimeout bounds how long a closing loop waits for the last writes.
const drainTimeout = 2 * time.Second

// Loop runs handlers on sockets. Each handler has a worker with event loops of its own. What a handler sends is written
// when the worker has handled all queued events, or after maxTurn at the latest.
type Loop struct {
	// Stats count events on the sockets of all handlers.
	Stats Stats

	startedAt time.Time
	log       *slog.Logger
	failed    chan error     // receives the first error of a listener
	running   sync.WaitGroup // workers' goroutines
	accepting sync.WaitGroup // listeners' goroutines

	mu      sync.Mutex
	workers map[any]*worker // by Handler or FrameHandler
	started bool
}

// NewLoop returns a loop without handlers; its clock starts at 0. With a nil log nothing is logged.
func NewLoop(log *slog.Logger) *Loop {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Loop{
		startedAt: time.Now(),
		log:       log,
		workers:   map[any]*worker{},
		failed:    make(chan error, 1),
	}
}

// Failed delivers the error of the first listener that ended before the loop was closed.
func (l *Loop) Failed() <-chan error { return l.failed }

// Now returns the time on the loop's clock, which all handlers share.
func (l *Loop) Now() placement.Millis {
	return placement.Millis(float64(time.Since(l.startedAt)) / float64(time.Millisecond))
}

// Listen adds a handler, listens for it at addr and returns the address with its port. The system chooses the port if
// it is 0. With an empty addr the handler only dials. Each incoming connection gets a codec from newCodec. The handler
// is called once the loop runs.
func (l *Loop) Listen(h Handler, newCodec func() Codec, addr string, limits Limits) (string, error) {
	return l.listen(h, h, newCodec, addr, limits)
}

// ListenFrames is Listen for a FrameHandler.
func (l *Loop) ListenFrames(h FrameHandler, addr string, limits Limits) (string, error) {
	codec := frameCodec{limits.MaxFrameSize}
	return l.listen(h, frameHandler{h, codec}, func() Codec { return codec }, addr, limits)
}

// AddHandler adds a handler at a loopback port that the system chooses, with DefaultLimits. The second argument is the
// zone, which only simulated networks use.
func (l *Loop) AddHandler(h FrameHandler, _ string) (string, error) {
	return l.ListenFrames(h, "127.0.0.1:0", DefaultLimits)
}

// listen adds a worker for a handler. The key is the value by which callers of the loop refer to the handler.
func (l *Loop) listen(key any, h Handler, newCodec func() Codec, addr string, limits Limits) (string, error) {
	added := newWorker(l, h, limits)
	if addr != "" {
		ln, err := newListener(addr, added, newCodec)
		if err != nil {
			return "", err
		}
		added.listener = ln
		addr = ln.Addr().String()
		l.accepting.Go(func() { l.accept(ln) })
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers[key] = added
	if l.started {
		l.running.Go(added.run)
	}
	return addr, nil
}

// accept serves a listener, and reports if it ends before the loop is closed.
func (l *Loop) accept(ln *listener) {
	err := ln.serve()
	if err == nil {
		return
	}
	select {
	case l.failed <- err:
	default: // another listener has failed before
	}
}

// Run starts the handlers that were added; those added later start at once. It does not block.
func (l *Loop) Run() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = true
	for _, w := range l.workers {
		l.running.Go(w.run)
	}
}

// RunAt runs call on the handler's goroutine once that time has come. It does nothing for a handler that was not added.
func (l *Loop) RunAt(h FrameHandler, at placement.Millis, call func(now placement.Millis)) {
	if w := l.worker(h); w != nil {
		w.queue.push(event{
			kind: eventCall,
			at:   at,
			call: call,
		})
	}
}

// Call runs call on the handler's goroutine and returns once it has returned, or the loop is closed. The handler is a
// Handler or a FrameHandler; Call does nothing for one that was not added.
func (l *Loop) Call(h any, call func(now placement.Millis)) {
	w := l.worker(h)
	if w == nil {
		return
	}
	called := make(chan struct{})
	w.queue.push(event{kind: eventCall, call: func(now placement.Millis) {
		call(now)
		close(called)
	}})
	select {
	case <-called:
	case <-w.queue.closed:
	}
}

// worker returns the worker of a handler, or nil if the handler was not added.
func (l *Loop) worker(h any) *worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.workers[h]
}

// Close ends all handlers and connections. Handlers end first, after the events that were queued by then. The event
// loops end once what the handlers sent is written, or after drainTimeout, so that the last answers are not lost.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for _, w := range l.workers {
		w.queue.close()
		if w.listener != nil {
			_ = w.listener.Close() // fails only if the listener has ended already, which serve reports
		}
	}
	l.running.Wait()
	for _, w := range l.workers {
		w.conns.drain(ctx)
		w.loops.stop()
	}
	l.accepting.Wait()
}
