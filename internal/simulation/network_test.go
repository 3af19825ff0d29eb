package simulation

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

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
