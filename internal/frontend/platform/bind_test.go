package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestBind_Transitions(t *testing.T) {
	n := &node{workloads: map[placement.WorkloadID]*workload{}}
	c := &nodeConn{
		id:     3,
		node:   n,
		offers: map[placement.WorkloadID]*workload{},
	}
	w := &workload{id: 1}
	check := func(state bindState, running bool, onNode, onConn int) {
		t.Helper()
		assert.Equal(t, state, w.bind.state)
		assert.Equal(t, running, w.running())
		assert.Len(t, n.workloads, onNode)
		assert.Len(t, c.offers, onConn)
	}
	check(bindNone, false, 0, 0)
	w.migrate()
	check(bindNone, false, 0, 0)
	w.beginBind(0, n)
	check(bindConnecting, false, 1, 0)
	assert.True(t, w.connecting(0))
	assert.False(t, w.connecting(1))
	w.endBind()
	check(bindNone, false, 0, 0)
	assert.False(t, w.connecting(0))
	w.beginBind(1, n)
	w.markSent(50, c)
	check(bindSent, false, 1, 1)
	assert.False(t, w.connecting(1))
	w.endBind()
	check(bindNone, false, 0, 0)
	assert.Equal(t, c, w.bind.conn, "what the node sends on it is about this bind")
	w.beginBind(2, n)
	assert.Nil(t, w.bind.conn)
	w.markSent(60, c)
	w.confirm(70)
	check(bindRunning, true, 1, 0)
	assert.Equal(t, bind{
		state:        bindRunning,
		number:       2,
		node:         n,
		conn:         c,
		sentAt:       60,
		runningSince: 70,
	}, w.bind)
	w.endBind()
	check(bindRunning, true, 1, 0)
	w.migrate()
	check(bindMigrating, true, 1, 0)
	w.detach()
	check(bindNone, false, 0, 0)
}

func TestBind_AdoptedWorkloadRuns(t *testing.T) {
	n := &node{workloads: map[placement.WorkloadID]*workload{}}
	w := &workload{id: 1}
	w.adopt(20, n)
	assert.True(t, w.running())
	assert.Len(t, n.workloads, 1)
	assert.Equal(t, bind{
		state:        bindRunning,
		node:         n,
		runningSince: 20,
	}, w.bind)
}

func TestBind_ConcernedByItsConnectionAndOthersOfItsNode(t *testing.T) {
	n := &node{}
	elsewhere := &node{}
	own := &nodeConn{id: 1, node: n}
	other := &nodeConn{id: 2, node: n}
	abandoned := &nodeConn{id: 3, node: n}
	w := &workload{}
	w.bind.node = n
	w.bind.conn = own
	w.bind.abandonedOn = append(w.bind.abandonedOn, abandoned.id)
	assert.True(t, w.concernedBy(own))
	assert.True(t, w.concernedBy(other))
	assert.False(t, w.concernedBy(abandoned))
	assert.False(t, w.concernedBy(&nodeConn{id: 1, node: elsewhere}))
	w.bind.abandonedOn = append(w.bind.abandonedOn, own.id)
	assert.True(t, w.concernedBy(own), "the last bind went out on it too")
}
