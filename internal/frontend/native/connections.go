package native

import (
	"errors"
	"log/slog"

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

// Reasons for which the frontend ends a connection. errHelloTimeout is sent to the peer, and operators see errWrongNode.
var (
	errHelloTimeout   = errors.New("no hello came in time")
	errConnectTimeout = errors.New("no connection in time")
	errAddressChanged = errors.New("the discovery service names another address")
	errWrongNode      = errors.New("another than the node that the list names answers at its address")
	errNoDiscovery    = errors.New("no discovery service answers at its address")
)

// connection is what is known of the peer of a connection to a node or of one that was accepted.
type connection struct {
	role   pb.Role        // unspecified until the hello of a peer that connected to us
	client *clientSession // of the role OWNER
	node   *node          // of the role NODE
}

// connections are the open connections, but for the one to the discovery service.
type connections struct {
	byID    map[transport.ConnID]*connection
	network transport.FrameNetwork
	log     *slog.Logger
	// closed handles the end of a connection that disconnect ends, as if the peer had closed it.
	closed func(c transport.ConnID, reason error)
}

func (t *connections) add(c transport.ConnID, conn *connection) { t.byID[c] = conn }

func (t *connections) get(c transport.ConnID) (conn *connection, open bool) {
	conn, open = t.byID[c]
	return conn, open
}

func (t *connections) remove(c transport.ConnID) { delete(t.byID, c) }

// disconnect ends a connection from this side.
func (t *connections) disconnect(c transport.ConnID, reason error) {
	t.network.Close(c)
	t.closed(c, reason)
}

// refuse ends a connection after sending the peer the reason.
func (t *connections) refuse(c transport.ConnID, reason error) {
	t.log.Warn("connection rejected", "reason", reason)
	t.network.Send(c, transport.RefusalFrame(reason.Error()))
	t.disconnect(c, reason)
}

// helloOf returns the hello that is a peer's first frame. The error is one of transport.CheckHello or of accepts.
func helloOf(f *pb.Frame, accepts func(*pb.Hello) error) (*pb.Hello, error) {
	h, err := transport.CheckHello(f)
	if err != nil {
		return nil, err
	}
	return h, accepts(h)
}

// awaitsHello reports whether a connection is open and its peer has sent no hello.
func (t *connections) awaitsHello(c transport.ConnID) bool {
	conn, open := t.get(c)
	return open && conn.role == pb.Role_ROLE_UNSPECIFIED
}
