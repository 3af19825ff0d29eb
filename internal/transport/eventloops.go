package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
)

// maxConcurrentRegistrations limits the connections that are being registered with event loops at the same time, since
// each of them uses two descriptors until it is registered.
const maxConcurrentRegistrations = 4

var errLoopClosed = errors.New("transport loop is closed")

// eventLoops holds the event loops of one worker, one per priority class. Each is started for its first connection.
type eventLoops struct {
	events            *socketEvents
	log               *slog.Logger
	closed            <-chan struct{} // signal after which no event loop is started
	registrationSlots chan struct{}   // semaphore with a value per registration in progress
	backlogs          [numClasses]*writeBacklog
	behind            [numClasses]atomic.Int64 // times that a loop was blocked and has not read its sockets since

	mu    sync.Mutex
	loops [numClasses]*gnet.Client // index: priorityClass; nil until started
}

func newEventLoops(events *socketEvents, log *slog.Logger, closed <-chan struct{}) *eventLoops {
	loops := &eventLoops{
		events:            events,
		log:               log,
		closed:            closed,
		registrationSlots: make(chan struct{}, maxConcurrentRegistrations),
	}
	for class := range loops.backlogs {
		loops.backlogs[class] = newWriteBacklog(events.worker)
	}
	return loops
}

// backlog returns the write backlog of the event loop of a class.
func (l *eventLoops) backlog(class priorityClass) *writeBacklog { return l.backlogs[class] }

// blocking records that the event loop of a connection is about to be blocked by a full event queue. It is behind until
// it has read its sockets afterwards; a task that it runs after one pass over them may precede the read of some.
func (l *eventLoops) blocking(c *connection) {
	behind := &l.behind[c.class]
	behind.Add(1)
	worker := l.events.worker
	eventLoop := c.socket.EventLoop()
	worker.runOnEventLoop(eventLoop, func() {
		worker.runOnEventLoop(eventLoop, func() { behind.Add(-1) })
	})
}

// isBehind reports whether the sockets of a class may hold bytes that its event loop has not read, since it was
// blocked.
func (l *eventLoops) isBehind(class priorityClass) bool { return l.behind[class].Load() > 0 }

// register adds an established connection to the event loop of its class. On success the event loop owns the socket.
func (l *eventLoops) register(socket net.Conn, c *connection) error {
	// Urgent connections skip the semaphore, since hundreds of connections may be waiting for it at start-up.
	if c.class != classUrgent {
		l.registrationSlots <- struct{}{}
		defer func() { <-l.registrationSlots }()
	}
	loop, err := l.start(c.class)
	if err != nil {
		return err
	}
	if _, err := loop.EnrollContext(socket, c); err != nil {
		return fmt.Errorf("register with the event loop: %w", err)
	}
	return nil
}

// start returns the event loop of a class, which it starts on first use. After the loop is closed it returns
// errLoopClosed.
func (l *eventLoops) start(class priorityClass) (*gnet.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return nil, errLoopClosed
	default:
	}
	if l.loops[class] != nil {
		return l.loops[class], nil
	}
	options := []gnet.Option{
		gnet.WithNumEventLoop(1),
		gnet.WithLogger(gnetLogger{l.log}),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
	}
	if class == classIncoming {
		options = append(options, gnet.WithReadBufferCap(l.events.worker.limits.MaxReadSize))
	}
	loop, err := gnet.NewClient(l.events, options...)
	if err != nil {
		return nil, fmt.Errorf("create an event loop: %w", err)
	}
	if err := loop.Start(); err != nil {
		return nil, fmt.Errorf("start an event loop: %w", err)
	}
	l.loops[class] = loop
	return loop, nil
}

// stop stops all event loops and closes their connections.
func (l *eventLoops) stop() {
	l.mu.Lock()
	loops := l.loops
	l.mu.Unlock()
	for _, loop := range loops {
		if loop == nil {
			continue
		}
		if err := loop.Stop(); err != nil {
			l.log.Debug("event loop not stopped", "error", err)
		}
	}
}
