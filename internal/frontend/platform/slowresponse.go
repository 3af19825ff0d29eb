package platform

import (
	"slices"

	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// maxUnanswered is the number of connections to the discovery service that are kept beside the current one while their
// response has not begun. A response may take silenceTimeout for each of them and for the current one: together that is
// below the 8 s within which clients must be notified of an end that the service reports.
const maxUnanswered = 2

// requestAgain repeats the request on another connection. The current one is kept, since its response may follow;
// beyond maxUnanswered, the oldest such connection is closed.
func (s *subscription) requestAgain(now placement.Millis) {
	s.logEnd(now, "discovery service does not respond, requesting again", errUnanswered)
	s.unanswered = append(s.unanswered, s.conn)
	if len(s.unanswered) > maxUnanswered {
		s.net.Close(s.unanswered[0])
		s.unanswered = s.unanswered[1:]
	}
	s.down(now)
	s.connect(now)
}

// switchTo makes an earlier connection, whose response begins, the current one.
func (s *subscription) switchTo(id transport.ConnID) {
	if s.state != subscriptionDown {
		s.net.Close(s.conn)
	}
	s.forgetUnanswered(id)
	s.conn = id
	s.state = subscriptionRequested
	s.watchSilence(id)
}

// responding records that something was received on the current connection. The requests on earlier ones are not needed
// any more.
func (s *subscription) responding(now placement.Millis) {
	s.lastReceived = now
	if s.state != subscriptionRequested {
		return
	}
	s.state = subscriptionOpen
	s.respondedAt = now
	s.closeUnanswered()
}

// closeUnanswered closes the earlier connections.
func (s *subscription) closeUnanswered() {
	for _, id := range s.unanswered {
		s.net.Close(id)
	}
	s.unanswered = nil
}

// forgetUnanswered removes an earlier connection.
func (s *subscription) forgetUnanswered(id transport.ConnID) {
	s.unanswered = slices.DeleteFunc(s.unanswered, func(other transport.ConnID) bool { return other == id })
}
