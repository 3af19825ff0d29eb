package frontend

import "grebeglade/internal/allocator"

// Counters are the counters that all frontends share, counted from the frontend's start. A frontend embeds them in its
// own counters.
//
// The Host counts binds, migrations and health checks when the engine starts them. The frontend counts requests and
// withdrawals when it decodes them, and final answers with CountAnswer when it sends them. The Host cannot count
// answers, because the engine handles the parts of a gang as separate workloads but the client gets one answer for all.
type Counters struct {
	Requests      uint64 // scheduling requests from clients
	Placed        uint64 // final answers: placed on a node
	Rejected      uint64 // final answers: not placed, and a retry is safe
	Unschedulable uint64 // final answers: the workload may have run, so a retry is not safe
	Withdrawn     uint64 // requests withdrawn by their client
	Binds         uint64 // offers to nodes, including retries
	Migrations    uint64 // running workloads stopped so that they are placed again
	HealthChecks  uint64 // health checks started
}

// CountAnswer counts one final answer to a client.
func (c *Counters) CountAnswer(verdict allocator.Verdict) {
	switch verdict {
	case allocator.Placed:
		c.Placed++
	case allocator.Rejected:
		c.Rejected++
	case allocator.Unschedulable:
		c.Unschedulable++
	}
}
