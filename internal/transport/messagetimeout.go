package transport

import (
	"fmt"
	"sync/atomic"

	"grebeglade/placement"
)

// incompleteMessage identifies the partially received message of a connection.
type incompleteMessage struct {
	number     atomic.Uint64 // number of the message, or zero; stored by the event loop, loaded by the worker
	lastNumber uint64        // highest number assigned so far; used by the event loop only
}

// watchMessage starts and cancels the timeout of Limits.MessageTimeout. The event loop calls it after each read:
// decoded reports whether the codec consumed any bytes, begun whether bytes of an incomplete message remain.
func (c *connection) watchMessage(decoded, begun bool) {
	if decoded || !begun {
		c.incomplete.number.Store(0)
	}
	if !begun || c.incomplete.number.Load() != 0 {
		return
	}
	c.incomplete.lastNumber++
	number := c.incomplete.lastNumber
	c.incomplete.number.Store(number)
	c.worker.queue.push(event{
		kind: eventCall,
		at:   c.worker.loop.Now() + c.worker.limits.MessageTimeout,
		call: func(placement.Millis) { c.failIfIncomplete(number) },
	})
}

// failIfIncomplete closes the connection if the message with that number is still incomplete once the event loop has
// read what the peer has sent until now. The worker calls it. An event loop that was blocked may not have read the end
// of the message, and a task that it runs after one pass over its sockets may still precede the read; therefore the
// decision is made after a second pass.
func (c *connection) failIfIncomplete(number uint64) {
	if c.incomplete.number.Load() != number || c.state == stateClosed {
		return
	}
	eventLoop := c.socket.EventLoop()
	c.worker.runOnEventLoop(eventLoop, func() {
		c.worker.runOnEventLoop(eventLoop, func() {
			if c.incomplete.number.Load() == number && !c.shared.ended.Load() {
				c.fail(fmt.Errorf("%w: incomplete %v ms after its first bytes",
					ErrMessageTimeout, c.worker.limits.MessageTimeout))
			}
		})
	})
}
