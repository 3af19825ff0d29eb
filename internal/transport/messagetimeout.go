package transport

import (
	"fmt"
	"sync/atomic"

	"grebeglade/placement"
)

// incompleteMessage identifies the message of a connection that the peer has begun and not completed.
type incompleteMessage struct {
	number atomic.Uint64 // of the message; zero if there is none. The event loop stores it and the worker loads it
	last   uint64        // last number that was given; used by the event loop only
}

// watchMessage enforces Limits.MessageTimeout. The event loop calls it after each read: decoded reports whether a
// message was complete, begun whether the beginning of another one remains.
func (c *connection) watchMessage(decoded, begun bool) {
	if decoded || !begun {
		c.incomplete.number.Store(0)
	}
	if !begun || c.incomplete.number.Load() != 0 {
		return
	}
	c.incomplete.last++
	number := c.incomplete.last
	c.incomplete.number.Store(number)
	c.worker.queue.push(event{
		kind: eventCall,
		at:   c.worker.loop.Now() + c.worker.limits.MessageTimeout,
		call: func(placement.Millis) { c.failIfIncomplete(number) },
	})
}

// failIfIncomplete ends the connection if the message of that number is still incomplete. The worker calls it.
func (c *connection) failIfIncomplete(number uint64) {
	if c.incomplete.number.Load() == number && c.state != stateClosed {
		c.fail(fmt.Errorf("%w after %v ms", ErrMessageTimeout, c.worker.limits.MessageTimeout))
	}
}
