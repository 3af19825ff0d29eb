package native

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// clientSession is the state of a client's connection between its hello and its end.
type clientSession struct {
	name    string
	conn    transport.ConnID
	history requestHistory
	transit transitTimes
}

// clientSessions has the sessions of the connected clients. On the platform a client is a connection, and notifications
// that cannot be sent are queued for a later one. Here a client has a name, and nothing is queued: the reply to its
// next hello lists its running workloads. A client has one session: a later connection under its name replaces the
// earlier one.
type clientSessions struct {
	*environment
	byName map[string]*clientSession
}

func newClientSessions(env *environment) *clientSessions {
	return &clientSessions{environment: env, byName: map[string]*clientSession{}}
}

// open begins a client's session, with an empty history. It replaces an earlier one under the same name.
func (s *clientSessions) open(c transport.ConnID, name string) *clientSession {
	session := &clientSession{name: name, conn: c}
	s.byName[name] = session
	return session
}

// close removes a session, unless another one has replaced it.
func (s *clientSessions) close(session *clientSession) {
	if s.byName[session.name] == session {
		delete(s.byName, session.name)
	}
}

// get returns a client's session, if it has one.
func (s *clientSessions) get(name string) (*clientSession, bool) {
	session, ok := s.byName[name]
	return session, ok
}

// send sends a frame to a client. It drops the frame if the client is not connected: the reply to the client's next
// hello lists its running workloads.
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

// notifyEnded notifies a client that one of its workloads or gangs has ended.
func (s *clientSessions) notifyEnded(name string, end *pb.WorkloadEnded) {
	s.send(name, &pb.Frame{Body: &pb.Frame_WorkloadEnded{WorkloadEnded: end}})
}

// requestDelay returns how much of a request's timeout had elapsed when it was received, in ms: the larger of the
// estimated network delay and a recent stall of this process. It must be called once per request, since the session
// records the transit time.
func (s *clientSessions) requestDelay(
	now placement.Millis, session *clientSession, sentMs float64,
) placement.Millis {
	return max(session.transit.observe(now, sentMs), s.host.RecentStall())
}

// markAnswered records in the client's session that a request was answered.
func (s *clientSessions) markAnswered(name string, request uint64) {
	if session, ok := s.byName[name]; ok {
		session.history.add(request, requestAnswered)
	}
}

// hasWithdrawn reports whether a client has withdrawn a request in its present session.
func (s *clientSessions) hasWithdrawn(name string, request uint64) bool {
	session, ok := s.byName[name]
	return ok && session.history.withdrawn(request)
}
