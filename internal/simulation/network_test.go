package simulation

import (
	"context"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

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
	h.heard, h.at = append(h.heard, f.GetProbe().GetId()), append(h.at, now)
}

// troubled is a gate with one connection, and a queue of what the network holds up.
func troubled(t *FrameFaults) (*Interceptor, *hearer, *Virtual) {
	h, v := &hearer{}, NewVirtual(1)
	g := NewInterceptor("x", pb.Role_NODE, 1, observer.Discard{}, func(uint64) transport.FrameHandler { return h })
	g.Start(0, &nodeWire{})
	g.Opened(0, 1)
	if t != nil {
		t.rng = rand.New(rand.NewPCG(1, 1))
	}
	g.SetFrameFaults(t, func(at placement.Millis, do func(now placement.Millis)) { v.RunAt(nil, at, do) })
	return g, h, v
}

func probe(id uint64) *pb.Frame { return &pb.Frame{Body: &pb.Frame_Probe{Probe: &pb.Probe{Id: id}}} }

// hear brings ten frames, a millisecond apart.
func hear(g *Interceptor, v *Virtual) {
	for i := range uint64(10) {
		v.RunAt(nil, placement.Millis(i), func(now placement.Millis) { g.Received(now, 1, probe(i)) })
	}
	v.Run(1000, func() bool { return false })
}

func TestTheNetworkDoublesDelaysAndReordersFrames(t *testing.T) {
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

func TestACutOfOneDirectionLeavesTheOther(t *testing.T) {
	g, h, _ := troubled(nil)
	g.CutDirection(false)
	g.Received(1, 1, probe(1))
	assert.Empty(t, h.heard)
	g.Send(1, probe(2))
	assert.Len(t, g.net.(*nodeWire).sent, 1)
	g.Heal(2)
	assert.Equal(t, []uint64{1}, h.heard, "it arrives once the cut ends")

	g.CutDirection(true)
	g.Received(3, 1, probe(3))
	g.Send(1, probe(4))
	assert.Equal(t, []uint64{1, 3}, h.heard)
	assert.Len(t, g.net.(*nodeWire).sent, 1)
	g.BreakConnections(4)
	g.Heal(5)
	assert.Len(t, g.net.(*nodeWire).sent, 1, "what was held when the connection broke is lost")
}

// A wake-up that was set by a clock of another pace must not come before its time by that clock: the party would
// ask for the same again at the same instant, and virtual time would stand still.
func TestAWakeUpNeverComesEarlyByAnyClock(t *testing.T) {
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

func TestAClockGoesAtItsPaceAndIsNeverSteppedBack(t *testing.T) {
	g, h, _ := troubled(nil)
	g.SetClock(100, 2, 50)
	g.Wake(110)
	g.SetClock(110, 1, -1000)
	g.Wake(120)
	assert.Equal(t, []placement.Millis{150, 170, 170, 180}, h.at)
}

func TestANodeThatLiesReportsLessAndOneThatIsStuckStartsNothing(t *testing.T) {
	m := &scenario.NodeModel{
		CoreOvercommit: 1, MemoryOvercommit: 1, AdmissionTime: 1, QueueLimit: 3, ConcurrentStarts: 1, UncachedStartFactor: 1, ReportInterval: 10, DrainMode: "keeps",
		Groups: map[string]*scenario.GroupModel{"g": {StartTime: 5, CoreUse: 1, MemoryUse: 1}},
	}
	w := &nodeWire{}
	n := NewNode(&NodeSpec{ID: 1, Cores: 10, Memory: 10}, m, 1)
	n.Start(0, w)
	n.StartsBlocked = true
	n.accept(0, &pb.Offer{Bind: &pb.BindID{Workload: 1}, Ask: &pb.Ask{Group: "g", Cores: 4, Memory: 4, RunsForMs: 1e5}})
	w.run(n, 50)
	assert.False(t, n.tasks[0].running)
	n.UnblockStarts(50)
	w.run(n, 100)
	assert.True(t, n.tasks[0].running)
	told := *n.load.SpareCores
	assert.Less(t, told, 10.0)
	n.UnderreportedShare = 1
	w.run(n, 150)
	assert.Equal(t, 10.0, *n.load.SpareCores)
	assert.Greater(t, *n.load.SpareCores, told)
}

func TestAListThatIsStaleOrEmptyOrWrongSaysSo(t *testing.T) {
	l := NewDiscoveryService(&scenario.DiscoveryModel{Lag: 1, PushInterval: 10, RemovalDelay: 100}, 1)
	w := &nodeWire{}
	l.Start(0, w)
	l.register(0, 1, &pb.NodeEntry{Id: 7, State: pb.NodeEntry_READY, Boot: 1, FreeCores: 4})
	tells := func() []*pb.NodeEntry { return l.update(0, pb.ListUpdate_WHOLE, 0).GetListUpdate().Entries }
	l.SetStale(0, true)
	l.applyOrDefer(func() { l.register(1, 1, &pb.NodeEntry{Id: 7, State: pb.NodeEntry_DRAINING, Boot: 1, FreeCores: 4}) })
	assert.Equal(t, pb.NodeEntry_READY, tells()[0].State)
	l.SetStale(0, false)
	assert.Equal(t, pb.NodeEntry_DRAINING, tells()[0].State)
	l.Misreport(0, 3, false)
	assert.Equal(t, 12.0, tells()[0].FreeCores)
	before := l.revision
	l.Misreport(0, 1, true)
	assert.Empty(t, tells())
	assert.Greater(t, l.revision, before, "watchers are told")
}

// A fault that is there before the first node is known, and owners that ask at once.
func TestEveryFaultMayBeginBeforeAnyNodeIsKnown(t *testing.T) {
	for kind, known := range scenario.FaultSpecs {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := open(t, "quiet")
				s.SettleTime, s.Length = 0, 6000
				s.Faults = []scenario.Fault{{
					Kind: kind, Duration: 2000, Interval: max(known.DefaultInterval, 500), Share: 0.5, Size: known.DefaultSize, Group: "serve", Zone: "hall-b", DrainTime: 500,
				}}
				kept(t, play(t, s, Options{Seed: seed + 1}))
			}
		})
	}
}

