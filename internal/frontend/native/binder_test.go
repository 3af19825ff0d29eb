package native

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestOffer_ConnectionLostBeforeReply_OutcomeUnknown(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.request(1, atMostOnce)
	offer := harness.offer(nodeConn)
	harness.setTime(5)
	harness.closeConn(nodeConn, errReset)
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_UNSCHEDULABLE}, harness.verdicts())
	// The node accepted the workload, which may have had an effect: it continues to run and is adopted.
	nodeConn = harness.reconnectNode(&pb.RunningWorkload{Offer: offer})
	for _, frame := range harness.network.takeSent(nodeConn) {
		assert.Nil(t, frame.GetStop())
	}
	assert.Equal(t, 1, harness.WorkloadCount())
	// An idempotent workload whose bind was abandoned is stopped.
	harness.request(2, idempotent)
	offer = harness.offer(nodeConn)
	harness.closeConn(nodeConn, errReset)
	nodeConn = harness.reconnectNode(&pb.RunningWorkload{Offer: offer})
	assert.Equal(t, offer.Bind, harness.network.takeSent(nodeConn)[1].GetStop().GetBind())
}

// Guards against offers that are based on an outdated decision: while a bind is written to disk, its node may drain,
// restart or report workloads of an earlier incarnation. A search found the fault (seed 81, run 2462): 4 workloads of a
// service ran on a node with a limit of 3.
func TestBind_ChangeWhilePersisting_NotSent(t *testing.T) {
	const unchanged = "nothing changes"
	for name, change := range map[string]func(harness *testHarness) transport.ConnID{
		"node drains": func(harness *testHarness) transport.ConnID {
			nodeConn := harness.connectNode(1, nodeIncarnation, longRunning)
			harness.setDraining(nodeConn, true)
			return nodeConn
		},
		"node draining by discovery": func(harness *testHarness) transport.ConnID {
			nodeConn := harness.connectNode(1, nodeIncarnation, longRunning)
			harness.listNode(1, pb.NodeEntry_DRAINING, nodeIncarnation, longRunning)
			return nodeConn
		},
		"node restarted": func(harness *testHarness) transport.ConnID {
			return harness.connectNode(1, nodeIncarnation+1, 0)
		},
		"more of the service runs": func(harness *testHarness) transport.ConnID {
			running := runningOf(earlierOffer(9, atMostOnce))
			return harness.connectNode(1, nodeIncarnation, longRunning, running)
		},
		unchanged: func(harness *testHarness) transport.ConnID {
			return harness.connectNode(1, nodeIncarnation, longRunning)
		},
	} {
		t.Run(name, func(t *testing.T) {
			journal := &fakeJournal{}
			harness := newHarness(t, func(c *Config) { c.Journal = journal })
			harness.listNode(1, pb.NodeEntry_READY, nodeIncarnation, longRunning)
			harness.request(1, atMostOnce)
			require.Len(t, journal.done, 1)
			nodeConn := change(harness)
			journal.done[0](harness.now, nil)
			assert.Equal(t, name == unchanged, len(harness.offers(nodeConn)) == 1)
			assert.Empty(t, harness.binder.persisting)
		})
	}
}

func TestBind_JournalFails_NotSent(t *testing.T) {
	journal := &fakeJournal{}
	harness := newHarness(t, func(c *Config) { c.Journal = journal })
	nodeConn := harness.startNode(1)
	harness.request(1, atMostOnce, func(request *pb.PlaceRequest) { request.PendingTimeoutMs = 100 })
	require.Len(t, journal.done, 1)
	journal.done[0](harness.now, errors.New("disk full"))
	assert.Empty(t, harness.offers(nodeConn))
	assert.Empty(t, harness.binder.persisting)
	assert.Equal(t, uint64(1), harness.Counters.BindsNotPersisted)
	harness.advanceTo(200)
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, harness.verdicts(),
		"a bind that was not sent cannot have run")
}
