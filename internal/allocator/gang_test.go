package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

// large returns a workload of which a test node takes one.
func large(id placement.WorkloadID) placement.Workload {
	workload := request(id, idempotent)
	workload.Cores = 6
	return workload
}

func TestEngine_ScheduleGang_EnoughPartsHaveANode_OffersThose(t *testing.T) {
	engine, host := newTestEngine(2)
	offered := engine.ScheduleGang(10, []placement.Workload{large(1), large(2), large(3)}, 2)
	assert.Equal(t, []bool{true, true, false}, offered)
	actions := host.take()
	assert.Len(t, actions, 2, "two binds, and no answer for the third")
	assert.Len(t, actionsOf[bound](actions), 2)
	assert.Equal(t, 2, engine.WorkloadCount())
}

func TestEngine_ScheduleGang_TooFewPartsHaveANode_OffersNone(t *testing.T) {
	engine, host, module := newTestEngineWithFakeModule(2)
	offered := engine.ScheduleGang(10, []placement.Workload{large(1), large(2), large(3)}, 3)
	notAttempted := placement.Result{Kind: placement.NotAttempted, Final: true}
	assert.Equal(t, []placement.Result{notAttempted, notAttempted}, module.results)
	assert.Equal(t, []bool{false, false, false}, offered)
	assert.Empty(t, host.take())
	assert.Zero(t, engine.WorkloadCount())
	// What was undone leaves its capacity to others.
	assert.Equal(t, []bool{true, true}, engine.ScheduleGang(20, []placement.Workload{large(4), large(5)}, 2))
}
