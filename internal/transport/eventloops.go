package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"github.com/panjf2000/gnet/v2"
)

// maxRegistering bounds the connections that are handed to event loops at once: each holds two descriptors meanwhile.
const maxRegistering = 4

var errLoopClosed = errors.New("the loop is closed")

// eventLoops are the event loops of one worker, one for each priority class. Each starts with its first connection.
type eventLoops struct {
	events      *socketEvents
	log         *slog.Logger
	closed      <-chan struct{} // once closed, no event loop starts
	registering chan struct{}   // holds a value for each connection that is being handed over

	mu    sync.Mutex
	loops [numClasses]*gnet.Client // nil until started
}

func newEventLoops(events *socketEvents, log *slog.Logger, closed <-chan struct{}) *eventLoops {
	return &eventLoops{events: events, log: log, closed: closed, registering: make(chan struct{}, maxRegistering)}
}

// register hands an established connection to the event loop of its class. On success the event loop owns the socket.
func (l *eventLoops) register(socket net.Conn, c *connection) error {
	if c.class != classUrgent { // an urgent one does not queue behind hundreds of others at a start
		l.registering <- struct{}{}
		defer func() { <-l.registering }()
	}
	loop, err := l.start(c.class)
	if err != nil {
		return err
	}
	_, err = loop.EnrollContext(socket, c)
	return err
}

// start returns the event loop of a class, and starts it if need be.
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
	loop, err := gnet.NewClient(
		l.events, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{l.log}), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
	)
	if err != nil {
		return nil, err
	}
	if err := loop.Start(); err != nil {
		return nil, err
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

// gnetLogger passes gnet's own log lines on; all but fatal ones are for debugging.
type gnetLogger struct{ log *slog.Logger }

func (g gnetLogger) Debugf(string, ...any) {}
func (g gnetLogger) Infof(string, ...any)  {}

func (g gnetLogger) Warnf(format string, args ...any)  { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }
