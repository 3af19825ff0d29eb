package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// acceptRetryDelay is how long a listener waits after Accept has failed, usually because the process has no free file
// descriptor.
const acceptRetryDelay = 10 * time.Millisecond

// listener accepts a worker's incoming connections.
type listener struct {
	net.Listener
	worker    *worker
	newCodec  func() Codec
	openCount atomic.Int64 // number of incoming connections

	// slots is a semaphore: it holds a value for each incoming connection, and one for the next Accept. It is nil if
	// connections above the limit are rejected.
	slots chan struct{}
}

// newListener opens a listener for a worker. If the port of addr is 0, the operating system chooses one.
func newListener(addr string, owner *worker, newCodec func() Codec) (*listener, error) {
	// The handler decides how long idle connections are kept, so TCP keep-alive is disabled.
	config := net.ListenConfig{KeepAlive: -1}
	netListener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	l := &listener{
		Listener: netListener,
		worker:   owner,
		newCodec: newCodec,
	}
	if owner.limits.PauseAcceptAtLimit {
		l.slots = make(chan struct{}, owner.limits.MaxConnections)
	}
	return l, nil
}

// serve accepts connections until the worker is closed. It waits for a free slot, and retries after Accept has failed,
// while connections wait in the listen backlog: returning would leave the process without a listener. It returns an
// error if the listener was closed while the worker was running. Connections are registered side by side, since an
// event loop registers one only after a pass over its sockets.
func (l *listener) serve() error {
	var admitting sync.WaitGroup
	defer admitting.Wait()
	for l.acquireSlot() {
		socket, err := l.Accept()
		if err == nil {
			admitting.Go(func() { l.admit(socket) })
			continue
		}
		l.releaseSlot()
		if l.worker.queue.isClosed() {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("listen on %s: %w", l.Addr(), err)
		}
		l.log().Warn("connection not accepted", "error", err)
		time.Sleep(acceptRetryDelay)
	}
	return nil
}

// admit registers an accepted connection with the event loop, or rejects it above MaxConnections.
func (l *listener) admit(socket net.Conn) {
	c := &connection{
		worker: l.worker,
		class:  classIncoming,
		codec:  l.newCodec(),
	}
	limit := l.worker.limits.MaxConnections
	if n := l.openCount.Add(1); l.slots == nil && n > int64(limit) {
		l.worker.loop.Stats.RejectedConnections.Add(1)
		l.reject(socket, c.codec, fmt.Sprintf("%d connections stand, the most there may be; come again later", limit))
		l.connectionEnded()
		return
	}
	if err := l.worker.loops.register(socket, c); err != nil {
		l.log().Warn("connection not registered", "error", err)
		_ = socket.Close() // nothing was written; the failed registration may have closed it already
		l.connectionEnded()
	}
}

// reject sends a Refusal and closes the connection. It only closes it if the codec cannot encode a Refusal.
func (l *listener) reject(socket net.Conn, codec Codec, reason string) {
	if out, err := codec.Append(nil, RefusalFrame(reason)); err == nil {
		if _, err := socket.Write(out); err != nil {
			l.log().Debug("refusal not sent", "peer", socket.RemoteAddr(), "error", err)
		}
	}
	if err := socket.Close(); err != nil {
		l.log().Warn("connection not closed", "peer", socket.RemoteAddr(), "error", err)
	}
}

// connectionEnded removes an incoming connection from the count, and releases its slot.
func (l *listener) connectionEnded() {
	l.openCount.Add(-1)
	l.releaseSlot()
}

// acquireSlot waits until another connection may be accepted. It returns false if the worker is closed first.
func (l *listener) acquireSlot() bool {
	if l.slots == nil {
		return true
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-l.worker.queue.closed:
		return false
	}
}

// releaseSlot releases a slot taken by acquireSlot.
func (l *listener) releaseSlot() {
	if l.slots != nil {
		<-l.slots
	}
}

func (l *listener) log() *slog.Logger { return l.worker.loop.log }
