package transport

import (
	"context"

	"grebeglade/placement"
)

// The exported methods in this file implement Network, which documents them. The handler calls them on the worker's
// goroutine.

func (w *worker) Now() placement.Millis { return w.now }

func (w *worker) ReceivedAt() placement.Millis { return w.receivedAt }

func (w *worker) WakeAt(t placement.Millis) { w.schedule.setWakeUp(t) }

// DialCodec dials on a separate goroutine.
func (w *worker) DialCodec(addr string, codec Codec, timeout placement.Millis) ConnID {
	ctx, cancel := context.WithTimeout(context.Background(), duration(timeout))
	c := &connection{
		worker:     w,
		class:      classOutgoing,
		codec:      codec,
		cancelDial: cancel,
	}
	if _, urgent := codec.(Urgent); urgent {
		c.class = classUrgent
	}
	w.conns.add(c)
	go c.dial(ctx, addr)
	return c.id
}

// Send encodes the message into the write buffer of the connection, which the worker flushes later.
func (w *worker) Send(id ConnID, message any) {
	c := w.conns.find(id)
	if c == nil || c.state != stateOpen {
		return
	}
	out, err := c.codec.Append(c.writeBuffer, message)
	if err != nil {
		w.loop.log.Error("message not sent", "error", err)
		return
	}
	if len(c.writeBuffer) == 0 {
		w.conns.markUnflushed(c)
	}
	c.writeBuffer = out
}

func (w *worker) Close(id ConnID) {
	c := w.conns.find(id)
	if c == nil {
		return
	}
	w.conns.remove(id)
	c.close()
}

func (w *worker) IsClosed(id ConnID) bool {
	c := w.conns.find(id)
	return c == nil || c.shared.ended.Load()
}
