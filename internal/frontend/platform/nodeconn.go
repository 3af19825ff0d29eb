package platform

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// connState is the state of a connection to a node. It only goes forward, and from any state to connClosed.
type connState uint8

const (
	connDialing connState = iota
	connOpen              // new offers take it
	connRetired           // replaced: closed once it has no open offer and its successor is open
	connClosed
)

// nodeConn is a connection to a node.
type nodeConn struct {
	id           transport.ConnID
	node         *node
	state        connState
	lastSent     placement.Millis // or dialed
	lastReceived placement.Millis
	offers       map[placement.WorkloadID]*workload // sent on it and without a reply
}

// isOpen reports whether messages can be sent on the connection.
func (c *nodeConn) isOpen() bool { return c.state == connOpen || c.state == connRetired }

// retire has the node's new offers take another connection.
func (c *nodeConn) retire() {
	c.state = connRetired
	c.node.conn = nil
}

// evictedBefore is the eviction order: connections to nodes without workloads first, then those unused for longer.
func (c *nodeConn) evictedBefore(other *nodeConn) bool {
	unused := len(c.node.workloads) == 0
	otherUnused := len(other.node.workloads) == 0
	switch {
	case unused != otherUnused:
		return unused
	case c.lastSent != other.lastSent:
		return c.lastSent < other.lastSent
	}
	return c.id < other.id
}
