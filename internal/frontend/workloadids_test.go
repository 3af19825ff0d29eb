package frontend

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestWorkloadIDs_Next_CountsUpFromOne(t *testing.T) {
	var ids WorkloadIDs
	assert.Zero(t, ids.Last())
	assert.Equal(t, uint32(math.MaxUint32), ids.Remaining(), "0 is no id")
	assert.Equal(t, placement.WorkloadID(1), ids.Next())
	assert.Equal(t, placement.WorkloadID(2), ids.Next())
	assert.Equal(t, placement.WorkloadID(2), ids.Last())
	assert.Equal(t, uint32(math.MaxUint32-2), ids.Remaining())
}

func TestWorkloadIDsAfter_LastID_NoneRemaining(t *testing.T) {
	ids := WorkloadIDsAfter(math.MaxUint32 - 1)
	assert.Equal(t, uint32(1), ids.Remaining())
	assert.Equal(t, placement.WorkloadID(math.MaxUint32), ids.Next())
	assert.Zero(t, ids.Remaining())
}
