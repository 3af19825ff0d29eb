package allocator

import (
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// maintain does what the module wants done beside the steps of workloads, and sets the timer for the next time.
func (e *Engine) maintain(now placement.Millis) {
	m := e.module.Maintain(now)
	if m.Subscribe {
		e.host.SubscribeNodes()
	}
	for _, node := range m.HealthChecks {
		e.log.Add(eventlog.Event{At: now, Kind: eventlog.HealthChecked, Node: node})
		e.host.CheckHealth(node)
	}
	for _, id := range m.Migrations {
		e.migrate(now, id)
	}
	e.timers.setMaintenance(m.NextAt)
}

// migrate stops a placed workload so that its client has it placed anew. One that is withdrawn is being stopped already.
func (e *Engine) migrate(now placement.Millis, id placement.WorkloadID) {
	w := e.workloads[id]
	if w == nil || !w.wanted() {
		return
	}
	w.migrate()
	e.log.Add(eventlog.Event{At: now, Kind: eventlog.BindStopped, Detail: uint8(Migrating), Workload: id, Node: w.node})
	e.host.Stop(id, w.bind(), w.node, Migrating, false)
}
