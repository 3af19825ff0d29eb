package transport

import (
	"github.com/panjf2000/gnet/v2"
)

// socketEvents turns what the event loops of a worker report into events in its queue.
type socketEvents struct {
	gnet.BuiltinEventEngine
	worker *worker
}

// OnOpen is called by the event loop once it serves a connection.
func (e *socketEvents) OnOpen(socket gnet.Conn) ([]byte, gnet.Action) {
	c, ok := socket.Context().(*connection)
	if !ok {
		return nil, gnet.Close
	}
	c.socket = socket
	e.worker.queue.push(event{kind: eventOpened, conn: c})
	return nil, gnet.None
}

// OnClose is called by the event loop once it has closed a connection.
func (e *socketEvents) OnClose(socket gnet.Conn, err error) gnet.Action {
	c, ok := socket.Context().(*connection)
	if !ok {
		return gnet.None
	}
	c.ended.Store(true)
	if c.class == classIncoming {
		e.worker.listener.connectionEnded()
	}
	e.worker.queue.push(event{kind: eventClosed, conn: c, reason: c.reason(err)})
	return gnet.None
}

// OnTraffic is called by the event loop when a connection has bytes to read.
func (e *socketEvents) OnTraffic(socket gnet.Conn) gnet.Action {
	c, ok := socket.Context().(*connection)
	if !ok {
		return gnet.Close
	}
	b, err := socket.Peek(-1)
	if err != nil {
		return gnet.None
	}
	messages, used, err := e.decode(c, b)
	// Discarding zero bytes would discard all that is there.
	if used > 0 {
		if _, discardErr := socket.Discard(used); err == nil {
			err = discardErr
		}
	}
	if len(messages) > 0 {
		e.worker.queue.pushMessages(messages)
	}
	if err != nil {
		e.endMalformed(c, err)
		return gnet.Close
	}
	if e.worker.limits.MessageTimeout > 0 {
		c.watchMessage(used > 0, used < len(b))
	}
	return gnet.None
}

// decode returns the messages that are complete in b, and the number of bytes that they took. With an error it returns the
// messages in front of the malformed one.
func (e *socketEvents) decode(c *connection, b []byte) (messages []event, used int, err error) {
	now := e.worker.loop.Now()
	for used < len(b) {
		m, n, err := c.codec.Decode(b[used:])
		if err != nil {
			return messages, used, err
		}
		if n == 0 {
			break
		}
		used += n
		if m != nil {
			messages = append(messages, event{kind: eventMessage, conn: c, message: m, at: now})
		}
	}
	return messages, used, nil
}

// endMalformed notes why a connection is about to be closed for what its peer sent.
func (e *socketEvents) endMalformed(c *connection, err error) {
	e.worker.loop.Stats.MalformedMessages.Add(1)
	e.worker.loop.log.Warn("connection ended", "peer", c.socket.RemoteAddr(), "reason", err)
	var reason error = &closeError{class: ErrMalformedMessage, cause: err}
	c.closeReason.CompareAndSwap(nil, &reason)
}
