// Package allocator is the allocator's engine: a state machine without I/O that carries each workload from its client's
// request to its end.
//
// Events are method calls of Engine, each with its time; what is to be done goes out through Actions. Where a workload
// goes is decided by package placement alone. Its answers are steps: Bind offers the workload to a node, Wait sets a
// timer, and so on. The engine executes a step, waits for the step's result (a node's reply, a timeout, the client's
// withdrawal), hands the result to Step.NextStep, and executes the step that this returns, until there is no next one.
//
// The engine runs alike behind sockets, in virtual time, in benchmarks and in tests. Times are milliseconds on a clock
// that never steps back. An engine belongs to one goroutine, and Actions must not call back into it.
//
// engine.go receives events, bind.go executes steps and completes binds, workload.go holds the lifecycle's states,
// gang.go schedules workloads together, timers.go and maintenance.go do what comes due, log.go records events.
package allocator

import (
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// Engine is one allocator.
type Engine struct {
	module          Module
	groups          []placement.Group
	host            Host
	log             *eventlog.Log
	enforceTimeouts bool
	workloads       workloads
	timers          timers
}

// Options say what an engine does itself.
type Options struct {
	EnforceTimeouts bool          // binds time out here; otherwise the host reports their timeouts
	Log             *eventlog.Log // may be nil
	Module          Module        // nil for one made from the settings and the seed
}

// New returns an engine. Start must be called before anything else.
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

// Start begins the periodic maintenance.
func (e *Engine) Start(now placement.Millis) {
	e.maintain(now)
	e.requestTick(now)
}

// WorkloadCount returns the number of workloads that are pending or placed.
func (e *Engine) WorkloadCount() int { return len(e.workloads) }

// IsPlaced reports whether that bind is the workload's last one and placed.
func (e *Engine) IsPlaced(id placement.WorkloadID, bind int) bool {
	entry := e.workloads[id]
	return entry != nil && entry.onNode() && entry.isOpen(bind)
}

// StopsDuplicates reports whether a surplus copy of a workload of the group is stopped. One that must run at most once
// is not, since its client was answered that it may have run.
func (e *Engine) StopsDuplicates(group placement.GroupID) bool { return !e.atMostOnce(group) }

func (e *Engine) atMostOnce(group placement.GroupID) bool {
	return int(group) < len(e.groups) && e.groups[group].Idempotency == placement.AtMostOnce
}

// Schedule handles a client's request for a workload, whose id must never have been used before.
func (e *Engine) Schedule(now placement.Millis, requested placement.Workload) {
	e.logRequested(now, requested)
	entry := e.workloads.add(requested)
	e.execute(now, entry, e.module.Schedule(now, requested))
	e.requestTick(now)
}

// Adopt takes over a workload that runs on the node already. Its bind there has the number 0.
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

// Withdraw handles a client's notice that it no longer wants the workload. The client gets no answer after it.
func (e *Engine) Withdraw(now placement.Millis, id placement.WorkloadID) {
	entry := e.workloads[id]
	if entry == nil || !entry.wanted() {
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

// UpdateNodes handles a message of node discovery. Messages must come in the order in which discovery sent them.
func (e *Engine) UpdateNodes(now placement.Millis, kind placement.NodeUpdateKind, nodes []placement.Node) {
	e.log.Add(eventlog.Event{
		At:     now,
		Kind:   eventlog.NodesUpdated,
		Detail: uint8(kind),
		Bind:   int32(len(nodes)),
	})
	e.module.UpdateNodes(now, kind, nodes)
}

// ReportLoad handles a load report that came neither with a reply to a bind nor with one to a health check.
func (e *Engine) ReportLoad(now placement.Millis, node placement.NodeID, load placement.LoadReport) {
	e.module.ReportLoad(now, node, load)
}

// ReportUsage handles what a node reports of a workload. It is ignored where it is not about the workload's last bind.
func (e *Engine) ReportUsage(
	now placement.Millis, id placement.WorkloadID, bind int, kind placement.UsageKind, value float64,
) {
	if entry := e.workloads[id]; entry != nil && entry.isOpen(bind) {
		e.module.ReportUsage(now, id, kind, value)
	}
}

// HealthChecked handles the result of a health check. The load report that came with a reply may be nil.
func (e *Engine) HealthChecked(
	now placement.Millis, node placement.NodeID, answered bool, load *placement.LoadReport,
) {
	e.module.HealthChecked(now, node, answered, load)
}

// Tick does what has come due. It may be called at any time.
func (e *Engine) Tick(now placement.Millis) {
	e.timers.ticked(now)
	for {
		due, number, ok := e.timers.popDue(now)
		if !ok {
			break
		}
		e.timerFired(now, due, number)
	}
	e.requestTick(now)
}

// timerFired handles a timer that has come due. One that its workload no longer names has no effect.
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

// requestTick has the host call Tick by the time of the first timer.
func (e *Engine) requestTick(now placement.Millis) {
	if at, needed := e.timers.nextTick(now); needed {
		e.host.Wake(at)
	}
}
