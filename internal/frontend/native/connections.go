package native

import (
	"errors"

	"grebeglade/internal/frontend"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// helloTimeout is how long, in ms, a new connection may take until the peer's hello.
const helloTimeout = placement.Millis(5e3)

// reconnectBackoff is the delay before the next dial to a node or to the discovery service. A longer Max would leave a
// node unused for long after it is back.
var reconnectBackoff = frontend.Backoff{Initial: 100, Max: 10e3}

// Reasons for which the frontend ends a connection. errHelloTimeout is sent to the peer, and operators see
// errWrongNode.
var (
	errHelloTimeout   = errors.New("no hello came in time")
	errConnectTimeout = errors.New("no connection in time")
	errAddressChanged = errors.New("the discovery service names another address")
	errWrongNode      = errors.New("another than the node that the list names answers at its address")
	errNoDiscovery    = errors.New("no discovery service answers at its address")
)

// connection is what is known of the peer of a connection to a node or of one that was accepted.
type connection struct {
	role   pb.Role        // unspecified while the hello is awaited
	client *clientSession // of the role CLIENT
	node   *node          // of the role NODE
}

// awaitsHello reports whether the peer connected to this side and has sent no hello yet.
func (c *connection) awaitsHello() bool { return c.role == pb.Role_ROLE_UNSPECIFIED }

// closeHandler handles the end of a connection.
type closeHandler interface {
	Closed(now placement.Millis, conn transport.ConnID, reason error)
}

// connections are the open connections, but for the one to the discovery service.
type connections struct {
	*environment
	byID map[transport.ConnID]*connection
	// closeHandler handles the end of a connection that disconnect ends, as if the peer had closed it.
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

// get returns what is known of the peer, if the connection is open.
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

// clientName returns the name of the client at the other end, "" if its hello is awaited or it is no client.
func (t *connections) clientName(id transport.ConnID) string {
	peer, open := t.get(id)
	if !open || peer.client == nil {
		return ""
	}
	return peer.client.name
}

// awaitsHello reports whether a connection is open and its peer has sent no hello.
func (t *connections) awaitsHello(id transport.ConnID) bool {
	peer, open := t.get(id)
	return open && peer.awaitsHello()
}

// helloOf returns the hello that is a peer's first frame. The error is one of transport.CheckHello or of accepts.
func helloOf(frame *pb.Frame, accepts func(*pb.Hello) error) (*pb.Hello, error) {
	hello, err := transport.CheckHello(frame)
	if err != nil {
		return nil, err
	}
	return hello, accepts(hello)
}
