package native

import (
	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// clientSession is a client's connection from its hello to its end.
type clientSession struct {
	name    string
	conn    transport.ConnID
	history requestHistory
	transit transitTimes
}

// clientSessions are the sessions of the connected clients. A client has one at a time: a later connection under the same
// name takes the place of the earlier one.
type clientSessions struct {
	*core
	byName map[string]*clientSession
}

func (s *clientSessions) open(c transport.ConnID, name string) *clientSession {
	session := &clientSession{name: name, conn: c}
	s.byName[name] = session
	return session
}

func (s *clientSessions) close(session *clientSession) {
	if s.byName[session.name] == session {
		delete(s.byName, session.name)
	}
}

// connected returns a client's session, if it has one.
func (s *clientSessions) connected(name string) (*clientSession, bool) {
	session, ok := s.byName[name]
	return session, ok
}

// send sends a frame to a client. To one that is not connected nothing is sent: it learns what runs at its next hello.
func (s *clientSessions) send(name string, f *pb.Frame) {
	if session, ok := s.byName[name]; ok {
		s.network.Send(session.conn, f)
	}
}

// answer sends a request's final answer, and notes that the request has ended.
func (s *clientSessions) answer(name string, a *pb.Answer) {
	s.markEnded(name, a.RequestId, false)
	s.send(name, &pb.Frame{Body: &pb.Frame_Answer{Answer: a}})
}

// markEnded notes in the client's session that a request was answered or withdrawn.
func (s *clientSessions) markEnded(name string, request uint64, withdrawn bool) {
	if session, ok := s.byName[name]; ok {
		session.history.add(request, withdrawn)
	}
}

// withdrew reports whether a client has withdrawn a request in its present session.
func (s *clientSessions) withdrew(name string, request uint64) bool {
	session, ok := s.byName[name]
	return ok && session.history.withdrawn(request)
}
