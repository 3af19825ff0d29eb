package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// recordingWaiter is a connWaiter that records its calls.
type recordingWaiter struct {
	conn  *nodeConn
	calls int
}

func (w *recordingWaiter) connected(c *nodeConn) {
	w.conn = c
	w.calls++
}

func (w *recordingWaiter) unreachable() { w.calls++ }

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

// A connection that was idle for nearly the settings' timeout is closed by the frontend: an offer that crosses the
// node's own close would count as one that may have run.
func TestNodeConns_IdleConnection_ClosedBeforeTheNodeCloses(t *testing.T) {
	harness := newHarness(t)
	harness.config.Settings.IdleTimeout = 5000
	// a first message, so that the connection stays
	harness.receive(harness.clientConn, codec.NewTermination(1, codec.CauseNormal))
	harness.advance(5000*idleShare - 100)
	assert.False(t, harness.network.closed[harness.nodeConn])
	harness.advance(100 + maxWakeInterval + 50)
	assert.True(t, harness.network.closed[harness.nodeConn])
	harness.receive(harness.clientConn, request(7))
	again := harness.network.lastDialed(nodeAddr)
	require.Greater(t, again, harness.nodeConn)
	harness.openConn(again)
	assert.Equal(t, []sentMessage{anOffer}, harness.sentAbout(again, 7))
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

func TestNodeConns_ReleaseWithoutConnection_SentOnTheNext(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(7)
	harness.closeConn(harness.nodeConn, errReset)
	harness.receive(harness.clientConn, codec.NewTermination(7, codec.CauseNormal))
	harness.advance(200)
	again := harness.network.lastDialed(nodeAddr)
	require.Greater(t, again, harness.nodeConn)
	harness.openConn(again)
	assert.Equal(t, []sentMessage{aTermination(codec.CauseNormal)}, harness.sentAbout(again, 7))
}

func TestNodeConns_WaitersAreCalledOnce(t *testing.T) {
	harness := newHarness(t)
	harness.publishNodes(3)
	opened := &recordingWaiter{}
	failed := &recordingWaiter{}
	removed := &recordingWaiter{}
	unknown := &recordingWaiter{}
	harness.nodeConns.await(harness.nodes.byName[extraNodeName(0)], opened)
	harness.nodeConns.await(harness.nodes.byName[extraNodeName(1)], failed)
	harness.nodeConns.await(harness.nodes.byName[extraNodeName(2)], removed)
	harness.nodeConns.await(nil, unknown)
	assert.Equal(t, 1, unknown.calls, "an unknown node is unreachable at once")
	assert.Zero(t, opened.calls+failed.calls+removed.calls)
	harness.openConn(harness.network.lastDialed(extraNodeAddr(0)))
	harness.closeConn(harness.network.lastDialed(extraNodeAddr(1)), errClosed)
	harness.publish(3, deltaEvent(`{"name":"m-02","status":"Gone"}`))
	harness.advance(100)
	assert.NotNil(t, opened.conn)
	assert.Nil(t, failed.conn)
	assert.Nil(t, removed.conn)
	assert.Equal(t, []int{1, 1, 1}, []int{opened.calls, failed.calls, removed.calls})
}

func TestNodeConn_EvictionOrder(t *testing.T) {
	empty := &node{}
	holding := &node{workloads: map[placement.WorkloadID]*workload{1: {}}}
	order := []*nodeConn{
		{
			id:       3,
			node:     empty,
			lastSent: 10,
		},
		{
			id:       4,
			node:     empty,
			lastSent: 10,
		},
		{
			id:       2,
			node:     empty,
			lastSent: 20,
		},
		{
			id:       1,
			node:     holding,
			lastSent: 5,
		},
		{
			id:       5,
			node:     holding,
			lastSent: 6,
		},
	}
	for i, c := range order {
		for j, other := range order {
			assert.Equal(t, i < j, c.evictedBefore(other), "%d before %d", c.id, other.id)
		}
	}
}

func TestNodeConns_RetiredConnection_ClosedOnceItsSuccessorIsOpen(t *testing.T) {
	harness := newHarness(t)
	c := harness.nodeConns.get(harness.nodeConn)
	c.lastReceived = 0
	harness.nodeConns.replaceSilent(harness.now, c, 1)
	assert.Equal(t, connRetired, c.state)
	successor := harness.network.lastDialed(nodeAddr)
	require.Greater(t, successor, harness.nodeConn)
	harness.host.Handle(harness.now, func() { harness.nodeConns.closeReplaced(c) })
	assert.False(t, harness.network.closed[harness.nodeConn], "its successor is being dialed")
	harness.openConn(successor)
	harness.receive(harness.nodeConn, codec.NewTermination(99, codec.CauseNormal)) // about no workload
	assert.True(t, harness.network.closed[harness.nodeConn])
	assert.Equal(t, connClosed, c.state)
	assert.Equal(t, successor, harness.nodes.byName[nodeName].openConn().id)
}

func TestNodeConns_PendingReleasesAreBounded(t *testing.T) {
	harness := newHarness(t)
	n := harness.nodes.byName[nodeName]
	harness.closeConn(harness.nodeConn, errReset)
	for range maxPendingReleases + 1 {
		harness.nodeConns.release(&workload{bind: bind{node: n}})
	}
	assert.Len(t, n.pendingReleases, maxPendingReleases)
}

// newIdleHarness returns a harness whose node is about to close its connection, which was idle for long. No wake-up
// has come since.
func newIdleHarness(t *testing.T) *testHarness {
	t.Helper()
	harness := newHarness(t)
	harness.config.Settings.IdleTimeout = 5000
	harness.startWorkload(6)
	harness.now += 5000
	return harness
}

func TestNodeConns_IdleConnection_NothingIsSentOnIt(t *testing.T) {
	t.Run("offer", func(t *testing.T) {
		harness := newIdleHarness(t)
		waiter := &recordingWaiter{}
		harness.host.Handle(harness.now, func() { harness.nodeConns.await(harness.nodes.byName[nodeName], waiter) })
		assert.Nil(t, waiter.conn)
		again := harness.network.lastDialed(nodeAddr)
		require.Greater(t, again, harness.nodeConn)
		harness.openConn(again)
		require.NotNil(t, waiter.conn)
		assert.Equal(t, again, waiter.conn.id)
	})
	t.Run("release", func(t *testing.T) {
		harness := newIdleHarness(t)
		harness.receive(harness.clientConn, codec.NewTermination(6, codec.CauseNormal))
		assert.Equal(t, []sentMessage{anOffer}, harness.sentAbout(harness.nodeConn, 6))
		again := harness.network.lastDialed(nodeAddr)
		require.Greater(t, again, harness.nodeConn)
		harness.openConn(again)
		assert.Equal(t, []sentMessage{aTermination(codec.CauseNormal)}, harness.sentAbout(again, 6))
	})
}

func TestNodeConns_ConnectionWithAnOffer_NeitherIdleNorEvicted(t *testing.T) {
	harness := newHarness(t)
	harness.config.Settings.IdleTimeout = 5000
	harness.publishNodes(1)
	harness.receive(harness.clientConn, request(7))
	offered := harness.nodeConns.get(harness.nodeConn)
	if len(offered.offers) == 0 {
		harness.openNodeConns()
		offered = harness.workloads.tagged(7).bind.conn
	}
	offered.lastSent = -6000
	offered.lastReceived = -6000
	harness.nodeConns.closeIdle(harness.now)
	assert.False(t, harness.network.closed[offered.id])
	for _, other := range harness.nodeConns.conns {
		if other != offered {
			harness.closeConn(other.id, errClosed)
		}
	}
	assert.False(t, harness.nodeConns.evictConnection(harness.now, &node{}))
	harness.nodeConns.replaceSilent(harness.now, offered, harness.now)
	harness.openNodeConns()
	harness.host.Handle(harness.now, func() { harness.nodeConns.closeReplaced(offered) })
	assert.False(t, harness.network.closed[offered.id], "the reply to the offer is pending")
	harness.receive(offered.id, confirmation(7))
	assert.True(t, harness.network.closed[offered.id])
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
		assert.False(t, n.dialing.scheduled)
		harness.advance(revisitAfter - 100)
		assert.True(t, n.dialing.evicted)
		harness.advance(200)
		assert.False(t, n.dialing.evicted)
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
	assert.True(t, n.dialing.refusing)
	harness.closeConn(redialed(), transport.ErrDialFailed)
	assert.Equal(t, 2, n.dialing.failures)
	assert.False(t, n.dialing.refusing, "the dial failed for another reason")
	harness.closeConn(redialed(), errRefused)
	harness.openConn(redialed())
	assert.Zero(t, n.dialing.failures)
	assert.False(t, n.dialing.refusing)
	assert.Equal(t, []sentMessage{aConfirmation}, harness.sentAbout(harness.clientConn, 6), "its workload still runs")
}
