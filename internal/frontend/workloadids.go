package frontend

import (
	"math"

	"grebeglade/placement"
)

// WorkloadIDs allocates workload ids, starting at 1. No id is allocated twice, so that a late message about one
// workload is never attributed to another. The zero value is ready to use.
type WorkloadIDs struct{ last placement.WorkloadID }

// WorkloadIDsAfter returns an allocator of the ids after last.
func WorkloadIDsAfter(last placement.WorkloadID) WorkloadIDs { return WorkloadIDs{last: last} }

// Next allocates an id. It must not be called if Remaining returns 0.
func (ids *WorkloadIDs) Next() placement.WorkloadID {
	ids.last++
	return ids.last
}

// Last returns the latest allocated id, or 0 if there is none.
func (ids *WorkloadIDs) Last() placement.WorkloadID { return ids.last }

// Remaining returns the number of ids that can still be allocated.
func (ids *WorkloadIDs) Remaining() uint32 { return math.MaxUint32 - uint32(ids.last) }
