package frontend

import (
	"grebeglade/internal/allocator"
	"grebeglade/placement"
)

// engineHost implements allocator.Host for a Host's engine: it counts some actions, passes all of them to the frontend,
// and handles Wake with the Host's wake-up.
type engineHost struct {
	allocator.Actions
	host *Host
}

func (e *engineHost) Bind(id placement.WorkloadID, bind int, node placement.NodeID, timeout placement.Millis) {
	e.host.counters.Binds++
	e.Actions.Bind(id, bind, node, timeout)
}

func (e *engineHost) Stop(
	id placement.WorkloadID, bind int, node placement.NodeID, reason allocator.StopReason, onlyPending bool,
) {
	if reason == allocator.Migrating {
		e.host.counters.Migrations++
	}
	e.Actions.Stop(id, bind, node, reason, onlyPending)
}

func (e *engineHost) CheckHealth(node placement.NodeID) {
	e.host.counters.HealthChecks++
	e.Actions.CheckHealth(node)
}

// ReplyQueued implements allocator.ReplyQueue for frontends that do.
func (e *engineHost) ReplyQueued(id placement.WorkloadID, bind int) bool {
	queue, ok := e.Actions.(allocator.ReplyQueue)
	return ok && queue.ReplyQueued(id, bind)
}

func (e *engineHost) Wake(at placement.Millis) { e.host.wakeup.requestTick(at) }
