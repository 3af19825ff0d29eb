package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
)

// With more nodes than descriptors, each node is reached when something is to be sent to it, within the nodes' share,
// and the connection to a node without workloads is evicted. This keeps the process from running out of descriptors.
// The cost is that ends of workloads are received later where nearly all nodes run workloads of this allocator.
func TestNodeConns_StayWithinTheirShareOfDescriptors(t *testing.T) {
	const nodes = 40
	harness := newHarness(t)
	harness.publishNodes(nodes)
	assert.Len(t, harness.nodeConns.conns, 1, "a list alone does not cause a dial")
	require.Less(t, harness.nodeConns.limit, nodes)
	harness.receive(harness.clientConn, request(7))
	holder := harness.workloads.tagged(7).bind.node
	harness.openNodeConns()
	harness.receive(holder.conn.id, confirmation(7))
	for i := range 3 * nodes {
		harness.advance(20)
		n := harness.nodes.byName[extraNodeName(i%nodes)]
		waiter := &recordingWaiter{}
		harness.nodeConns.await(n, waiter)
		assert.LessOrEqual(t, harness.openNodeConns(), harness.nodeConns.limit)
		require.NotNil(t, waiter.conn, n.name)
		assert.Equal(t, n, waiter.conn.node)
		assert.NotNil(t, holder.openConn(), "its workload may end at any time")
	}
	assert.Equal(t, harness.network.countOpen(harness.subscription.conn), harness.openNodeConns(),
		"each connection that was not closed is known")
}

// A node whose connection was evicted although it runs workloads of this allocator is dialed again soon.
func TestNodeConns_EvictedNodeIsRevisited(t *testing.T) {
	const nodes = 40
	harness := newHarness(t)
	harness.publishNodes(nodes)
	for i := range nodes {
		harness.receive(harness.clientConn, runningOn(codec.Tag(100+i), extraNodeName(i)))
		harness.advance(1)
		harness.openNodeConns()
	}
	connected := map[string]bool{}
	for range 400 { // 8 s
		harness.advance(20)
		harness.openNodeConns()
		for _, c := range harness.nodeConns.conns {
			if c.isOpen() {
				connected[c.node.name] = true
			}
		}
	}
	assert.GreaterOrEqual(t, len(connected), nodes, "within the 8 s in which clients are to be notified")
}

// A node that refuses connections is dialed again only once that proves it down: a hundred of such nodes would take all
// of a small core. A node that is up again sooner is dialed for the next offer.
func TestNodeConns_RefusingNodeIsDialedSparingly(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(7)
	harness.closeConn(harness.nodeConn, errReset)
	dials := 0
	last := harness.nodeConn
	for range 200 {
		harness.advance(20)
		if c := harness.network.lastDialed(nodeAddr); c != last {
			dials++
			last = c
			harness.closeConn(c, errRefused)
		}
	}
	assert.Equal(t, 2, dials-int(harness.Counters.HealthChecks),
		"one that is refused, and one that shows that it still is")
	assert.Equal(t, []sentMessage{aConfirmation, aTermination(codec.CauseReset)},
		harness.sentAbout(harness.clientConn, 7))
}

func TestNodeConns_EvictedNode_DialedOnlyLaterOrToSend(t *testing.T) {
	evicted := func(t *testing.T) *testHarness {
		t.Helper()
		harness := newHarness(t)
		harness.startWorkload(6)
		require.True(t, harness.nodeConns.evictConnection(harness.now, &node{}))
		require.True(t, harness.network.closed[harness.nodeConn])
		harness.publish(2, nodeEvent(2, "Ready", 0))
		assert.Equal(t, harness.nodeConn, harness.network.lastDialed(nodeAddr), "the list alone does not cause a dial")
		return harness
	}
	t.Run("later", func(t *testing.T) {
		harness := evicted(t)
		n := harness.nodes.byName[nodeName]
		assert.False(t, n.dialing.redialPending)
		harness.advance(revisitAfter - 100)
		assert.True(t, n.dialing.revisitPending)
		harness.advance(200)
		assert.False(t, n.dialing.revisitPending)
		assert.Greater(t, harness.network.lastDialed(nodeAddr), harness.nodeConn)
	})
	t.Run("to send something", func(t *testing.T) {
		harness := evicted(t)
		harness.receive(harness.clientConn, codec.NewTermination(6, codec.CauseNormal))
		assert.Greater(t, harness.network.lastDialed(nodeAddr), harness.nodeConn)
	})
}

func TestNodeConns_FailedDials_CountedUntilOneOpens(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(6)
	n := harness.nodes.byName[nodeName]
	redialed := func() transport.ConnID {
		t.Helper()
		before := harness.network.lastDialed(nodeAddr)
		timers := harness.host.PendingTimers()
		harness.nodeConns.redial(harness.now, n)
		assert.Equal(t, timers, harness.host.PendingTimers(), "a node is dialed by one timer at a time")
		for range 100 {
			harness.advance(10)
			if harness.network.lastDialed(nodeAddr) != before {
				break
			}
		}
		require.Greater(t, harness.network.lastDialed(nodeAddr), before)
		return harness.network.lastDialed(nodeAddr)
	}
	harness.closeConn(harness.nodeConn, errReset)
	harness.closeConn(redialed(), errRefused)
	assert.Equal(t, 1, n.dialing.failures)
	assert.True(t, n.dialing.refusals.ongoing)
	harness.closeConn(redialed(), transport.ErrDialFailed)
	assert.Equal(t, 2, n.dialing.failures)
	assert.False(t, n.dialing.refusals.ongoing, "the dial failed for another reason")
	harness.closeConn(redialed(), errRefused)
	harness.openConn(redialed())
	assert.Zero(t, n.dialing.failures)
	assert.False(t, n.dialing.refusals.ongoing)
	assert.Equal(t, []sentMessage{aConfirmation}, harness.sentAbout(harness.clientConn, 6), "its workload still runs")
}
