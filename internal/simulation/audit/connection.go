package audit

import (
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// peer is the process at the other end of a connection, by its hello.
type peer struct {
	role pb.Role
	name string
	node uint32
}

// connectionTable holds the peers of the connections of each process, from the peer's hello until the connection
// closes.
type connectionTable map[*observer.Process]map[transport.ConnID]peer

// identify records who is at the other end of a connection.
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

// peerOf returns the other end of the connection on which a frame was seen, and whether it has said hello.
func (t connectionTable) peerOf(seen frame) (peer, bool) {
	other, ok := t[seen.process][seen.conn]
	return other, ok
}

// remove forgets a connection, and returns its other end and whether that had said hello.
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
