package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// recordingWaiter records what a connWaiter is told.
type recordingWaiter struct {
	conn  *nodeConn
	calls int
}

func (w *recordingWaiter) connected(c *nodeConn) { w.conn, w.calls = c, w.calls+1 }
func (w *recordingWaiter) unreachable()          { w.calls++ }

// More nodes than descriptors: each is reached when something is to be sent to it, within the nodes' share, and the
// connection to a node without workloads is evicted. It guards against a process that runs out of descriptors. It could
// harm where nearly all nodes run something of ours: their ends are heard later.
func TestNodeConns_StayWithinTheirShareOfDescriptors(t *testing.T) {
	r := newRig(t)
	r.publishNodes(40)
	assert.Len(t, r.nodeConns.conns, 1, "a list alone has no node dialed")
	require.Less(t, r.nodeConns.limit, 40)
	r.receive(r.client, request(7))
	holder := r.workloads.tagged(7).bind.node
	r.openNodeConns()
	r.receive(holder.conn.id, confirmation(7))
	for i := range 3 * 40 {
		r.pass(20)
		n := r.nodes.byName[extraNode(i%40)]
		w := &recordingWaiter{}
		r.nodeConns.await(n, w)
		assert.LessOrEqual(t, r.openNodeConns(), r.nodeConns.limit)
		require.NotNil(t, w.conn, n.name)
		assert.Equal(t, n, w.conn.node)
		assert.NotNil(t, holder.openConn(), "its workload may end at any time")
	}
	assert.Equal(t, r.fake.dialedAndOpen(r.subscription.conn), r.openNodeConns(), "each connection that was not closed is known")
}

// A node whose connection was evicted although it runs something of ours is heard again soon.
func TestNodeConns_EvictedNodeIsRevisited(t *testing.T) {
	r := newRig(t)
	r.publishNodes(40)
	for i := range 40 {
		r.receive(r.client, runningOn(codec.Tag(100+i), extraNode(i)))
		r.pass(1)
		r.openNodeConns()
	}
	heard := map[string]bool{}
	for range 400 {
		r.pass(20)
		r.openNodeConns()
		for _, c := range r.nodeConns.conns {
			if c.isOpen() {
				heard[c.node.name] = true
			}
		}
	}
	assert.GreaterOrEqual(t, len(heard), 40, "within the 8 s in which clients are to be notified")
}

// A connection that was idle for nearly the settings' timeout is closed by us: an offer that crosses the node's own close
// would count as one that may have run.
func TestNodeConns_IdleConnectionIsClosedBeforeTheNodeDoes(t *testing.T) {
	r := newRig(t)
	r.config.Settings.IdleTimeout = 5000
	r.receive(r.client, codec.NewTermination(1, codec.CauseNormal)) // a first message, so that the connection stays
	r.pass(5000*idleShare - 100)
	assert.False(t, r.fake.closed[r.node])
	r.pass(100 + maxWakeInterval + 50)
	assert.True(t, r.fake.closed[r.node])
	r.receive(r.client, request(7))
	again := r.fake.lastTo(nodeAddr)
	require.Greater(t, again, r.node)
	r.Opened(r.at, again)
	assert.Equal(t, []string{"offer"}, r.sentAbout(again, 7))
}

// A node that refuses connections is dialed again once that proves it down, not before: with a hundred of them a small core
// does nothing else. It could harm where a process is up again at once; an offer for it dials it all the same.
func TestNodeConns_RefusingNodeIsDialedSparingly(t *testing.T) {
	r := newRig(t)
	r.start(7)
	r.close(r.node, errReset)
	dials, last := 0, r.node
	for range 200 {
		r.pass(20)
		if c := r.fake.lastTo(nodeAddr); c != last {
			dials, last = dials+1, c
			r.close(c, errRefused)
		}
	}
	assert.Equal(t, 2, dials-int(r.Counters.HealthChecks), "one that finds nobody, and one that shows that it stays so")
	assert.Equal(t, []string{"confirmation", "termination 41"}, r.sentAbout(r.client, 7))
}

