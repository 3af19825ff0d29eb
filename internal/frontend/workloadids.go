package frontend

import (
	"math"

	"grebeglade/placement"
)

// WorkloadIDs gives out the ids of workloads, from 1 on. No id is given out twice, so that a late message about a
// workload is never taken for one about another. The zero value has given out none.
type WorkloadIDs struct{ last placement.WorkloadID }

// WorkloadIDsAfter returns the ids that follow the given one.
func WorkloadIDsAfter(last placement.WorkloadID) WorkloadIDs { return WorkloadIDs{last: last} }

// Next gives out the next id. It must not be called if none remains.
func (ids *WorkloadIDs) Next() placement.WorkloadID {
	ids.last++
	return ids.last
}

// Last returns the id that was given out last, 0 for none.
func (ids *WorkloadIDs) Last() placement.WorkloadID { return ids.last }

// Remaining returns how many ids are left.
func (ids *WorkloadIDs) Remaining() uint32 { return math.MaxUint32 - uint32(ids.last) }
