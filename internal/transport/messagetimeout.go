package transport

import (
	"fmt"
	"sync/atomic"

	"grebeglade/placement"
)

const (
	// progressSize is the number of bytes of a message that extend its deadline by Limits.MessageTimeout.
	progressSize = 1 << 10
	// maxProgressTimeouts is the maximum time from the last received bytes to the deadline, in multiples of
	// Limits.MessageTimeout: a peer that sends in bursts may pause, and one that stops is noticed soon.
	maxProgressTimeouts = 2
)

// Assembler is implemented by a Codec whose Decode consumes the bytes of a message before the message is complete.
type Assembler interface {
	// Assembling reports whether a part of a message was consumed and the rest was not. The event loop calls it.
	Assembling() bool
}

// inbound tracks the incomplete message at the end of the bytes that a connection has received. Unless noted otherwise,
// its fields are used by the event loop only.
type inbound struct {
	number     atomic.Uint64 // number of the incomplete message, or zero if there is none; loaded by the worker
	lastNumber uint64        // highest number assigned so far
	buffered   int           // received bytes that the codec has not consumed
	ended      bool          // something could not be decoded; what follows is discarded
	discarded  int           // bytes received since then

	// Valid while a message is incomplete.
	begunAt  placement.Millis // time at which its first bytes were read
	received int              // its bytes
	credited int              // those of received for which the deadline was extended
	deadline placement.Millis // time at which the connection is closed if the message is still incomplete
}

// arrived records how many received bytes the codec has left, and returns the number of bytes received since the last
// call.
func (i *inbound) arrived(unread, used int) int {
	bytes := unread - i.buffered
	i.buffered = unread - used
	return bytes
}

// begin starts the deadline of a message.
func (i *inbound) begin(now, timeout placement.Millis) {
	i.begunAt = now
	i.received = 0
	i.credited = 0
	i.deadline = now + timeout
	i.lastNumber++
	i.number.Store(i.lastNumber)
}

// progress extends the deadline for bytes of the message: by one timeout for each progressSize bytes.
func (i *inbound) progress(now placement.Millis, bytes int, timeout placement.Millis) {
	i.received += bytes
	earned := (i.received - i.credited) / progressSize
	i.credited += earned * progressSize
	i.deadline = min(i.deadline+placement.Millis(earned)*timeout, max(i.deadline, now+maxProgressTimeouts*timeout))
}

// timeoutError returns the reason for closing the connection of a message that is incomplete at its deadline.
func (i *inbound) timeoutError() error {
	const format = "%w: incomplete %.0f ms after its first bytes"
	elapsed := float64(i.deadline - i.begunAt)
	if i.credited == 0 {
		return fmt.Errorf(format, ErrMessageTimeout, elapsed)
	}
	return fmt.Errorf(format+", with %d bytes received", ErrMessageTimeout, elapsed, i.received)
}

// watchMessage tracks the incomplete message of the connection against Limits.MessageTimeout. The event loop calls it
// after each read: arrived is the number of bytes read, completed reports whether they completed a message, and
// incomplete whether they leave an incomplete one.
func (c *connection) watchMessage(now placement.Millis, arrived int, completed, incomplete bool) {
	if completed || !incomplete {
		c.inbound.number.Store(0)
	}
	if !incomplete {
		return
	}
	timeout := c.worker.limits.MessageTimeout
	if c.inbound.number.Load() == 0 {
		c.inbound.begin(now, timeout)
		c.scheduleMessageCheck()
	}
	c.inbound.progress(now, arrived, timeout)
}

// scheduleMessageCheck schedules a check of the incomplete message for its deadline.
func (c *connection) scheduleMessageCheck() {
	number := c.inbound.number.Load()
	c.worker.queue.push(event{
		kind: eventCall,
		at:   c.inbound.deadline,
		call: func(placement.Millis) { c.requestMessageCheck(number) },
	})
}

// requestMessageCheck has the event loop check the message with that number once it has read what the peer has sent
// until now. The worker calls it. An event loop that was blocked may not have read the end of the message, and a task
// that it runs after one pass over its sockets may still precede the read; therefore the check follows a second pass.
func (c *connection) requestMessageCheck(number uint64) {
	if c.inbound.number.Load() != number || c.state == stateClosed {
		return
	}
	eventLoop := c.socket.EventLoop()
	c.worker.runOnEventLoop(eventLoop, func() {
		c.worker.runOnEventLoop(eventLoop, func() { c.checkMessage(number) })
	})
}

// checkMessage handles a message with that number that is incomplete at its deadline: it closes the connection, unless
// the handler keeps it. If the bytes keep arriving, the check is scheduled again. The event loop calls it.
func (c *connection) checkMessage(number uint64) {
	if c.inbound.number.Load() != number || c.shared.ended.Load() {
		return
	}
	handler, keepsSome := c.worker.stallHandler()
	switch {
	case c.worker.loop.Now() < c.inbound.deadline:
		c.scheduleMessageCheck()
	case keepsSome:
		c.worker.queue.push(event{
			kind: eventStalled,
			conn: c,
			call: func(placement.Millis) { c.askWhetherToKeep(handler, number) },
		})
	default:
		c.fail(c.inbound.timeoutError())
	}
}

// askWhetherToKeep asks the handler whether the connection of the message with that number stays open. The worker calls
// it, after the messages that were received before.
func (c *connection) askWhetherToKeep(handler StallHandler, number uint64) {
	if c.inbound.number.Load() != number || c.state == stateClosed {
		return
	}
	keep := handler.KeepStalled(c.id)
	c.worker.runOnEventLoop(c.socket.EventLoop(), func() { c.endStalled(number, keep) })
}

// endStalled closes the connection if the message with that number is still incomplete, or gives it another
// Limits.MessageTimeout. The event loop calls it.
func (c *connection) endStalled(number uint64, keep bool) {
	if c.inbound.number.Load() != number || c.shared.ended.Load() {
		return
	}
	now := c.worker.loop.Now()
	if !keep && now >= c.inbound.deadline {
		c.fail(c.inbound.timeoutError())
		return
	}
	c.inbound.deadline = max(c.inbound.deadline, now+c.worker.limits.MessageTimeout)
	c.scheduleMessageCheck()
}
