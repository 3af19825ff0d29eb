package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMigrationCandidate_FurthestOverItsRequestOnAnOverloadedNode(t *testing.T) {
	s := newFleet(t, 2)
	n := s.node(1)
	for i, used := range []float64{1.5, 4, 0.5} {
		b := n.addBind(0, pendingWorkload(s, 0, 1, 1))
		b.state, b.usedCores, b.workload.ID = bindRunning, used, WorkloadID(i)
	}
	candidate := func(now Millis) *bind { return migrationCandidate(now, n, s.filter) }
	nine := resources{Cores: 9}
	n.reports = reportHistory{{at: 0, used: nine}, {at: migrationWindow / 2, used: nine}, {at: migrationWindow, used: nine}}
	reportUsed(s, migrationWindow-1, 2, 1)
	require.NotNil(t, candidate(migrationWindow))
	assert.Equal(t, WorkloadID(1), candidate(migrationWindow).workload.ID)
	assert.Nil(t, candidate(migrationWindow-1), "shorter than the window")
	n.reports[1].used.Cores = 5
	assert.Nil(t, candidate(migrationWindow), "below the cap in between")
	n.reports[1].used.Cores = 9
	assert.Nil(t, candidate(migrationWindow+4e3), "no evidence that it is still overloaded")
}
