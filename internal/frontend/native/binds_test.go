package native

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestOffer_ConnectionLostBeforeAnswer_OutcomeUnknown(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.request(1, "once")
	o := x.offer(n)
	x.setTime(5)
	x.disconnect(n)
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_UNSCHEDULABLE}, x.verdicts())
	// The node had accepted it: it may have had an effect, so it runs on, and is adopted.
	n = x.reconnectNode(&pb.RunningWorkload{Offer: o})
	for _, f := range x.network.take(n) {
		assert.Nil(t, f.GetStop())
	}
	assert.Equal(t, 1, x.f.WorkloadCount())
	// An idempotent copy that nobody waits for is stopped.
	x.request(2, "serve")
	o = x.offer(n)
	x.disconnect(n)
	n = x.reconnectNode(&pb.RunningWorkload{Offer: o})
	assert.Equal(t, o.Bind, x.network.take(n)[1].GetStop().GetBind())
}

func TestOfferAnswer_OfUnknownBind_Ignored(t *testing.T) {
	x := newFixture(t)
	n, other := x.node(1), x.node(2)
	x.request(1, "serve")
	offered, another := n, other
	if len(x.network.sent[other]) > len(x.network.sent[n]) {
		offered, another = other, n
	}
	o := x.offer(offered)
	x.answerOffer(another, o.Bind, true, 0) // a node that it was not offered to
	old := &pb.BindID{Allocator: "a", Incarnation: 4, Workload: o.Bind.Workload}
	x.answerOffer(offered, old, true, 0) // of an earlier incarnation of the allocator
	x.answerOffer(offered, nil, true, 0)
	x.answerOffer(offered, &pb.BindID{Allocator: "b", Incarnation: 5, Workload: o.Bind.Workload}, true, 0)
	assert.Empty(t, x.verdicts())
	assert.Equal(t, uint64(4), x.f.Counters.UnmatchedReplies)
	x.answerOffer(offered, o.Bind, true, 0)
	x.answerOffer(offered, o.Bind, false, pb.Reason_INSUFFICIENT_CORES) // a rejection after the acceptance
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_PLACED}, x.verdicts())
	assert.Equal(t, 1, x.f.WorkloadCount())
}

// Between the decision and the offer the bind is written to a disk, which may take its time. A node that drained or was
// restarted meanwhile, or that named workloads of an earlier incarnation, was offered what had been decided before. Found by
// a search (seed 81, run 2462), where 4 workloads of a service came to run on a node that may have 3.
func TestBind_ChangeWhilePersisting_NotSent(t *testing.T) {
	running := &pb.RunningWorkload{Running: true, Offer: &pb.Offer{
		Bind: &pb.BindID{Allocator: "a", Incarnation: 3, Workload: 9}, Client: "o",
		Request: &pb.PlaceRequest{RequestId: 70, Key: 700, Service: 1, Group: "once", Cores: 1, Memory: 1},
	}}
	const unchanged = "nothing changes"
	for name, change := range map[string]func(x *fixture) transport.ConnID{
		"node drains": func(x *fixture) transport.ConnID {
			n := x.connectNode(1, 1, -1)
			x.setDraining(n, true)
			return n
		},
		"node draining by discovery": func(x *fixture) transport.ConnID {
			n := x.connectNode(1, 1, -1)
			x.update(1, pb.NodeEntry_DRAINING, 1, -1)
			return n
		},
		"node restarted":           func(x *fixture) transport.ConnID { return x.connectNode(1, 2, 0) },
		"more of the service runs": func(x *fixture) transport.ConnID { return x.connectNode(1, 1, -1, running) },
		unchanged:                  func(x *fixture) transport.ConnID { return x.connectNode(1, 1, -1) },
	} {
		t.Run(name, func(t *testing.T) {
			journal := &slowJournal{}
			x := newFixture(t, func(c *Config) { c.Journal = journal })
			x.update(1, pb.NodeEntry_READY, 1, -1)
			x.request(1, "once")
			require.Len(t, journal.done, 1)
			n := change(x)
			journal.done[0](x.now, nil)
			assert.Equal(t, name == unchanged, len(x.offers(n)) == 1)
			assert.Empty(t, x.f.binds.persisting)
		})
	}
}

func TestBind_JournalFails_NotSent(t *testing.T) {
	journal := &slowJournal{}
	x := newFixture(t, func(c *Config) { c.Journal = journal })
	n := x.node(1)
	x.request(1, "once", func(a *pb.PlaceRequest) { a.PendingTimeoutMs = 100 })
	require.Len(t, journal.done, 1)
	journal.done[0](x.now, errors.New("disk full"))
	assert.Empty(t, x.offers(n))
	assert.Empty(t, x.f.binds.persisting)
	assert.Equal(t, uint64(1), x.f.Counters.BindsNotPersisted)
	x.runUntil(200)
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, x.verdicts(), "a bind that was not sent cannot have run")
}
