package native

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// discovery maintains the subscription to the discovery service. The engine requests a subscription if it received no
// update for too long.
type discovery struct {
	*environment
	address     string
	connections *connections
	membership  *membership

	state    sessionState
	conn     transport.ConnID // 0 while disconnected
	failures int              // failed dials and lost connections since the last hello
	// awaitingUpdate is true from a call of subscribe until an update is received or the connection ends. The request
	// is sent after the hello.
	awaitingUpdate bool
	epoch          uint64 // epoch of the last update
	revision       uint64 // revision of the last update; 0 for no update in this epoch
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
	conn := d.network.Dial(d.address)
	d.state = sessionConnecting
	d.conn = conn
	deadline := helloDeadline{begins: now + helloTimeout, complete: noDeadline}
	d.scheduleHelloDeadline(deadline, conn, func(placement.Millis) {
		if d.conn == conn && d.state == sessionConnecting {
			d.connections.disconnect(conn, errHelloTimeout)
		}
	})
}

// closed handles the end of the connection or a failed dial.
func (d *discovery) closed(now placement.Millis, reason error) {
	d.log.Warn("no connection to discovery service", "address", d.address, "reason", reason)
	wasAwaited := d.awaitingUpdate
	d.state = sessionDisconnected
	d.conn = 0
	d.awaitingUpdate = false
	if wasAwaited {
		d.host.Engine().UpdateNodes(now, placement.PollFailed, nil)
	}
	delay := d.host.RetryDelay(reconnectBackoff, d.failures)
	d.failures++
	d.host.Schedule(now+delay, d.dial)
}

// subscribe requests all changes since the last update, and a stream of further ones.
func (d *discovery) subscribe() {
	d.awaitingUpdate = true
	if d.state != sessionConnected {
		return // handshake calls subscribe again
	}
	d.counters.DiscoveryCalls++
	request := &pb.NodeListRequest{
		Watch:    true,
		Epoch:    d.epoch,
		Revision: d.revision,
	}
	d.network.Send(d.conn, &pb.Frame{Body: &pb.Frame_NodeListRequest{NodeListRequest: request}})
}

// received handles a frame of the discovery service.
func (d *discovery) received(now placement.Millis, frame *pb.Frame) {
	if d.state != sessionConnected {
		d.handshake(frame)
		return
	}
	if update := frame.GetNodeListUpdate(); update != nil {
		d.updated(now, update)
	}
}

// handshake handles the first frame. It closes the connection unless the frame is the hello of a discovery service.
func (d *discovery) handshake(frame *pb.Frame) {
	_, err := helloOf(frame, func(hello *pb.Hello) error {
		if hello.Role != pb.Role_DISCOVERY {
			return errNoDiscovery
		}
		return nil
	})
	if err != nil {
		d.connections.disconnect(d.conn, err)
		return
	}
	d.state = sessionConnected
	d.failures = 0
	if d.awaitingUpdate {
		d.subscribe()
	}
}

// updateKind is how an update of the node list relates to the last one that was applied.
type updateKind uint8

const (
	updateFailed      updateKind = iota // the poll failed: no information about the nodes
	updateWithoutBase                   // a delta of another epoch, whose base revision was not received
	updateOutdated                      // older than the last one
	updateUnchanged                     // a delta without changes, which shows that the subscription is alive
	updateNew
)

// kindOf returns how an update relates to the last one that was applied.
func (d *discovery) kindOf(update *pb.NodeListUpdate) updateKind {
	sameEpoch := update.Epoch == d.epoch
	snapshot := update.Kind == pb.NodeListUpdate_SNAPSHOT
	switch {
	case update.Kind == pb.NodeListUpdate_POLL_FAILED:
		return updateFailed
	case !sameEpoch && !snapshot:
		return updateWithoutBase
	case sameEpoch && update.Revision < d.revision:
		return updateOutdated
	case sameEpoch && update.Revision == d.revision && !snapshot:
		return updateUnchanged
	}
	return updateNew
}

// updated handles an update of the node list, requested or not.
func (d *discovery) updated(now placement.Millis, update *pb.NodeListUpdate) {
	d.awaitingUpdate = false
	switch d.kindOf(update) {
	case updateFailed:
		d.host.Engine().UpdateNodes(now, placement.PollFailed, nil)
	case updateWithoutBase:
		d.resubscribe()
	case updateOutdated: // a later one was applied
	case updateUnchanged:
		d.host.Engine().UpdateNodes(now, placement.Delta, nil)
	case updateNew:
		d.apply(now, update)
	}
}

// resubscribe requests a snapshot, since deltas of another epoch do not apply to the last revision.
func (d *discovery) resubscribe() {
	d.revision = 0
	d.subscribe()
}

// apply applies an update and records its revision.
func (d *discovery) apply(now placement.Millis, update *pb.NodeListUpdate) {
	d.epoch = update.Epoch
	d.revision = update.Revision
	d.recorder.discoveryRevision(now, update)
	d.membership.update(now, update)
}