func TestNodeConns_ReleaseWaitsForTheConnection(t *testing.T) {
	r := newRig(t)
	r.start(7)
	r.close(r.node, errReset)
	r.receive(r.client, codec.NewTermination(7, codec.CauseNormal))
	r.pass(200)
	again := r.fake.lastTo(nodeAddr)
	require.Greater(t, again, r.node)
	r.Opened(r.at, again)
	assert.Equal(t, []string{"termination 16"}, r.sentAbout(again, 7))
}

func TestNodeConns_WaitersAreToldOnce(t *testing.T) {
	r := newRig(t)
	r.publishNodes(3)
	up, down, gone, known := &recordingWaiter{}, &recordingWaiter{}, &recordingWaiter{}, &recordingWaiter{}
	r.nodeConns.await(r.nodes.byName[extraNode(0)], up)
	r.nodeConns.await(r.nodes.byName[extraNode(1)], down)
	r.nodeConns.await(r.nodes.byName[extraNode(2)], gone)
	r.nodeConns.await(nil, known)
	assert.Equal(t, 1, known.calls, "an unknown node is unreachable at once")
	assert.Zero(t, up.calls+down.calls+gone.calls)
	r.Opened(r.at, r.fake.lastTo("127.0.1.0:5080"))
	r.close(r.fake.lastTo("127.0.1.1:5080"), errClosed)
	r.publish(3, []byte(`{"hosts":{"endpoints":[{"name":"m-02","status":"Gone"}]}}`))
	r.pass(100)
	assert.NotNil(t, up.conn)
	assert.Nil(t, down.conn)
	assert.Nil(t, gone.conn)
	assert.Equal(t, []int{1, 1, 1}, []int{up.calls, down.calls, gone.calls})
}

func TestNodeConn_EvictionOrder(t *testing.T) {
	empty, holding := &node{}, &node{workloads: map[placement.WorkloadID]*workload{1: {}}}
	order := []*nodeConn{
		{id: 3, node: empty, lastSent: 10},
		{id: 4, node: empty, lastSent: 10},
		{id: 2, node: empty, lastSent: 20},
		{id: 1, node: holding, lastSent: 5},
		{id: 5, node: holding, lastSent: 6},
	}
	for i, c := range order {
		for j, other := range order {
			assert.Equal(t, i < j, c.evictedBefore(other), "%d before %d", c.id, other.id)
		}
	}
}

func TestNodeConns_RetiredConnectionIsClosedOnceItsSuccessorIsOpen(t *testing.T) {
	r := newRig(t)
	c := r.nodeConns.get(r.node)
	c.lastReceived = 0
	r.nodeConns.replaceSilent(r.at, c, 1)
	assert.Equal(t, connRetired, c.state)
	successor := r.fake.lastTo(nodeAddr)
	require.Greater(t, successor, r.node)
	r.host.Handle(r.at, func() { r.nodeConns.closeReplaced(c) })
	assert.False(t, r.fake.closed[r.node], "its successor is being dialed")
	r.Opened(r.at, successor)
	r.receive(r.node, codec.NewTermination(99, codec.CauseNormal)) // about no workload
	assert.True(t, r.fake.closed[r.node])
	assert.Equal(t, connClosed, c.state)
	assert.Equal(t, successor, r.nodes.byName["s-01"].openConn().id)
}

func TestNodeConns_PendingReleasesAreBounded(t *testing.T) {
	r := newRig(t)
	n := r.nodes.byName["s-01"]
	r.close(r.node, errReset)
	for range maxPendingReleases + 1 {
		r.nodeConns.release(&workload{bind: bind{node: n}})
	}
	assert.Len(t, n.pendingReleases, maxPendingReleases)
}

// idleRig is a rig whose node is about to close its connection, which was idle for long. No wake-up has come since.
func idleRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	r.config.Settings.IdleTimeout = 5000
	r.start(6)
	r.at += 5000
	return r
}

func TestNodeConns_NothingIsSentOnAnIdleConnection(t *testing.T) {
	t.Run("offer", func(t *testing.T) {
		r := idleRig(t)
		w := &recordingWaiter{}
		r.host.Handle(r.at, func() { r.nodeConns.await(r.nodes.byName["s-01"], w) })
		assert.Nil(t, w.conn)
		again := r.fake.lastTo(nodeAddr)
		require.Greater(t, again, r.node)
		r.Opened(r.at, again)
		require.NotNil(t, w.conn)
		assert.Equal(t, again, w.conn.id)
	})
	t.Run("release", func(t *testing.T) {
		r := idleRig(t)
		r.receive(r.client, codec.NewTermination(6, codec.CauseNormal))
		assert.Equal(t, []string{"offer"}, r.sentAbout(r.node, 6))
		again := r.fake.lastTo(nodeAddr)
		require.Greater(t, again, r.node)
		r.Opened(r.at, again)
		assert.Equal(t, []string{"termination 16"}, r.sentAbout(again, 6))
	})
}

