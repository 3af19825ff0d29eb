package native

import (
	"grebeglade/internal/recovery"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// fakeNetwork is a transport.FrameNetwork that records its calls.
type fakeNetwork struct {
	now    placement.Millis
	dialed map[string]transport.ConnID // the last connection to each address
	lastID transport.ConnID
	sent   map[transport.ConnID][]*pb.Frame
	closed map[transport.ConnID]bool
	wakeAt placement.Millis

	receiving map[transport.ConnID]bool // a part of a frame has arrived
	queued    map[transport.ConnID]bool // frames were received and not passed to the frontend
}

var _ transport.FrameNetwork = (*fakeNetwork)(nil)

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		dialed: map[string]transport.ConnID{},
		sent:   map[transport.ConnID][]*pb.Frame{},
		closed: map[transport.ConnID]bool{},

		receiving: map[transport.ConnID]bool{},
		queued:    map[transport.ConnID]bool{},
	}
}

func (n *fakeNetwork) Dial(addr string) transport.ConnID {
	n.lastID++
	n.dialed[addr] = n.lastID
	return n.lastID
}

func (n *fakeNetwork) Send(conn transport.ConnID, frame *pb.Frame) {
	n.sent[conn] = append(n.sent[conn], frame)
}
func (n *fakeNetwork) Close(conn transport.ConnID) { n.closed[conn] = true }
func (n *fakeNetwork) WakeAt(at placement.Millis)  { n.wakeAt = at }
func (n *fakeNetwork) Now() placement.Millis       { return n.now }

func (n *fakeNetwork) Receiving(conn transport.ConnID) bool { return n.receiving[conn] }
func (n *fakeNetwork) Queued(conn transport.ConnID) bool    { return n.queued[conn] }

// takeSent returns what was sent on a connection since the last call.
func (n *fakeNetwork) takeSent(conn transport.ConnID) []*pb.Frame {
	sent := n.sent[conn]
	delete(n.sent, conn)
	return sent
}

// fakeJournal is a BindJournal that records the done callbacks for the test to call.
type fakeJournal struct {
	done []func(now placement.Millis, err error)
}

func (j *fakeJournal) PersistBind(_ recovery.Bind, done func(now placement.Millis, err error)) {
	j.done = append(j.done, done)
}
func (j *fakeJournal) ForgetBind(uint64, uint64, uint32) {}
