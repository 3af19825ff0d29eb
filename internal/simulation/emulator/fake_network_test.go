package emulator

import (
	"fmt"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// fakeNetwork records the sent frames and the wake-up time of one handler under test.
type fakeNetwork struct {
	now  placement.Millis
	wake placement.Millis
	sent []*pb.Frame
}

func (n *fakeNetwork) Dial(string) transport.ConnID { return 1 }
func (n *fakeNetwork) Send(_ transport.ConnID, f *pb.Frame) {
	n.sent = append(n.sent, f)
}
func (n *fakeNetwork) Close(transport.ConnID)    {}
func (n *fakeNetwork) WakeAt(t placement.Millis) { n.wake = t }
func (n *fakeNetwork) Now() placement.Millis     { return n.now }

// run wakes a handler at each wake-up time that it sets, up to until, and advances the clock to until.
func (n *fakeNetwork) run(handler interface{ Wake(now placement.Millis) }, until placement.Millis) {
	for n.wake <= until {
		n.now = n.wake
		handler.Wake(n.now)
	}
	n.now = until
}

// offerAnswers returns the node's answers to offers as text since the last call, and clears the sent frames.
func (n *fakeNetwork) offerAnswers() (all []string) {
	for _, f := range n.sent {
		if a := f.GetOfferReply(); a != nil {
			all = append(all, fmt.Sprintf("%d %v %s", a.Bind.Workload, a.Accepted, a.Text))
		}
	}
	n.sent = nil
	return all
}
