package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

// large returns a workload of which a test node takes one.
func large(id placement.WorkloadID) placement.Workload {
	w := request(id, idempotent)
	w.Cores = 6
	return w
}

func TestEngine_ScheduleGangOffersAllThatHaveANode(t *testing.T) {
	e, h := newTestEngine(2)
	offered := e.ScheduleGang(10, []placement.Workload{large(1), large(2), large(3)}, 2)
	assert.Equal(t, []bool{true, true, false}, offered)
	assert.Len(t, h.take(), 2, "two binds, and no answer for the third")
	assert.Equal(t, 2, e.WorkloadCount())
}

func TestEngine_ScheduleGangOffersNoneWhereTooFewHaveANode(t *testing.T) {
	e, h, m := newTestEngineWithFakeModule(2)
	offered := e.ScheduleGang(10, []placement.Workload{large(1), large(2), large(3)}, 3)
	notAttempted := placement.Result{Kind: placement.NotAttempted, Final: true}
	assert.Equal(t, []placement.Result{notAttempted, notAttempted}, m.results)
	assert.Equal(t, []bool{false, false, false}, offered)
	assert.Empty(t, h.take())
	assert.Zero(t, e.WorkloadCount())
	// What was taken back leaves its capacity to others.
	assert.Equal(t, []bool{true, true}, e.ScheduleGang(20, []placement.Workload{large(4), large(5)}, 2))
}
