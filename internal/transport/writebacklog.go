package transport

import (
	"cmp"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"grebeglade/placement"
)

const (
	// backlogCheckInterval, in ms, is the time between two checks of an event loop's write backlog.
	backlogCheckInterval = placement.Millis(250)
	// minReadTime, in ms, is the time that a peer always has for reading before its connection is closed for the total
	// backlog: several round trips and a retransmission.
	minReadTime = placement.Millis(250)
)

// outbound counts the bytes of one connection on its event loop. The fields are used by the event loop only.
type outbound struct {
	written  uint64           // bytes passed to the socket since the connection was opened, including waiting ones
	waiting  int              // bytes that the socket had not accepted at the latest observation
	mark     uint64           // value of written at markedAt
	markedAt placement.Millis // time since which some of the bytes before mark wait; valid if waiting > 0
	closed   bool             // the connection was closed, by either side
}

// observe updates the counts after the socket has accepted all but the given number of bytes. Once all bytes before the
// mark are accepted, it sets a new mark.
func (o *outbound) observe(now placement.Millis, waiting int) {
	wasEmpty := o.waiting == 0
	o.waiting = waiting
	accepted := o.written - uint64(waiting)
	if wasEmpty || accepted >= o.mark {
		o.mark = o.written
		o.markedAt = now
	}
}

// writeBacklog tracks the bytes that the sockets of one event loop have not accepted, and closes the connections of
// peers that do not read. Its methods must be called on that event loop.
//
// Only bytes that the event loop has offered to a socket count: bytes on the way from the worker to the event loop say
// nothing about the peer. A peer that reads gets any number of bytes, since the bytes before a mark do not wait long.
type writeBacklog struct {
	worker         *worker
	loop           gnet.EventLoop // set with the first connection
	total          int            // sum of outbound.waiting
	conns          map[*connection]struct{}
	checkScheduled bool
}

func newWriteBacklog(w *worker) *writeBacklog {
	return &writeBacklog{worker: w, conns: map[*connection]struct{}{}}
}

// opened prepares for a new connection of the event loop.
func (b *writeBacklog) opened(c *connection) {
	if b.loop == nil { // set once, since the worker reads it too
		b.loop = c.socket.EventLoop()
	}
}

// written records that the given number of bytes was passed to the socket of a connection.
func (b *writeBacklog) written(now placement.Millis, c *connection, bytes int) {
	c.outbound.written += uint64(bytes)
	b.observe(now, c)
	if b.exceedsTotal() || b.exceedsBuffer(c) {
		b.scheduleCheck(now)
	}
}

// closed removes a connection.
func (b *writeBacklog) closed(c *connection) {
	c.outbound.closed = true
	b.total -= c.outbound.waiting
	c.outbound.waiting = 0
	delete(b.conns, c)
}

// observe updates the counts of a connection, unless it was closed.
func (b *writeBacklog) observe(now placement.Millis, c *connection) {
	if c.outbound.closed {
		return
	}
	before := c.outbound.waiting
	c.outbound.observe(now, c.socket.OutboundBuffered())
	b.total += c.outbound.waiting - before
	if c.outbound.waiting == 0 {
		delete(b.conns, c)
	} else {
		b.conns[c] = struct{}{}
	}
	b.worker.loop.Stats.recordWriteBacklog(b.total)
}

// exceedsTotal reports whether the total is above its limit.
func (b *writeBacklog) exceedsTotal() bool { return b.total > b.worker.limits.MaxTotalWriteBuffer }

// exceedsBuffer reports whether the backlog of a connection is above its limit.
func (b *writeBacklog) exceedsBuffer(c *connection) bool {
	return c.outbound.waiting > b.worker.limits.MaxWriteBuffer
}

// exceedsLimit reports whether the total, or the backlog of any connection, is above its limit.
func (b *writeBacklog) exceedsLimit() bool {
	if b.exceedsTotal() {
		return true
	}
	for c := range b.conns {
		if b.exceedsBuffer(c) {
			return true
		}
	}
	return false
}

// scheduleCheck schedules a check, unless one is scheduled.
func (b *writeBacklog) scheduleCheck(now placement.Millis) {
	if b.checkScheduled {
		return
	}
	b.checkScheduled = true
	b.worker.queue.push(event{
		kind: eventCall,
		at:   now + backlogCheckInterval,
		call: func(placement.Millis) { b.requestCheck() },
	})
}

// requestCheck has the event loop run a check. The worker calls it.
func (b *writeBacklog) requestCheck() {
	b.worker.runOnEventLoop(b.loop, func() { b.check(b.worker.loop.Now()) })
}

// check closes the connections of slow peers, and schedules the next check if a limit is still exceeded.
func (b *writeBacklog) check(now placement.Millis) {
	b.checkScheduled = false
	for c := range b.conns {
		b.offerAgain(c)
		b.observe(now, c)
	}
	b.closeSlow(now)
	b.closeLongestWaiting(now)
	if b.exceedsLimit() {
		b.scheduleCheck(now)
	}
}

// offerAgain passes waiting bytes to the socket once more: an event loop that was blocked may not have done so since
// the peer has read.
func (b *writeBacklog) offerAgain(c *connection) {
	if err := c.socket.Flush(); err != nil {
		b.worker.loop.log.Debug("waiting bytes not written", "peer", c.socket.RemoteAddr(), "error", err)
	}
}

// closeSlow closes the connections with more than MaxWriteBuffer waiting bytes, some of them for SlowPeerTimeout.
func (b *writeBacklog) closeSlow(now placement.Millis) {
	for c := range b.conns {
		if b.exceedsBuffer(c) && now-c.outbound.markedAt >= b.worker.limits.SlowPeerTimeout {
			b.closed(c)
			c.failSlowPeer()
		}
	}
}

// closeLongestWaiting closes connections until the total is within its limit, beginning with the one whose bytes wait
// longest. Connections whose bytes wait for less than minReadTime stay open.
func (b *writeBacklog) closeLongestWaiting(now placement.Millis) {
	if !b.exceedsTotal() {
		return
	}
	byAge := make([]*connection, 0, len(b.conns))
	for c := range b.conns {
		byAge = append(byAge, c)
	}
	slices.SortFunc(byAge, func(x, y *connection) int {
		return cmp.Compare(x.outbound.markedAt, y.outbound.markedAt)
	})
	for _, c := range byAge {
		if !b.exceedsTotal() || now-c.outbound.markedAt < minReadTime {
			return
		}
		b.failLongestWaiting(c)
	}
}

// failLongestWaiting closes the connection whose bytes wait longest.
func (b *writeBacklog) failLongestWaiting(c *connection) {
	exceedsBuffer := b.exceedsBuffer(c)
	b.closed(c)
	if exceedsBuffer {
		c.failSlowPeer()
	} else {
		c.failTotalBacklog()
	}
}
