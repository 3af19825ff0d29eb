package transport

import (
	"github.com/panjf2000/gnet/v2"

	"grebeglade/placement"
)

// maxDiscarded is the number of bytes that are discarded on a connection whose input has ended.
const maxDiscarded = 64 << 20

// endInput ends the input of a connection, since something on it cannot be decoded. The worker closes the connection
// after it has handled the messages before, unless the handler keeps it. The event loop calls it.
func (c *connection) endInput(reason error) {
	c.inbound.ended = true
	c.inbound.number.Store(0)
	c.worker.queue.push(event{
		kind: eventStalled,
		conn: c,
		call: func(now placement.Millis) { c.closeAfterInput(now, reason) },
	})
}

// closeAfterInput closes a connection whose input has ended. While the handler keeps it, it is asked again after each
// Limits.MessageTimeout. The worker calls it.
func (c *connection) closeAfterInput(now placement.Millis, reason error) {
	if c.state == stateClosed {
		return
	}
	if handler, keepsSome := c.worker.stallHandler(); !keepsSome || !handler.KeepStalled(c.id) {
		c.fail(reason)
		return
	}
	c.worker.schedule.calls.Schedule(now+c.worker.limits.MessageTimeout, func(now placement.Millis) {
		c.closeAfterInput(now, reason)
	})
}

// discard discards what was received after the end of the input, and closes a connection whose peer goes on sending.
// The event loop calls it.
func (c *connection) discard() gnet.Action {
	discarded, err := c.socket.Discard(-1)
	c.inbound.discarded += discarded
	if err != nil || c.inbound.discarded > maxDiscarded {
		c.setCloseReason(errInputNotEnded)
		return gnet.Close
	}
	return gnet.None
}
