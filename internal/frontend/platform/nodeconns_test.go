package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

// recordingWaiter is a connWaiter that records its calls.
type recordingWaiter struct {
	conn  *nodeConn // argument of connected
	calls int       // number of calls of either method
}

func (w *recordingWaiter) connected(c *nodeConn) {
	w.conn = c
	w.calls++
}

func (w *recordingWaiter) unreachable() { w.calls++ }

func TestNodeConns_Waiters_CalledExactlyOnce(t *testing.T) {
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
	assert.Equal(t, 1, unknown.calls, "unreachable is called immediately for an unknown node")
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

// Guards against a dial that waits for the backoff: an offer that is repeated when its connection breaks needs one at
// once.
func TestNodeConns_ConnectionOfAnOfferBreaks_DialedAtOnceForTheNextOne(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, request(7))
	harness.closeConn(harness.nodeConn, errReset)
	assert.Greater(t, harness.network.lastDialed(nodeAddr), harness.nodeConn)
}

func TestNodeConn_EvictionOrder(t *testing.T) {
	unused := &node{}
	used := &node{workloads: map[placement.WorkloadID]*workload{1: {}}}
	order := []*nodeConn{
		{
			id:       3,
			node:     unused,
			lastSent: 10,
		},
		{
			id:       4,
			node:     unused,
			lastSent: 10,
		},
		{
			id:       2,
			node:     unused,
			lastSent: 20,
		},
		{
			id:       1,
			node:     used,
			lastSent: 5,
		},
		{
			id:       5,
			node:     used,
			lastSent: 6,
		},
	}
	for i, c := range order {
		for j, other := range order {
			assert.Equal(t, i < j, c.evictedBefore(other), "%d before %d", c.id, other.id)
		}
	}
}
