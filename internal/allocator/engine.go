// Package allocator implements the allocator's engine: a state machine without I/O that manages each workload from the
// client's request until the workload ends.
//
// Events are method calls on Engine, each with its time. The engine acts on the outside through Actions. Only package
// placement decides where a workload runs: it returns steps, such as Bind (offer the workload to a node) or Wait (set a
// timer). The engine executes a step, passes the step's result (a node's reply, a timeout, the client's withdrawal) to
// Step.NextStep and executes the returned step, until there is no next step.
//
// The same engine runs behind sockets, in virtual time, in benchmarks and in tests. Times are milliseconds on a
// monotonic clock. An engine is confined to one goroutine, and Actions must not call back into it.
//
// engine.go receives events, bind.go executes steps and completes binds, workload.go defines the lifecycle states,
// gang.go schedules gangs, timers.go and maintenance.go handle timers and periodic work, log.go records events.
package allocator

import (
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// Engine is the state machine of one allocator. It is not safe for concurrent use.
type Engine struct {
	module          Module
	groups          []placement.Group
	host            Host
	log             *eventlog.Log
	enforceTimeouts bool
	workloads       workloads
	timers          timers
}

// Options configure an engine.
type Options struct {
	EnforceTimeouts bool          // whether the engine times out binds; if false, the host reports bind timeouts
	Log             *eventlog.Log // event log; nil to record nothing
	Module          Module        // placement module; nil to create one from the settings and the seed
}

// New returns an engine. Start must be called before any other method.
func New(settings placement.Settings, seed uint64, host Host, options Options) *Engine {
	if options.Module == nil {
		options.Module = placement.New(settings, seed)
	}
	return &Engine{
		module:          options.Module,
		groups:          settings.Groups,
		host:            host,
		log:             options.Log,
		enforceTimeouts: options.EnforceTimeouts,
		workloads:       workloads{},
	}
}

// Start runs maintenance for the first time and schedules it periodically.
func (e *Engine) Start(now placement.Millis) {
	e.maintain(now)
	e.requestTick(now)
}

// WorkloadCount returns the number of workloads in the engine, including withdrawn ones that have not ended yet.
func (e *Engine) WorkloadCount() int { return len(e.workloads) }

// IsPlaced reports whether the bind is the workload's latest one and the workload is on its node, which includes
// workloads that are being stopped.
func (e *Engine) IsPlaced(id placement.WorkloadID, bind int) bool {
	entry := e.workloads[id]
	return entry != nil && entry.onNode() && entry.isOpen(bind)
}

// StopsDuplicates reports whether surplus copies of the group's workloads are stopped. Copies of an at-most-once
// workload keep running, because its client has been answered that the workload may have run.
func (e *Engine) StopsDuplicates(group placement.GroupID) bool { return !e.atMostOnce(group) }

func (e *Engine) atMostOnce(group placement.GroupID) bool {
	return int(group) < len(e.groups) && e.groups[group].Idempotency == placement.AtMostOnce
}

// Schedule handles a client's request for a workload. The workload's id must not have been used before.
func (e *Engine) Schedule(now placement.Millis, requested placement.Workload) {
	e.logRequested(now, requested)
	entry := e.workloads.add(requested)
	e.execute(now, entry, e.module.Schedule(now, requested))
	e.requestTick(now)
}

// Adopt registers a workload that is already running on the node. Its bind gets the number 0.
func (e *Engine) Adopt(now placement.Millis, running placement.Workload, node placement.NodeID) {
	e.log.Add(eventlog.Event{
		At:       now,
		Kind:     eventlog.Adopted,
		Workload: running.ID,
		Group:    running.Group,
		Node:     node,
	})
	entry := e.workloads.add(running)
	entry.state = placed
	entry.binds = 1
	entry.node = node
	entry.step = e.module.Adopt(now, running, node)
}

// Withdraw handles a client's withdrawal of a workload. The client gets no answer afterwards.
func (e *Engine) Withdraw(now placement.Millis, id placement.WorkloadID) {
	entry := e.workloads[id]
	if entry == nil || !entry.hasClient() {
		return
	}
	entry.withdraw()
	e.log.Add(eventlog.Event{
		At:       now,
		Kind:     eventlog.Withdrawn,
		Workload: id,
	})
	if entry.bindOpen() {
		e.host.Stop(id, entry.bind(), entry.node, Withdrawn, false)
	}
	e.execute(now, entry, entry.step.NextStep(now, placement.Result{Kind: placement.Withdrawn, Final: true}))
}

// UpdateNodes handles a message from node discovery. Messages must be passed in the order in which they were sent.
func (e *Engine) UpdateNodes(now placement.Millis, kind placement.NodeUpdateKind, nodes []placement.Node) {
	e.log.Add(eventlog.Event{
		At:     now,
		Kind:   eventlog.NodesUpdated,
		Detail: uint8(kind),
		Bind:   int32(len(nodes)),
	})
	e.module.UpdateNodes(now, kind, nodes)
}

// ReportLoad handles a load report that was not part of a reply to a bind or to a health check.
func (e *Engine) ReportLoad(now placement.Millis, node placement.NodeID, load placement.LoadReport) {
	e.module.ReportLoad(now, node, load)
}

// ReportUsage handles a node's usage report for a workload. Reports for any bind but the workload's open one are
// ignored.
func (e *Engine) ReportUsage(
	now placement.Millis, id placement.WorkloadID, bind int, kind placement.UsageKind, value float64,
) {
	if entry := e.workloads[id]; entry != nil && entry.isOpen(bind) {
		e.module.ReportUsage(now, id, kind, value)
	}
}

// HealthChecked handles the result of a health check. The load is nil if there was no reply or it had no load report.
func (e *Engine) HealthChecked(
	now placement.Millis, node placement.NodeID, answered bool, load *placement.LoadReport,
) {
	e.module.HealthChecked(now, node, answered, load)
}

// Tick handles all timers that are due. It may be called at any time.
func (e *Engine) Tick(now placement.Millis) {
	e.timers.recordTick(now)
	for {
		due, number, ok := e.timers.popDue(now)
		if !ok {
			break
		}
		e.timerFired(now, due, number)
	}
	e.requestTick(now)
}

// timerFired handles a due timer. The timer of a step is ignored if the workload has left the engine or its current
// timer has another number.
func (e *Engine) timerFired(now placement.Millis, fired timer, number uint64) {
	switch fired.kind {
	case maintenanceTimer:
		e.maintain(now)
	case stepTimer:
		if entry := e.workloads[fired.workload]; entry != nil && entry.timer == number {
			e.stepDue(now, entry)
		}
	}
}

// requestTick requests a Tick call by the host when the earliest timer is due, unless it is already requested.
func (e *Engine) requestTick(now placement.Millis) {
	if at, needed := e.timers.nextTick(now); needed {
		e.host.Wake(at)
	}
}
