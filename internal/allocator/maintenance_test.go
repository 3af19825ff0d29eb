package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestEngine_Maintenance_RunsAtTimesSetByModule(t *testing.T) {
	engine, host, module := newTestEngineWithFakeModule(1)
	module.maintenance = placement.Maintenance{Subscribe: true, HealthChecks: []placement.NodeID{4, 2}}
	engine.Tick(fakeMaintenanceInterval - 1)
	assert.Empty(t, host.take())
	engine.Tick(fakeMaintenanceInterval)
	assert.Equal(t, []any{subscribed{}, healthChecked{node: 4}, healthChecked{node: 2}}, host.take())
	engine.Tick(2*fakeMaintenanceInterval - 1)
	assert.Empty(t, host.take())
	engine.Tick(2 * fakeMaintenanceInterval)
	assert.Len(t, host.take(), 3)
}

func TestEngine_MigratedWorkload_IsStoppedAndItsClientNotified(t *testing.T) {
	engine, host, module := newTestEngineWithFakeModule(1)
	for id := placement.WorkloadID(7); id <= 9; id++ {
		engine.Schedule(0, newWorkload(id, idempotent))
		engine.BindConfirmed(5, id, 0, nil)
	}
	engine.Withdraw(10, 8)
	host.take()
	module.maintenance.Migrations = []placement.WorkloadID{7, 8, 99}
	engine.Tick(fakeMaintenanceInterval)
	assert.Equal(t, []any{stopped{
		workload: 7,
		bind:     0,
		reason:   Migrating,
	}}, host.take(),
		"withdrawn workloads and ids without a workload are not stopped")
	engine.BindEnded(1010, 7, 0, 1, endedResult())
	engine.BindEnded(1010, 9, 0, 1, endedResult())
	assert.Equal(t, []any{
		notifiedEnded{workload: 7, migrating: true},
		notifiedEnded{workload: 9, migrating: false},
	}, host.take())
}
