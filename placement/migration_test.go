package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMigrationCandidate_LargestExcessOverRequestOnOverloadedNode(t *testing.T) {
	const above = 9.0 // cores in use, above the overload threshold of the node
	const below = 5.0
	for _, c := range []struct {
		name        string
		now         Millis
		usedBetween float64 // cores in use according to the report in the middle of the window
		wantNone    bool
	}{
		{"above the threshold for the whole window: the workload with the largest excess", migrationWindow, above, false},
		{"above the threshold for less than the window: none", migrationWindow - 1, above, true},
		{"below the threshold in between: none", migrationWindow, below, true},
		{"last report too old: none", migrationWindow + 4e3, above, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			scheduler := newFleet(t, 2)
			overloaded := scheduler.node(1)
			for id, used := range []float64{1.5, 4, 0.5} {
				resident := overloaded.addBind(0, pendingWorkload(scheduler, idempotent, 1, 1))
				resident.state = bindRunning
				resident.usedCores = used
				resident.workload.ID = WorkloadID(id)
			}
			overloaded.reports = reportHistory{
				{at: 0, used: resources{Cores: above}},
				{at: migrationWindow / 2, used: resources{Cores: c.usedBetween}},
				{at: migrationWindow, used: resources{Cores: above}},
			}
			reportUsed(scheduler, migrationWindow-1, 2, 1)
			candidate := migrationCandidate(c.now, overloaded, scheduler.filter)
			if c.wantNone {
				assert.Nil(t, candidate)
				return
			}
			require.NotNil(t, candidate)
			assert.Equal(t, WorkloadID(1), candidate.workload.ID)
		})
	}
}
