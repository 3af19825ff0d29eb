package native

import (
	"errors"
	"math"

	"grebeglade/internal/frontend"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// helloTimeout is the time limit, in ms, for the beginning of the peer's hello after accepting a connection or dialing
// the discovery service.
const helloTimeout = placement.Millis(5e3)

// maxHelloTime is the time limit, in ms, for the whole hello of an accepted connection, however its bytes arrive.
const maxHelloTime = 4 * helloTimeout

// helloCheckInterval, in ms, is the time between two checks of a hello that is late and on its way.
const helloCheckInterval = placement.Millis(20)

// reconnectBackoff is the delay before the next dial to a node or to the discovery service. A longer Max would
// delay the use of a node that is reachable again.
var reconnectBackoff = frontend.Backoff{Initial: 100, Max: 10e3}

// Reasons for which the frontend ends a connection. errHelloTimeout is sent to the peer. errWrongNode keeps its
// text, since the text is sent to operators.
var (
	errHelloTimeout   = errors.New("no hello came in time")
	errConnectTimeout = errors.New("connection not established before the connect timeout")
	errAddressChanged = errors.New("node address changed in the node list")
	errWrongNode      = errors.New("another than the node that the list names answers at its address")
	errNoDiscovery    = errors.New("peer at the discovery address does not have the discovery role")
)

// connection describes the peer of an accepted connection or of one to a node.
type connection struct {
	role   pb.Role        // role of the peer; unspecified until an accepted peer has sent its hello
	client *clientSession // session of a peer with the role CLIENT; otherwise nil
	node   *node          // dialed node, for the role NODE; otherwise nil
}

// awaitsHello reports whether the connection was accepted and the peer has not sent its hello.
func (c *connection) awaitsHello() bool { return c.role == pb.Role_ROLE_UNSPECIFIED }

// closeHandler handles the end of a connection.
type closeHandler interface {
	Closed(now placement.Millis, conn transport.ConnID, reason error)
}

// connections has the accepted connections and the dialed ones to nodes.
type connections struct {
	*environment
	byID map[transport.ConnID]*connection
	// closeHandler is called for a connection that disconnect closes, as if the peer had closed it.
	closeHandler closeHandler
}

func newConnections(env *environment, handler closeHandler) *connections {
	return &connections{
		environment:  env,
		byID:         map[transport.ConnID]*connection{},
		closeHandler: handler,
	}
}

func (t *connections) add(id transport.ConnID, peer *connection) { t.byID[id] = peer }

// get returns the peer of a connection. open is false if the connection is not in the table.
func (t *connections) get(id transport.ConnID) (peer *connection, open bool) {
	peer, open = t.byID[id]
	return peer, open
}

func (t *connections) remove(id transport.ConnID) { delete(t.byID, id) }

// disconnect ends a connection from this side.
func (t *connections) disconnect(id transport.ConnID, reason error) {
	t.network.Close(id)
	t.closeHandler.Closed(t.host.Now(), id, reason)
}

// refuse ends a connection after sending the peer the reason.
func (t *connections) refuse(id transport.ConnID, reason error) {
	t.log.Warn("connection rejected", "client", t.clientName(id), "reason", reason)
	t.network.Send(id, transport.RefusalFrame(reason.Error()))
	t.disconnect(id, reason)
}

// clientName returns the name of the connected client, or "" if the peer is not a client or has not sent its hello.
func (t *connections) clientName(id transport.ConnID) string {
	peer, open := t.get(id)
	if !open || peer.client == nil {
		return ""
	}
	return peer.client.name
}

// helloDeadline is the time limit of a hello.
type helloDeadline struct {
	begins   placement.Millis // time at which it has to have begun to arrive
	complete placement.Millis // time at which it has to have arrived
}

// noDeadline is the deadline of a hello that may take any time: that of a node lists its workloads. If its bytes do not
// keep arriving, the transport ends the connection.
var noDeadline = placement.Millis(math.Inf(1))

// scheduleHelloDeadline sets a timer for the hello of a connection: call runs once the deadline has passed. Frames that
// are queued have arrived in time.
func (e *environment) scheduleHelloDeadline(
	deadline helloDeadline, conn transport.ConnID, call func(now placement.Millis),
) {
	e.host.Schedule(deadline.begins, func(now placement.Millis) {
		arriving := now < deadline.complete && transport.Receiving(e.network, conn)
		if arriving || transport.Queued(e.network, conn) {
			later := helloDeadline{begins: now + helloCheckInterval, complete: deadline.complete}
			e.scheduleHelloDeadline(later, conn, call)
			return
		}
		call(now)
	})
}

// awaitsHello reports whether a connection was accepted, is still open, and its peer has not sent its hello.
func (t *connections) awaitsHello(id transport.ConnID) bool {
	peer, open := t.get(id)
	return open && peer.awaitsHello()
}

// helloOf returns the hello in a peer's first frame. It returns the error of transport.CheckHello or of accepts.
func helloOf(frame *pb.Frame, accepts func(*pb.Hello) error) (*pb.Hello, error) {
	hello, err := transport.CheckHello(frame)
	if err != nil {
		return nil, err
	}
	return hello, accepts(hello)
}