func TestNodeConns_ConnectionWithAnOfferIsNeitherIdleNorEvicted(t *testing.T) {
	r := newRig(t)
	r.config.Settings.IdleTimeout = 5000
	r.publishNodes(1)
	r.receive(r.client, request(7))
	c := r.nodeConns.get(r.node)
	if len(c.offers) == 0 {
		r.openNodeConns()
		c = r.workloads.tagged(7).bind.conn
	}
	c.lastSent, c.lastReceived = -6000, -6000
	r.nodeConns.closeIdle(r.at)
	assert.False(t, r.fake.closed[c.id])
	for _, other := range r.nodeConns.conns {
		if other != c {
			r.close(other.id, errClosed)
		}
	}
	assert.False(t, r.nodeConns.evictConnection(r.at, &node{}))
	r.nodeConns.replaceSilent(r.at, c, r.at)
	r.openNodeConns()
	r.host.Handle(r.at, func() { r.nodeConns.closeReplaced(c) })
	assert.False(t, r.fake.closed[c.id], "its reply may come yet")
	r.receive(c.id, confirmation(7))
	assert.True(t, r.fake.closed[c.id])
}

func TestNodeConns_EvictedNodeIsDialedAgainOnlyLaterOrToSendSomething(t *testing.T) {
	evicted := func(t *testing.T) *rig {
		t.Helper()
		r := newRig(t)
		r.start(6)
		require.True(t, r.nodeConns.evictConnection(r.at, &node{}))
		require.True(t, r.fake.closed[r.node])
		r.publish(2, nodeEvent(2, "Ready", 0))
		assert.Equal(t, r.node, r.fake.lastTo(nodeAddr), "the list alone has it not dialed")
		return r
	}
	t.Run("later", func(t *testing.T) {
		r := evicted(t)
		n := r.nodes.byName["s-01"]
		assert.False(t, n.dialing.scheduled)
		r.pass(revisitAfter - 100)
		assert.True(t, n.dialing.evicted)
		r.pass(200)
		assert.False(t, n.dialing.evicted)
		assert.Greater(t, r.fake.lastTo(nodeAddr), r.node)
	})
	t.Run("to send something", func(t *testing.T) {
		r := evicted(t)
		r.receive(r.client, codec.NewTermination(6, codec.CauseNormal))
		assert.Greater(t, r.fake.lastTo(nodeAddr), r.node)
	})
}

func TestNodeConns_DialHistory(t *testing.T) {
	r := newRig(t)
	r.start(6)
	n := r.nodes.byName["s-01"]
	redialed := func() transport.ConnID {
		t.Helper()
		before := r.fake.lastTo(nodeAddr)
		timers := r.host.PendingTimers()
		r.nodeConns.redial(r.at, n)
		assert.Equal(t, timers, r.host.PendingTimers(), "a node is dialed by one timer at a time")
		for range 100 {
			if r.pass(10); r.fake.lastTo(nodeAddr) != before {
				break
			}
		}
		require.Greater(t, r.fake.lastTo(nodeAddr), before)
		return r.fake.lastTo(nodeAddr)
	}
	r.close(r.node, errReset)
	r.close(redialed(), errRefused)
	assert.Equal(t, 1, n.dialing.failures)
	assert.True(t, n.dialing.refusing)
	r.close(redialed(), transport.ErrDialFailed)
	assert.Equal(t, 2, n.dialing.failures)
	assert.False(t, n.dialing.refusing, "somebody may listen")
	r.close(redialed(), errRefused)
	r.Opened(r.at, redialed())
	assert.Zero(t, n.dialing.failures)
	assert.False(t, n.dialing.refusing)
	assert.Equal(t, []string{"confirmation"}, r.sentAbout(r.client, 6), "its workload runs on")
}
