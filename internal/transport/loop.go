package transport

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"grebeglade/placement"
)

// drainTimeout limits how long Close waits for the last writes.
const drainTimeout = 2 * time.Second

// Loop runs handlers on sockets. Each handler has its own worker and event loops. Messages that a handler sends are
// flushed after each batch of queued events, and between two events of a batch once maxFlushDelay has passed.
type Loop struct {
	// Stats count events on the sockets of all handlers.
	Stats Stats

	startedAt time.Time
	log       *slog.Logger
	failed    chan error     // receives the error of the first listener that failed
	running   sync.WaitGroup // workers' goroutines
	accepting sync.WaitGroup // listeners' goroutines

	mu      sync.Mutex
	workers map[any]*worker // keyed by Handler or FrameHandler
	started bool
}

// NewLoop returns a loop without handlers, whose clock starts at 0. A nil log disables logging.
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

// Failed returns a channel that receives the error of the first listener that ends before the loop is closed.
func (l *Loop) Failed() <-chan error { return l.failed }

// Now returns the milliseconds since NewLoop. All handlers share this clock.
func (l *Loop) Now() placement.Millis {
	return placement.Millis(float64(time.Since(l.startedAt)) / float64(time.Millisecond))
}

// Listen adds a handler, listens at addr for it, and returns the bound address. If the port is 0, the operating system
// chooses one. With an empty addr the handler can only dial. newCodec is called for each incoming connection. The
// handler is not called before Run.
func (l *Loop) Listen(h Handler, newCodec func() Codec, addr string, limits Limits) (string, error) {
	return l.listen(h, h, newCodec, addr, limits)
}

// ListenFrames is Listen for a FrameHandler.
func (l *Loop) ListenFrames(h FrameHandler, addr string, limits Limits) (string, error) {
	codec := frameCodec{limits.MaxFrameSize}
	return l.listen(h, frameHandler{h, codec}, func() Codec { return codec }, addr, limits)
}

// AddHandler adds a handler with DefaultLimits that listens at a loopback port chosen by the operating system. The
// second parameter is the zone, which only simulated networks use.
func (l *Loop) AddHandler(h FrameHandler, _ string) (string, error) {
	return l.ListenFrames(h, "127.0.0.1:0", DefaultLimits)
}

// listen adds a worker for a handler. The key is the value that callers pass to Call and RunAt for this handler.
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

// accept serves a listener, and passes its error to Failed if it ends before the loop is closed.
func (l *Loop) accept(ln *listener) {
	err := ln.serve()
	if err == nil {
		return
	}
	select {
	case l.failed <- err:
	default: // the error of another listener is already queued
	}
}

// Run starts all added handlers, and returns. Handlers added later are started when they are added.
func (l *Loop) Run() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = true
	for _, w := range l.workers {
		l.running.Go(w.run)
	}
}

// RunAt runs call on the handler's goroutine at the given time or later. It does nothing if the handler was not added.
func (l *Loop) RunAt(h FrameHandler, at placement.Millis, call func(now placement.Millis)) {
	if w := l.worker(h); w != nil {
		w.queue.push(event{
			kind: eventCall,
			at:   at,
			call: call,
		})
	}
}

// Call runs call on the handler's goroutine, and waits until it has returned or the loop is closed. The handler is a
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

// worker returns the worker of a handler, or nil for a handler that was not added.
func (l *Loop) worker(h any) *worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.workers[h]
}

// Close stops all handlers and closes all connections. Workers first handle the events that are already queued. Each
// connection is closed once all sent messages are written, so that no last answer is lost, or after drainTimeout.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for _, w := range l.workers {
		w.queue.close()
		if w.listener != nil {
			_ = w.listener.Close() // fails only if the listener is already closed, which serve reports
		}
	}
	l.running.Wait()
	for _, w := range l.workers {
		w.conns.drain(ctx)
		w.loops.stop()
	}
	l.accepting.Wait()
}
