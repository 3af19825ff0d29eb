package network

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// fakeNet keeps what is sent.
type fakeNet struct{ sent []*pb.Frame }

func (w *fakeNet) Dial(string) transport.ConnID         { return 1 }
func (w *fakeNet) Send(_ transport.ConnID, f *pb.Frame) { w.sent = append(w.sent, f) }
func (w *fakeNet) Close(transport.ConnID)               {}
func (w *fakeNet) WakeAt(placement.Millis)              {}
func (w *fakeNet) Now() placement.Millis                { return 0 }

// hearer is a party that notes when it heard what.
type hearer struct {
	transport.FrameHandler
	heard []uint64
	at    []placement.Millis
}

func (h *hearer) Start(placement.Millis, transport.FrameNetwork)   {}
func (h *hearer) Opened(placement.Millis, transport.ConnID)        {}
func (h *hearer) Closed(placement.Millis, transport.ConnID, error) {}
func (h *hearer) Wake(now placement.Millis)                        { h.at = append(h.at, now) }
func (h *hearer) Received(now placement.Millis, _ transport.ConnID, f *pb.Frame) {
	h.heard, h.at = append(h.heard, f.GetHealthCheck().GetId()), append(h.at, now)
}

// troubled is a gate with one connection, and a queue of what the network holds up.
func troubled(t *FrameFaults) (*Interceptor, *hearer, *Virtual) {
	h, v := &hearer{}, NewVirtual(1)
	g := NewInterceptor("x", pb.Role_NODE, 1, observer.Discard{}, func(uint64) transport.FrameHandler { return h })
	g.Start(0, &fakeNet{})
	g.Opened(0, 1)
	if t != nil {
		t.Random = rand.New(rand.NewPCG(1, 1))
	}
	g.SetFrameFaults(t, func(at placement.Millis, do func(now placement.Millis)) { v.RunAt(nil, at, do) })
	return g, h, v
}

func probe(id uint64) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_HealthCheck{HealthCheck: &pb.HealthCheck{Id: id}}}
}

// hear brings ten frames, a millisecond apart.
func hear(g *Interceptor, v *Virtual) {
	for i := range uint64(10) {
		v.RunAt(nil, placement.Millis(i), func(now placement.Millis) { g.Received(now, 1, probe(i)) })
	}
	v.Run(1000, func() bool { return false })
}

func TestInterceptor_DuplicatesDelaysAndReorders(t *testing.T) {
	inOrder := []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	g, h, v := troubled(&FrameFaults{Share: 1, Duplicate: true})
	hear(g, v)
	assert.Len(t, h.heard, 20)

	g, h, v = troubled(&FrameFaults{Share: 0.5, Delay: 50})
	hear(g, v)
	assert.Equal(t, inOrder, h.heard, "a stream keeps its order")
	assert.Greater(t, h.at[9], placement.Millis(9))

	g, h, v = troubled(&FrameFaults{Share: 0.5, Delay: 50, Reorder: true})
	hear(g, v)
	assert.ElementsMatch(t, inOrder, h.heard)
	assert.NotEqual(t, inOrder, h.heard)

	// What is held up when the trouble ends still comes first.
	g, h, v = troubled(&FrameFaults{Share: 1, Delay: 50})
	v.RunAt(nil, 4.5, func(placement.Millis) { g.SetFrameFaults(nil, g.schedule) })
	hear(g, v)
	assert.Equal(t, inOrder, h.heard)
}

func TestInterceptor_CutDirection(t *testing.T) {
	g, h, _ := troubled(nil)
	g.CutDirection(false)
	g.Received(1, 1, probe(1))
	assert.Empty(t, h.heard)
	g.Send(1, probe(2))
	assert.Len(t, g.net.(*fakeNet).sent, 1)
	g.Heal(2)
	assert.Equal(t, []uint64{1}, h.heard, "it arrives once the cut ends")

	g.CutDirection(true)
	g.Received(3, 1, probe(3))
	g.Send(1, probe(4))
	assert.Equal(t, []uint64{1, 3}, h.heard)
	assert.Len(t, g.net.(*fakeNet).sent, 1)
	g.BreakConnections(4)
	g.Heal(5)
	assert.Len(t, g.net.(*fakeNet).sent, 1, "what was held when the connection broke is lost")
}

// A wake-up that was set by a clock of another pace must not come before its time by that clock: the party would
// ask for the same again at the same instant, and virtual time would stand still.
func TestClock_WakeUpsAreNeverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := clock{
			rate: rapid.Float64Range(0.5, 2).Draw(t, "rate"),
			host: placement.Millis(rapid.Float64Range(0, 1e7).Draw(t, "host")),
		}
		k.own = k.host + placement.Millis(rapid.Float64Range(0, 1e7).Draw(t, "ahead"))
		at := k.own + placement.Millis(rapid.Float64Range(0, 1e5).Draw(t, "due"))
		if k.toLocal(k.toHost(at)) < at {
			t.Fatalf("%v is shown too early", at)
		}
	})
}

func TestInterceptor_SetClock(t *testing.T) {
	g, h, _ := troubled(nil)
	g.SetClock(100, 2, 50)
	g.Wake(110)
	g.SetClock(110, 1, -1000)
	g.Wake(120)
	assert.Equal(t, []placement.Millis{150, 170, 170, 180}, h.at)
}
