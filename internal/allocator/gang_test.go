package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

// newLarge returns a workload that uses more than half of a test node, so that only one fits.
func newLarge(id placement.WorkloadID) placement.Workload {
	workload := newWorkload(id, idempotent)
	workload.Cores = 6
	return workload
}

func TestEngine_ScheduleGang_EnoughPartsHaveANode_OffersThose(t *testing.T) {
	engine, host := newTestEngine(2)
	offered := engine.ScheduleGang(10, []placement.Workload{newLarge(1), newLarge(2), newLarge(3)}, 2)
	assert.Equal(t, []bool{true, true, false}, offered)
	actions := host.take()
	assert.Len(t, actions, 2, "two binds, and no answer for the third part")
	assert.Len(t, actionsOf[bound](actions), 2)
	assert.Equal(t, 2, engine.WorkloadCount())
}

func TestEngine_ScheduleGang_TooFewPartsHaveANode_OffersNone(t *testing.T) {
	engine, host, module := newTestEngineWithFakeModule(2)
	offered := engine.ScheduleGang(10, []placement.Workload{newLarge(1), newLarge(2), newLarge(3)}, 3)
	notAttempted := placement.Result{Kind: placement.NotAttempted, Final: true}
	assert.Equal(t, []placement.Result{notAttempted, notAttempted}, module.results)
	assert.Equal(t, []bool{false, false, false}, offered)
	assert.Empty(t, host.take())
	assert.Zero(t, engine.WorkloadCount())
	// Cancelled steps release their capacity.
	assert.Equal(t, []bool{true, true}, engine.ScheduleGang(20, []placement.Workload{newLarge(4), newLarge(5)}, 2))
}
