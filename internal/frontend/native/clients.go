package native

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// clientSession is a client's connection from its hello to its end.
type clientSession struct {
	name    string
	conn    transport.ConnID
	history requestHistory
	transit transitTimes
}

// clientSessions are the sessions of the connected clients. Unlike on the platform, where a client is a connection
// and notifications wait for its next one, a client has a name, and nothing waits: its next hello is answered with
// what runs. A client has one at a time: a later connection under the same name replaces the earlier one.
type clientSessions struct {
	*environment
	byName map[string]*clientSession
}

func newClientSessions(env *environment) *clientSessions {
	return &clientSessions{environment: env, byName: map[string]*clientSession{}}
}

// open begins a client's session, with an empty history. An earlier one under the same name is forgotten.
func (s *clientSessions) open(c transport.ConnID, name string) *clientSession {
	session := &clientSession{name: name, conn: c}
	s.byName[name] = session
	return session
}

// close ends a session, unless another one has its name by now.
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

// answer sends a request's final answer, and records that the request has ended.
func (s *clientSessions) answer(name string, a *pb.Answer) {
	s.markAnswered(name, a.RequestId)
	s.send(name, &pb.Frame{Body: &pb.Frame_Answer{Answer: a}})
}

// notifyEnded notifies a client that a workload or a gang of it has ended.
func (s *clientSessions) notifyEnded(name string, end *pb.WorkloadEnded) {
	s.send(name, &pb.Frame{Body: &pb.Frame_WorkloadEnded{WorkloadEnded: end}})
}

// requestDelay is how much of a request's time had passed when it was received, in ms: what the network delayed it
// as far as is known, or what it may have waited while this process was stopped. It is called once for each
// request, since the session keeps the transit time.
func (s *clientSessions) requestDelay(
	now placement.Millis, session *clientSession, sentMs float64,
) placement.Millis {
	return max(session.transit.delay(now, sentMs), s.host.RecentStall())
}

// markAnswered records in the client's session that a request was answered.
func (s *clientSessions) markAnswered(name string, request uint64) {
	if session, ok := s.byName[name]; ok {
		session.history.add(request, requestAnswered)
	}
}

// withdrew reports whether a client has withdrawn a request in its present session.
func (s *clientSessions) withdrew(name string, request uint64) bool {
	session, ok := s.byName[name]
	return ok && session.history.withdrawn(request)
}
