package platform

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// fakeNetwork is a transport.Network that records calls and does no I/O.
type fakeNetwork struct {
	now          placement.Millis
	queuedFor    placement.Millis // time between receiving and handling a message
	lastID       transport.ConnID
	dialed       map[transport.ConnID]string // addresses
	sent         map[transport.ConnID][]any
	closed       map[transport.ConnID]bool // closed by the frontend
	closedByPeer map[transport.ConnID]bool // closed by the peer, not yet handled by the frontend
	receiving    map[transport.ConnID]bool // a part of a message has arrived
	queued       map[transport.ConnID]bool // messages were received and not passed to the frontend
	wakeups      []placement.Millis        // the last requested wake-up
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		dialed:       map[transport.ConnID]string{},
		sent:         map[transport.ConnID][]any{},
		closed:       map[transport.ConnID]bool{},
		closedByPeer: map[transport.ConnID]bool{},
		receiving:    map[transport.ConnID]bool{},
		queued:       map[transport.ConnID]bool{},
	}
}

func (f *fakeNetwork) DialCodec(addr string, _ transport.Codec, _ placement.Millis) transport.ConnID {
	f.lastID++
	f.dialed[f.lastID] = addr
	return f.lastID
}

func (f *fakeNetwork) Send(c transport.ConnID, message any) { f.sent[c] = append(f.sent[c], message) }

func (f *fakeNetwork) Close(c transport.ConnID) { f.closed[c] = true }

func (f *fakeNetwork) ReceivedAt() placement.Millis { return f.now - f.queuedFor }

func (f *fakeNetwork) IsClosed(c transport.ConnID) bool { return f.closed[c] || f.closedByPeer[c] }

func (f *fakeNetwork) Receiving(c transport.ConnID) bool { return f.receiving[c] }

func (f *fakeNetwork) Queued(c transport.ConnID) bool { return f.queued[c] }

func (f *fakeNetwork) WakeAt(at placement.Millis) { f.wakeups = append(f.wakeups[:0], at) }

func (f *fakeNetwork) Now() placement.Millis { return f.now }

// lastDialed returns the last connection that was dialed to an address, or 0 if there is none.
func (f *fakeNetwork) lastDialed(addr string) (last transport.ConnID) {
	for id, dialed := range f.dialed {
		if dialed == addr {
			last = max(last, id)
		}
	}
	return last
}

// countOpen counts the connections that were dialed and not closed. The connection except is not counted.
func (f *fakeNetwork) countOpen(except transport.ConnID) (n int) {
	for id := range f.dialed {
		if id != except && !f.IsClosed(id) {
			n++
		}
	}
	return n
}

// onTheirWay has the ways in which a message may be on its way to the frontend, and the connections on which one is.
var onTheirWay = map[string]func(*fakeNetwork) map[transport.ConnID]bool{
	"a part has arrived": func(n *fakeNetwork) map[transport.ConnID]bool { return n.receiving },
	"queued":             func(n *fakeNetwork) map[transport.ConnID]bool { return n.queued },
}
