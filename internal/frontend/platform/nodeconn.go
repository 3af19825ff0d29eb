package platform

import (
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// connState is the state of a node connection. States advance in the order of the constants; connClosed may follow any
// other state.
type connState uint8

const (
	connDialing connState = iota
	connOpen              // used for new offers
	connRetired           // replaced, or of a check that is over; see nodeConns.closeReplaced
	connClosed
)

// recentReleases is the number of terminations that a connection to a node remembers. A late confirmation of one that
// is forgotten causes a second termination, which has no effect.
const recentReleases = 16

// nodeConn is a connection to a node.
type nodeConn struct {
	id    transport.ConnID
	node  *node
	state connState
	// checkOnly states that the connection was opened for a check and has not become its node's current connection.
	checkOnly bool
	// dialedAt is the time of the dial.
	dialedAt    placement.Millis
	abandonedAt placement.Millis // time of the last abandoned offer on the connection, or DistantPast
	responded   bool             // a message of the node was received, on any connection, since this one was retired
	respondedAt placement.Millis // time of the first such message; valid if responded
	// lastSent is the time of the last offer, health check or release, or of the dial. Pending releases do not set it.
	lastSent     placement.Millis
	lastReceived placement.Millis                   // time of the last message, or of opening
	offers       map[placement.WorkloadID]*workload // offers sent on the connection without a reply

	released [recentReleases]codec.Tag // workloads whose terminations were sent last on the connection
	releases int                       // terminations sent so far
}

// recordRelease records that the termination of a workload was sent on the connection.
func (c *nodeConn) recordRelease(tag codec.Tag) {
	c.released[c.releases%len(c.released)] = tag
	c.releases++
}

// isOpen reports whether messages can be sent on the connection.
func (c *nodeConn) isOpen() bool { return c.state == connOpen || c.state == connRetired }

// retire stops using the connection for new offers, so that another one can be dialed.
func (c *nodeConn) retire() {
	c.state = connRetired
	if c.node.conn == c {
		c.node.conn = nil
	}
	if c.node.check.conn == c {
		c.node.check.conn = nil
	}
	c.node.retired = append(c.node.retired, c)
}

// evictedBefore defines the eviction order: dispensable ones come first, the latest before the others, since a node
// that hangs accepts the oldest first. Then come connections to nodes without workloads, then those with an older
// lastSent.
func (c *nodeConn) evictedBefore(other *nodeConn) bool {
	unused := len(c.node.workloads) == 0
	otherUnused := len(other.node.workloads) == 0
	switch {
	case c.dispensable() != other.dispensable():
		return c.dispensable()
	case c.dispensable():
		return c.id > other.id
	case unused != otherUnused:
		return unused
	case c.lastSent != other.lastSent:
		return c.lastSent < other.lastSent
	}
	return c.id < other.id
}