// Days run one to a core and share nothing, so that neither the number of cores nor the order in which days end shows.
func TestResultsDoNotDependOnTheNumberOfCores(t *testing.T) {
	run := func(cores int) *SearchReport {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		h := Search{Seed: 3, MaxRuns: 40, Allocators: 6, Nodes: 12, KeepWorst: 3, Mutant: TwoBinds}
		r, err := h.Run(context.Background(), nil)
		require.NoError(t, err)
		r.Seconds = 0
		return r
	}
	one := run(1)
	assert.Equal(t, one, run(4))
	assert.NotEmpty(t, one.Findings)
}

// What owners, lists and single allocators suffer shows at them, or at the nodes.
func TestFaultsOutsideTheNodesShow(t *testing.T) {
	l := NewDiscoveryService(&scenario.DiscoveryModel{Lag: 1, PushInterval: 10, RemovalDelay: 100}, 1)
	w := &nodeWire{}
	l.Start(0, w)
	l.Opened(0, 1)
	l.subscribers[1].hello = true
	l.ExtraLag = 500
	l.Received(0, 1, &pb.Frame{Body: &pb.Frame_Register{Register: &pb.NodeEntry{Id: 7, State: pb.NodeEntry_READY}}})
	l.Wake(400)
	assert.Empty(t, l.entries, "the list hears of it later")
	l.Wake(501)
	assert.Len(t, l.entries, 1)

	cut := open(t, "quiet")
	cut.Client.Rate = 60
	for at := placement.Millis(500); at < 3500; at += 1000 {
		cut.Faults = append(cut.Faults, scenario.Fault{Kind: scenario.ClientDisconnect, At: at, Share: 1})
	}
	assert.NotZero(t, play(t, cut, Options{Seed: 1}).Disconnected, "what was pending is cut off")

	hot := open(t, "quiet")
	hot.Length = 6000
	hot.Faults = []scenario.Fault{{Kind: scenario.HotAllocator, Duration: 6000, Size: 1}}
	assert.NotEqual(t, play(t, hot, Options{Seed: 1}).Digest, func() string { hot.Faults = nil; return play(t, hot, Options{Seed: 1}).Digest }())
}
