package native

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// discovery is the subscription to the discovery service. The engine requests it when there was no update for too long.
type discovery struct {
	*environment
	address     string
	connections *connections
	membership  *membership

	state    sessionState
	conn     transport.ConnID // 0 while disconnected
	failures int              // dials that failed since the last hello
	// awaitingUpdate is set from when the engine requested a subscription until an update arrives or the connection
	// ends. The request is sent after the hello.
	awaitingUpdate bool
	epoch          uint64 // of the last update
	revision       uint64 // of the last update; 0 for none of this epoch
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
	d.host.Schedule(now+helloTimeout, func(placement.Millis) {
		if d.conn == conn && d.state == sessionConnecting {
			d.connections.disconnect(conn, errHelloTimeout)
		}
	})
}

// closed handles the end of the connection, or that it could not be dialed.
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

// subscribe requests the changes since the last update, and further ones as they come.
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

// handshake handles the first frame: a hello of a discovery service, or the connection ends.
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

// updateKind says how an update of the node list relates to the last one that was applied.
type updateKind uint8

const (
	updateFailed      updateKind = iota // the poll has failed: it tells nothing of the nodes
	updateWithoutBase                   // a delta of another epoch: the revision it changes is not known here
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

// updated handles an answer to the subscription, or an update that came by itself.
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

// resubscribe requests a snapshot: no delta applies to the last revision any more.
func (d *discovery) resubscribe() {
	d.revision = 0
	d.subscribe()
}

// apply applies an update, and remembers its revision.
func (d *discovery) apply(now placement.Millis, update *pb.NodeListUpdate) {
	d.epoch = update.Epoch
	d.revision = update.Revision
	d.recorder.discoveryRevision(now, update)
	d.membership.update(now, update)
}
