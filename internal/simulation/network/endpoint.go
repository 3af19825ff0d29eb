package network

import (
	"fmt"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// endpoint attaches a handler to the virtual network, and implements transport.FrameNetwork for it.
type endpoint struct {
	network *Virtual
	handler transport.FrameHandler
	zone    string
	ends    []*connectionEnd // index: ConnID-1

	// The last wake-up that was set. It replaces earlier ones.
	wakeID      uint64
	wakeAt      placement.Millis
	wakePending bool
}

// connectionEnd is one side of a connection.
type connectionEnd struct {
	at          *endpoint
	id          transport.ConnID
	peer        *connectionEnd   // nil if the dialed address has no handler
	open        bool             // this side has neither closed nor been notified of a close
	lastArrival placement.Millis // time at which the last frame sent from this side arrives at the peer
}

func (p *endpoint) newEnd() *connectionEnd {
	added := &connectionEnd{
		at:   p,
		id:   transport.ConnID(len(p.ends) + 1),
		open: true,
	}
	p.ends = append(p.ends, added)
	return added
}

func (p *endpoint) end(conn transport.ConnID) *connectionEnd { return p.ends[conn-1] }

// handleConnectionEvent notifies the handler of an event on a connection, unless this side has closed it.
func (p *endpoint) handleConnectionEvent(due event) {
	end := p.end(due.conn)
	if !end.open {
		return
	}
	now := p.network.now
	switch due.kind {
	case eventOpened:
		p.handler.Opened(now, due.conn)
	case eventFrame:
		p.handler.Received(now, due.conn, due.frame)
	case eventClosed:
		end.open = false
		p.handler.Closed(now, due.conn, due.reason)
	case eventCall, eventWake:
		// Not events of a connection.
	}
}

// wake notifies the handler of a wake-up, unless a later one has replaced it.
func (p *endpoint) wake(id uint64) {
	if id == p.wakeID {
		p.wakePending = false
		p.handler.Wake(p.network.now)
	}
}

// Now implements transport.FrameNetwork.
func (p *endpoint) Now() placement.Millis { return p.network.now }

// Dial implements transport.FrameNetwork.
func (p *endpoint) Dial(addr string) transport.ConnID {
	near := p.newEnd()
	target := p.network.findEndpoint(addr)
	if target == nil {
		p.network.events.Push(p.network.now, event{
			kind:   eventClosed,
			at:     p,
			conn:   near.id,
			reason: fmt.Errorf("dial %s: no handler has this address", addr),
		})
		return near.id
	}
	far := target.newEnd()
	near.peer = far
	far.peer = near
	p.network.send(near, event{kind: eventOpened})
	// The far end sends the acceptance when the dial arrives, and its frames arrive after the acceptance.
	far.lastArrival = near.lastArrival + p.network.latency(far.at, near.at)
	p.network.events.Push(far.lastArrival, event{
		kind: eventOpened,
		at:   near.at,
		conn: near.id,
	})
	return near.id
}

// Send implements transport.FrameNetwork.
func (p *endpoint) Send(conn transport.ConnID, frame *pb.Frame) {
	end := p.end(conn)
	if end.open && end.peer != nil {
		p.network.send(end, event{kind: eventFrame, frame: frame})
	}
}

// Close implements transport.FrameNetwork.
func (p *endpoint) Close(conn transport.ConnID) {
	end := p.end(conn)
	if !end.open {
		return
	}
	end.open = false
	if end.peer != nil {
		p.network.send(end, event{kind: eventClosed, reason: transport.ErrClosedByPeer})
	}
}

// WakeAt implements transport.FrameNetwork.
func (p *endpoint) WakeAt(t placement.Millis) {
	t = max(t, p.network.now)
	if p.wakePending && t == p.wakeAt {
		return
	}
	p.wakeID++
	p.wakeAt = t
	p.wakePending = true
	p.network.events.Push(t, event{
		kind:   eventWake,
		at:     p,
		wakeID: p.wakeID,
	})
}
