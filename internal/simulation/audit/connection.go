package audit

import (
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// peer is the process at the other end of a connection, as identified by its hello.
type peer struct {
	role pb.Role
	name string
	node uint32 // node ID, if the peer is a node
}

// connectionTable holds, for each process, the peers of its connections. An entry lasts from the peer's hello until the
// connection closes.
type connectionTable map[*observer.Process]map[transport.ConnID]peer

// identify records the peer of a connection.
func (t connectionTable) identify(process *observer.Process, conn transport.ConnID, hello *pb.Hello) {
	if t[process] == nil {
		t[process] = map[transport.ConnID]peer{}
	}
	t[process][conn] = peer{
		role: hello.Role,
		name: hello.Name,
		node: hello.Node,
	}
}

// peerOf returns the peer of the connection on which a frame was observed, or false before the peer's hello.
func (t connectionTable) peerOf(seen frame) (peer, bool) {
	other, ok := t[seen.process][seen.conn]
	return other, ok
}

// remove removes a connection and returns its peer, or false if there was no hello.
func (t connectionTable) remove(process *observer.Process, conn transport.ConnID) (peer, bool) {
	other, ok := t[process][conn]
	delete(t[process], conn)
	return other, ok
}

// connectsNode reports whether a process has a connection to a node.
func (t connectionTable) connectsNode(process *observer.Process, node uint32) bool {
	for _, other := range t[process] {
		if other.role == pb.Role_NODE && other.node == node {
			return true
		}
	}
	return false
}
