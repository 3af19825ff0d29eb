package allocator

import (
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// maintain executes the module's maintenance actions and sets the timer for the next maintenance.
func (e *Engine) maintain(now placement.Millis) {
	maintenance := e.module.Maintain(now)
	if maintenance.Subscribe {
		e.host.SubscribeNodes()
	}
	for _, node := range maintenance.HealthChecks {
		e.log.Add(eventlog.Event{
			At:   now,
			Kind: eventlog.HealthChecked,
			Node: node,
		})
		e.host.CheckHealth(node)
	}
	for _, id := range maintenance.Migrations {
		e.migrate(now, id)
	}
	e.timers.setMaintenance(maintenance.NextAt)
}

// migrate stops a placed workload so that its client requests it again. A withdrawn workload is already being stopped
// and is left alone.
func (e *Engine) migrate(now placement.Millis, id placement.WorkloadID) {
	entry := e.workloads[id]
	if entry == nil || !entry.hasClient() {
		return
	}
	entry.migrate()
	e.log.Add(eventlog.Event{
		At:       now,
		Kind:     eventlog.BindStopped,
		Detail:   uint8(Migrating),
		Workload: id,
		Node:     entry.node,
	})
	e.host.Stop(id, entry.bind(), entry.node, Migrating, false)
}
