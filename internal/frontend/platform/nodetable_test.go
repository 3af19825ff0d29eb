package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

func TestNodeTable_Intern_IDDependsOnTheNameAlone(t *testing.T) {
	one := newNodeTable()
	other := newNodeTable()
	other.intern("s-02")
	n := one.intern("s-01")
	assert.Equal(t, n.id, other.intern("s-01").id)
	assert.Same(t, n, one.intern("s-01"))
	assert.Equal(t, placement.Removed, n.entry.State, "until the endpoint list contains it")
}

func TestNodeTable_InternWithTakenID_UsesTheNext(t *testing.T) {
	table := newNodeTable()
	id := table.intern("s-01").id
	delete(table.byName, "s-01") // emulates a second name with that hash
	assert.Equal(t, id+1, table.intern("s-01").id)
}

func TestNodeTable_AssignAddr_DisplacesTheNodeThatHadIt(t *testing.T) {
	table := newNodeTable()
	first := table.intern("s-01")
	second := table.intern("s-02")
	assert.Nil(t, table.assignAddr(first, "a"), "a removed node is not assigned an address")
	assert.Empty(t, first.addr)
	first.entry.State = placement.Ready
	second.entry.State = placement.Draining
	assert.Nil(t, table.assignAddr(first, "a"))
	assert.Nil(t, table.assignAddr(first, "a"), "its own address displaces no node")
	assert.Same(t, first, table.assignAddr(second, "a"))
	assert.Empty(t, first.addr)
	assert.Equal(t, map[string]*node{"a": second}, table.byAddr)
	assert.Nil(t, table.assignAddr(second, "b"))
	assert.Equal(t, map[string]*node{"b": second}, table.byAddr)
}

func TestNodeTable_Removable_OnlyIfRemovedAndWithoutWorkloads(t *testing.T) {
	table := newNodeTable()
	n := table.intern("s-01")
	assert.True(t, table.removable(n))
	n.workloads[1] = &workload{}
	assert.False(t, table.removable(n))
	delete(n.workloads, 1)
	n.entry.State = placement.Draining
	assert.False(t, table.removable(n))
	n.entry.State = placement.Removed
	table.remove(n)
	assert.False(t, table.removable(n), "it was already removed")
	assert.False(t, table.contains(n))
	assert.Empty(t, table.byName)
}

func TestNode_NeedsConn_ForWorkloadsReleasesAndWaiters(t *testing.T) {
	assert.False(t, (&node{}).needsConn())
	assert.True(t, (&node{workloads: map[placement.WorkloadID]*workload{1: {}}}).needsConn())
	assert.True(t, (&node{pendingReleases: []codec.Tag{1}}).needsConn())
	assert.True(t, (&node{waiters: []connWaiter{noopWaiter{}}}).needsConn())
}

func TestNodeTable_ReleasesToAnUnreachableNode_NotPending(t *testing.T) {
	table := newNodeTable()
	n := table.intern("s-01")
	assert.False(t, table.releasesPending())
	n.pendingReleases = []codec.Tag{1}
	assert.False(t, table.releasesPending(), "the node is removed")
	n.entry.State = placement.Draining
	assert.False(t, table.releasesPending(), "the node has no address")
	table.assignAddr(n, "a")
	assert.True(t, table.releasesPending())
}

// Guards against entries for good of nodes that were removed while a bind was out, and with them their connections.
func TestNodeTable_RemovedWhileABindIsOut_LeavesTheTable(t *testing.T) {
	for name, end := range map[string]func(harness *testHarness){
		"rejected": func(harness *testHarness) {
			harness.receive(harness.nodeConn, codec.NewTermination(7, codec.CauseNoCapacity))
		},
		"withdrawn": func(harness *testHarness) {
			harness.receive(harness.clientConn, codec.NewTermination(7, codec.CauseNormal))
		},
		"ended": func(harness *testHarness) {
			harness.receive(harness.nodeConn, confirmation(7))
			harness.receive(harness.nodeConn, codec.NewTermination(7, codec.CauseNormal))
		},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.receive(harness.clientConn, request(7))
			harness.publishNode(2, "Gone")
			assert.NotNil(t, harness.nodes.byName[nodeName])
			end(harness)
			harness.advance(maxWakeInterval + 50)
			assert.Nil(t, harness.nodes.byName[nodeName])
			assert.Empty(t, harness.nodeConns.conns)
		})
	}
}
