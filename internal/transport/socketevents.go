package transport

import (
	"runtime"

	"github.com/panjf2000/gnet/v2"
)

// socketEvents receives the callbacks of a worker's event loops and queues them as events for the worker.
type socketEvents struct {
	gnet.BuiltinEventEngine
	worker *worker
}

// OnOpen is called by the event loop after it has registered a connection.
func (e *socketEvents) OnOpen(socket gnet.Conn) ([]byte, gnet.Action) {
	c, ok := socket.Context().(*connection)
	if !ok {
		return nil, gnet.Close
	}
	if e.worker.queue.isClosed() {
		return nil, gnet.Close // nobody would handle what the peer sends
	}
	c.socket = socket
	e.worker.loops.backlog(c.class).opened(c)
	e.worker.queue.push(event{kind: eventOpened, conn: c})
	return nil, gnet.None
}

// OnClose is called by the event loop after it has closed a connection.
func (e *socketEvents) OnClose(socket gnet.Conn, err error) gnet.Action {
	c, ok := socket.Context().(*connection)
	if !ok {
		return gnet.None
	}
	c.shared.ended.Store(true)
	e.worker.loops.backlog(c.class).closed(c)
	if c.class == classIncoming {
		e.worker.listener.connectionEnded()
	}
	e.worker.queue.push(event{
		kind:   eventClosed,
		conn:   c,
		reason: c.reason(err),
	})
	return gnet.None
}

// OnTraffic is called by the event loop when a connection has bytes to read.
func (e *socketEvents) OnTraffic(socket gnet.Conn) gnet.Action {
	conn, ok := socket.Context().(*connection)
	if !ok {
		return gnet.Close
	}
	if conn.inbound.ended {
		return conn.discard()
	}
	unread, err := socket.Peek(-1)
	if err != nil {
		return gnet.None
	}
	messages, used, err := e.decode(conn, unread)
	// Discard(0) would discard all buffered bytes.
	if used > 0 {
		_, discardErr := socket.Discard(used)
		if err == nil {
			err = discardErr
		}
	}
	if len(messages) > 0 {
		conn.shared.queued.Add(int64(len(messages)))
		e.worker.queue.pushMessages(messages)
	}
	// With one processor, a loop whose sockets always have bytes would keep it from the worker and the listener until
	// the runtime preempts it, which takes 10 ms.
	runtime.Gosched()
	if err != nil {
		e.reportMalformed(conn, err)
		return conn.discard()
	}
	arrived := conn.inbound.arrived(len(unread), used)
	incomplete := used < len(unread) || assembling(conn.codec)
	conn.watchMessage(e.worker.loop.Now(), arrived, len(messages) > 0, incomplete)
	return gnet.None
}

// assembling reports whether the codec has consumed a part of a message and waits for the rest.
func assembling(codec Codec) bool {
	assembler, ok := codec.(Assembler)
	return ok && assembler.Assembling()
}

// decode returns the complete messages at the beginning of unread, and the number of bytes consumed. On error it also
// returns the messages before the malformed one.
func (e *socketEvents) decode(conn *connection, unread []byte) (messages []event, used int, err error) {
	now := e.worker.loop.Now()
	for used < len(unread) {
		message, consumed, err := conn.codec.Decode(unread[used:])
		if err != nil {
			return messages, used, err
		}
		if consumed == 0 {
			break
		}
		used += consumed
		if message == nil {
			continue
		}
		messages = append(messages, event{
			kind:    eventMessage,
			conn:    conn,
			message: message,
			at:      now,
		})
	}
	return messages, used, nil
}

// reportMalformed counts and logs a message that cannot be decoded, and ends the input of the connection.
func (e *socketEvents) reportMalformed(conn *connection, err error) {
	e.worker.loop.Stats.MalformedMessages.Add(1)
	e.worker.loop.log.Warn("connection ended", "peer", conn.socket.RemoteAddr(), "reason", err)
	conn.endInput(&closeError{class: ErrMalformedMessage, cause: err})
}
