package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestEngine_MaintenanceIsDoneAtTheTimesThatTheModuleNames(t *testing.T) {
	e, h, m := newTestEngineWithFakeModule(1)
	m.maintenance = placement.Maintenance{Subscribe: true, HealthChecks: []placement.NodeID{4, 2}}
	e.Tick(999)
	assert.Empty(t, h.take())
	e.Tick(1000)
	assert.Equal(t, []string{"subscribe", "health check 4", "health check 2"}, h.take())
	e.Tick(1999)
	assert.Empty(t, h.take())
	e.Tick(2000)
	assert.Len(t, h.take(), 3)
}

func TestEngine_MigratedWorkloadIsStoppedAndItsClientNotified(t *testing.T) {
	e, h, m := newTestEngineWithFakeModule(1)
	for id := placement.WorkloadID(7); id <= 9; id++ {
		e.Schedule(0, request(id, idempotent))
		e.BindConfirmed(5, id, 0, nil)
	}
	e.Withdraw(10, 8)
	h.take()
	m.maintenance.Migrations = []placement.WorkloadID{7, 8, 99}
	e.Tick(1000)
	assert.Equal(t, []string{"stop 7.0 3 false"}, h.take(), "not what is withdrawn or unknown")
	e.BindEnded(1010, 7, 0, 1, ended())
	e.BindEnded(1010, 9, 0, 1, ended())
	assert.Equal(t, []string{"ended 7 true 0", "ended 9 false 0"}, h.take())
}
