package native

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// discovery is the subscription to the discovery service. The engine requests it when no update has come for too long.
type discovery struct {
	*core
	address     string
	connections *connections
	membership  *membership

	state    sessionState
	conn     transport.ConnID // 0 while disconnected
	failures int              // dials that failed since the last hello
	// unanswered is set while the subscription that the engine requested has no reply. The call is sent after the hello.
	unanswered bool
	epoch      uint64 // of the last update
	revision   uint64 // of the last update; 0 for none of this epoch
}

// owns reports whether a connection is the one to the discovery service.
func (d *discovery) owns(c transport.ConnID) bool {
	return d.state != sessionDisconnected && c == d.conn
}

// dial connects to the discovery service, if there is one.
func (d *discovery) dial(now placement.Millis) {
	if d.address == "" {
		return
	}
	c := d.network.Dial(d.address)
	d.state, d.conn = sessionConnecting, c
	d.Schedule(now+helloTimeout, func(placement.Millis) {
		if d.conn == c && d.state == sessionConnecting {
			d.connections.disconnect(c, errHelloTimeout)
		}
	})
}

// closed handles the end of the connection, or that dialling failed.
func (d *discovery) closed(now placement.Millis, reason error) {
	d.log.Warn("no connection to discovery service", "address", d.address, "reason", reason)
	unanswered := d.unanswered
	d.state, d.conn, d.unanswered = sessionDisconnected, 0, false
	if unanswered {
		d.Engine().UpdateNodes(now, placement.PollFailed, nil)
	}
	delay := d.RetryDelay(reconnectBackoff, d.failures)
	d.failures++
	d.Schedule(now+delay, d.dial)
}

// subscribe requests the changes since the last update, and further ones as they come.
func (d *discovery) subscribe() {
	d.unanswered = true
	if d.state != sessionConnected {
		return // handshake calls subscribe again
	}
	d.counters.DiscoveryCalls++
	d.network.Send(d.conn, &pb.Frame{Body: &pb.Frame_NodeListRequest{NodeListRequest: &pb.NodeListRequest{
		Watch: true, Epoch: d.epoch, Revision: d.revision,
	}}})
}

// received handles a frame of the discovery service.
func (d *discovery) received(now placement.Millis, f *pb.Frame) {
	if d.state != sessionConnected {
		d.handshake(f)
		return
	}
	if u := f.GetNodeListUpdate(); u != nil {
		d.updated(now, u)
	}
}

// handshake handles the first frame: a hello of a discovery service, or the connection ends.
func (d *discovery) handshake(f *pb.Frame) {
	_, err := helloOf(f, func(h *pb.Hello) error {
		if h.Role != pb.Role_DISCOVERY {
			return errNoDiscovery
		}
		return nil
	})
	if err != nil {
		d.connections.disconnect(d.conn, err)
		return
	}
	d.state, d.failures = sessionConnected, 0
	if d.unanswered {
		d.subscribe()
	}
}

// updated handles an answer to the subscription, or an update that came by itself.
func (d *discovery) updated(now placement.Millis, u *pb.NodeListUpdate) {
	d.unanswered = false
	if u.Kind == pb.NodeListUpdate_POLL_FAILED {
		d.Engine().UpdateNodes(now, placement.PollFailed, nil)
		return
	}
	sameEpoch, snapshot := u.Epoch == d.epoch, u.Kind == pb.NodeListUpdate_SNAPSHOT
	switch {
	case !sameEpoch && !snapshot:
		// A delta cannot be applied to a revision from before a restart of the service.
		d.revision = 0
		d.subscribe()
		return
	case sameEpoch && u.Revision < d.revision:
		return // an answer older than one that was handled
	case sameEpoch && u.Revision == d.revision && !snapshot:
		d.Engine().UpdateNodes(now, placement.Delta, nil) // nothing has changed, and the subscription is alive
		return
	}
	d.epoch, d.revision = u.Epoch, u.Revision
	d.recorder.discoveryRevision(now, u)
	d.membership.update(now, u)
}
