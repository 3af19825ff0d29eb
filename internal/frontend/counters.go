package frontend

import "grebeglade/internal/allocator"

// Counters are what every frontend counts since its start. A frontend embeds them in its own.
//
// The Host counts binds, migrations and health checks as the engine starts them. The frontend counts requests and
// withdrawals where it decodes them, and final answers with CountAnswer where it sends them. The Host cannot count
// answers: to the engine the parts of a gang are workloads, but a client gets one answer for all of them.
type Counters struct {
	Requests      uint64 // scheduling requests of clients
	Placed        uint64 // requests answered with a node
	Rejected      uint64 // requests answered that nothing ran and a retry does no harm
	Unschedulable uint64 // requests answered that the workload may have run
	Withdrawn     uint64 // requests that their client cancelled
	Binds         uint64 // offers to nodes, retries among them
	Migrations    uint64 // running workloads that were stopped to be placed anew
	HealthChecks  uint64 // health checks of nodes
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
