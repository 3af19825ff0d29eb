// Package allocator is the allocator without I/O: one state machine that carries workloads from ask to end.
//
// Calls come in, each with its time; what is to be done goes out through World. Where a workload goes is
// decided by placement alone; the engine keeps each workload's step, its timers, and the order of things. It
// runs alike behind sockets, in virtual time, on the bench and in tests. Times are milliseconds on a clock
// that never steps back. An engine belongs to one goroutine, and World must not call back into it.
package allocator

import (
	"slices"

	"grebeglade/internal/eventlog"
	"grebeglade/internal/timerqueue"
	"grebeglade/placement"
)

// clockGrain is how far apart two times may be and still be the same, in ms: clocks outside count
// nanoseconds, and a time that was rounded down must not miss its timer.
const clockGrain = placement.Millis(1e-6)

// MaxTimerDelay is for how long a timer is set at most, in ms; what is due later is set again. A timer that no longer counts
// stays until it comes, and owners may wait for weeks: so the timers are bounded by what came within this time.
const MaxTimerDelay = placement.Millis(60e3)

// Verdict is the one final answer to an ask.
type Verdict uint8

const (
	Placed        Verdict = iota + 1
	Rejected              // asking again does no harm
	Unschedulable         // it may have run
)

func (v Verdict) String() string { return [...]string{"", "placed", "rejected", "unschedulable"}[v] }

// StopReason says why a bind is called off.
type StopReason uint8

const (
	TimedOut StopReason = iota + 1 // no answer in time: nobody waits for it any more
	Withdrawn
	Migrating // so that it is placed anew
)

// Actions carries out what the engine decides. None of its methods may call the engine back before it returns.
type Actions interface {
	// Bind offers the workload to the node, which may accept it within the time-out.
	Bind(id placement.WorkloadID, bind int, node placement.NodeID, timeout placement.Millis)
	// Stop calls a bind off. With onlyWaiting, a node that has accepted it keeps it.
	Stop(id placement.WorkloadID, bind int, node placement.NodeID, why StopReason, onlyWaiting bool)
	CheckHealth(node placement.NodeID)
	// SubscribeNodes asks the machine list for its changes.
	SubscribeNodes()
	// Answer gives the owner the final answer; nothing is sent for the workload after Rejected or Unschedulable.
	Answer(id placement.WorkloadID, v Verdict, node placement.NodeID)
	// NotifyEnded tells that a placed workload stands no more.
	NotifyEnded(id placement.WorkloadID, node placement.NodeID, moved bool, why placement.Reason)
	// Forget tells that the engine has let go of the workload; its id will not be named again.
	Forget(id placement.WorkloadID)
}

// World is what an engine runs in: it carries out the engine's actions and calls Tick at the times asked for.
type World interface {
	Actions
	// Wake asks for a call of Tick at that time; an earlier one stands besides.
	Wake(at placement.Millis)
}

// Module is where workloads go: placement.Allocator, or one that writes down its calls.
type Module interface {
	Schedule(placement.Millis, placement.Workload) placement.Step
	Adopt(placement.Millis, placement.Workload, placement.NodeID) placement.Step
	UpdateNodes(placement.Millis, placement.NodeUpdateKind, []placement.Node)
	ReportLoad(placement.Millis, placement.NodeID, placement.LoadReport)
	HealthChecked(placement.Millis, placement.NodeID, bool, *placement.LoadReport)
	ReportUsage(placement.Millis, placement.WorkloadID, placement.UsageKind, float64)
	Maintain(placement.Millis) placement.Maintenance
}

// held is one workload that the module has not let go of.
type held struct {
	id        placement.WorkloadID
	group     placement.GroupID
	step      placement.Step
	binds     int
	node      placement.NodeID // of the last bind
	placed    bool
	withdrawn bool
	moving    bool
	timer     uint64           // number of the timer that counts for its step, 0 for none
	due       placement.Millis // when that step is due
}

// latest tells whether the bind of that number is the last one made, and may still be answered.
func (h *held) latest(bind int) bool { return bind+1 == h.binds && h.step.Kind != placement.Wait }

// Engine is one allocator.
type Engine struct {
	module   Module
	groups   []placement.Group
	world    World
	log      *eventlog.Log
	timesOut bool
	held     map[placement.WorkloadID]*held
	timers   timerqueue.Queue[timer]
	wake     placement.Millis // earliest wake-up asked for and not come, or 0
	woken    bool             // whether wake holds
}

// Options say what an engine does itself.
type Options struct {
	EnforceTimeouts bool          // binds time out here; else the world reports their time-outs
	Log             *eventlog.Log // may be nil
	Module          Module        // nil for a module made from the settings and the seed
}

// New makes an engine. Start must be called first.
func New(s placement.Settings, seed uint64, w World, o Options) *Engine {
	if o.Module == nil {
		o.Module = placement.New(s, seed)
	}
	return &Engine{
		module: o.Module, groups: s.Groups, world: w, log: o.Log, timesOut: o.EnforceTimeouts,
		held: map[placement.WorkloadID]*held{},
	}
}

// Start begins the chores.
func (e *Engine) Start(now placement.Millis) {
	e.chores(now)
	e.ask(now)
}

// WorkloadCount is the number of workloads that are pending or placed.
func (e *Engine) WorkloadCount() int { return len(e.held) }

// Schedule takes a workload under an id that was never used before.
func (e *Engine) Schedule(now placement.Millis, w placement.Workload) {
	e.log.Add(eventlog.Event{At: now, Kind: eventlog.Asked, Workload: w.ID, Group: w.Group})
	h := &held{id: w.ID, group: w.Group}
	e.held[w.ID] = h
	e.carryOut(now, h, e.module.Schedule(now, w))
	e.ask(now)
}

// ScheduleGang takes workloads that are wanted together: it asks the module for all of them, and offers those that
// have a place if they are at least so many. Otherwise nothing is sent, and the module takes its binds back. It
// returns which are offered; the others are let go of without an answer.
func (e *Engine) ScheduleGang(now placement.Millis, ws []placement.Workload, need int) []bool {
	steps, offered, n := make([]placement.Step, len(ws)), make([]bool, len(ws)), 0
	for i, w := range ws {
		e.log.Add(eventlog.Event{At: now, Kind: eventlog.Asked, Workload: w.ID, Group: w.Group})
		if steps[i] = e.module.Schedule(now, w); steps[i].Kind == placement.Bind {
			n++
		}
	}
	for i, w := range ws {
		switch s := steps[i]; {
		case s.Kind == placement.Bind && n >= need:
			offered[i] = true
			h := &held{id: w.ID, group: w.Group}
			e.held[w.ID] = h
			e.carryOut(now, h, s)
			continue
		case s.Kind == placement.Bind:
			s.NextStep(now, placement.Result{Kind: placement.NotAttempted, Final: true})
		case s.Kind == placement.Wait:
			s.NextStep(now, placement.Result{Kind: placement.Withdrawn, Final: true})
		}
		e.log.Add(eventlog.Event{At: now, Kind: eventlog.NotAdmitted, Workload: w.ID, Group: w.Group})
		e.world.Forget(w.ID)
	}
	e.ask(now)
	return offered
}

// Adopt takes over a workload that runs already; its bind counts as number 0.
func (e *Engine) Adopt(now placement.Millis, w placement.Workload, node placement.NodeID) {
	e.log.Add(eventlog.Event{At: now, Kind: eventlog.Adopted, Workload: w.ID, Group: w.Group, Node: node})
	e.held[w.ID] = &held{
		id: w.ID, group: w.Group, step: e.module.Adopt(now, w, node), binds: 1, node: node, placed: true,
	}
}

// BindConfirmed takes a node's yes. One for a bind that has ended is passed over: its end was said to the node.
func (e *Engine) BindConfirmed(now placement.Millis, id placement.WorkloadID, bind int, l *placement.LoadReport) {
	h := e.held[id]
	if h == nil || h.placed || !h.latest(bind) {
		e.report(now, h, l)
		return
	}
	h.placed, h.timer = true, 0
	e.note(now, h, placement.Result{Kind: placement.Confirmed})
	if !h.withdrawn {
		e.log.Add(eventlog.Event{At: now, Kind: eventlog.Answered, Detail: uint8(Placed), Workload: id, Node: h.node})
		e.world.Answer(id, Placed, h.node)
	}
	e.carryOut(now, h, h.step.NextStep(now, placement.Result{Kind: placement.Confirmed, Load: l}))
}

// report hands on the load that came with an answer that itself comes too late.
func (e *Engine) report(now placement.Millis, h *held, l *placement.LoadReport) {
	if l != nil && h != nil {
		e.module.ReportLoad(now, h.node, *l)
	}
}

// BindEnded takes the end of a bind: of one that is out r.Kind says how, a placed one has then ended. Of a
// bind that ended before, only the load counts.
func (e *Engine) BindEnded(
	now placement.Millis, id placement.WorkloadID, bind int, node placement.NodeID, r placement.Result,
) {
	h := e.held[id]
	if h == nil || !h.latest(bind) {
		if r.Load != nil {
			e.module.ReportLoad(now, node, *r.Load)
		}
		return
	}
	e.settle(now, h, r)
	e.ask(now)
}

func (e *Engine) settle(now placement.Millis, h *held, r placement.Result) {
	if h.placed {
		r.Kind = placement.Ended
		e.log.Add(eventlog.Event{At: now, Kind: eventlog.Ended, Workload: h.id, Node: h.node, Reason: r.Reason})
		if !h.withdrawn {
			e.world.NotifyEnded(h.id, h.node, h.moving, r.Reason)
		}
	} else {
		e.note(now, h, r)
	}
	h.timer = 0
	e.carryOut(now, h, h.step.NextStep(now, r))
}

func (e *Engine) note(now placement.Millis, h *held, r placement.Result) {
	e.log.Add(eventlog.Event{
		At: now, Kind: eventlog.Outcome, Detail: uint8(r.Kind), Reason: r.Reason, Workload: h.id, Node: h.node,
		Bind: int32(h.binds - 1), Group: h.group,
	})
}

// Withdraw takes the owner's word that it no longer wants the workload. No answer is owed after it.
func (e *Engine) Withdraw(now placement.Millis, id placement.WorkloadID) {
	h := e.held[id]
	if h == nil || h.withdrawn {
		return
	}
	h.withdrawn = true
	e.log.Add(eventlog.Event{At: now, Kind: eventlog.Withdrawn, Workload: id})
	if h.step.Kind != placement.Wait {
		e.world.Stop(id, h.binds-1, h.node, Withdrawn, false)
	}
	e.carryOut(now, h, h.step.NextStep(now, placement.Result{Kind: placement.Withdrawn, Final: true}))
}

// ConnectionLost takes the loss of the connection to a node: what was out there may have run. What stands there does
// so still, as far as anyone knows.
func (e *Engine) ConnectionLost(now placement.Millis, node placement.NodeID) {
	for _, h := range e.on(node) {
		if !h.placed {
			e.settle(now, h, placement.Result{Kind: placement.OutcomeUnknown, Final: h.withdrawn})
		}
	}
	e.ask(now)
}

// ReconcileNode takes a node's own account of our workloads there: those that it does not name have ended.
func (e *Engine) ReconcileNode(now placement.Millis, node placement.NodeID, named func(placement.WorkloadID, int) bool) {
	for _, h := range e.on(node) {
		if h.placed && !named(h.id, h.binds-1) {
			e.settle(now, h, placement.Result{Kind: placement.Ended, Final: true})
		}
	}
	e.ask(now)
}

// NodeLost takes the loss of a node with all that stood there or was under way to it.
func (e *Engine) NodeLost(now placement.Millis, node placement.NodeID) {
	e.ConnectionLost(now, node)
	e.ReconcileNode(now, node, func(placement.WorkloadID, int) bool { return false })
}

// on returns the workloads whose last bind went to the node, in the order of their ids.
func (e *Engine) on(node placement.NodeID) []*held {
	var there []*held
	for _, h := range e.held {
		if h.node == node && h.binds > 0 && h.step.Kind != placement.Wait {
			there = append(there, h)
		}
	}
	slices.SortFunc(there, func(x, y *held) int { return int(int64(x.id) - int64(y.id)) })
	return there
}

// IsPlaced tells whether that bind is the workload's last and placed.
func (e *Engine) IsPlaced(id placement.WorkloadID, bind int) bool {
	h := e.held[id]
	return h != nil && h.placed && h.latest(bind)
}

// StopsDuplicates tells what to do with a copy that nobody waits for any more: whether to stop it. A run-once
// workload that was started stays, since its owner was told that it may run.
func (e *Engine) StopsDuplicates(g placement.GroupID) bool {
	return int(g) >= len(e.groups) || e.groups[g].Idempotency != placement.AtMostOnce
}

// ReportUsage takes what is told of a workload; of a bind that is not the last it tells nothing.
func (e *Engine) ReportUsage(now placement.Millis, id placement.WorkloadID, bind int, k placement.UsageKind, value float64) {
	if h := e.held[id]; h != nil && h.latest(bind) {
		e.module.ReportUsage(now, id, k, value)
	}
}

// ReportLoad takes a load report that came by itself.
func (e *Engine) ReportLoad(now placement.Millis, node placement.NodeID, l placement.LoadReport) {
	e.module.ReportLoad(now, node, l)
}

// HealthChecked takes the answer to a probe, or that none came.
func (e *Engine) HealthChecked(now placement.Millis, node placement.NodeID, answered bool, l *placement.LoadReport) {
	e.module.HealthChecked(now, node, answered, l)
}

// UpdateNodes takes a message of the machine list. Those who send it see to its order.
func (e *Engine) UpdateNodes(now placement.Millis, k placement.NodeUpdateKind, nodes []placement.Node) {
	e.log.Add(eventlog.Event{At: now, Kind: eventlog.Listed, Detail: uint8(k), Bind: int32(len(nodes))})
	e.module.UpdateNodes(now, k, nodes)
}

// Tick does what has come due. It may be called at any time.
func (e *Engine) Tick(now placement.Millis) {
	if e.woken && e.wake <= now+clockGrain {
		e.woken = false
	}
	for at, ok := e.timers.NextTime(); ok && at <= now+clockGrain; at, ok = e.timers.NextTime() {
		_, no, t := e.timers.Pop()
		if t.chores {
			e.chores(now)
			continue
		}
		h := e.held[t.id]
		if h == nil || h.timer != no {
			continue
		}
		if h.due > now+clockGrain {
			e.set(now, h, h.due)
			continue
		}
		h.timer = 0
		switch h.step.Kind {
		case placement.Wait:
			e.carryOut(now, h, h.step.NextStep(now, placement.Result{Kind: placement.TimerFired}))
		default:
			runOnce := int(h.group) < len(e.groups) && e.groups[h.group].Idempotency == placement.AtMostOnce
			if !h.withdrawn {
				e.world.Stop(h.id, h.binds-1, h.node, TimedOut, runOnce)
			}
			e.settle(now, h, placement.Result{Kind: placement.TimedOut})
		}
	}
	e.ask(now)
}

// carryOut does what a step asks for and keeps its continuation.
func (e *Engine) carryOut(now placement.Millis, h *held, s placement.Step) {
	h.step = s
	switch s.Kind {
	case placement.Bind:
		h.node = s.Node
		h.binds++
		e.log.Add(eventlog.Event{
			At: now, Kind: eventlog.Bound, Workload: h.id, Node: s.Node, Bind: int32(h.binds - 1), Group: h.group,
		})
		if e.timesOut {
			e.set(now, h, now+s.Timeout)
		}
		e.world.Bind(h.id, h.binds-1, s.Node, s.Timeout)
	case placement.Wait:
		e.set(now, h, max(s.WakeAt, now))
	case placement.Rejected:
		e.answer(now, h, Rejected)
	case placement.Unschedulable:
		e.answer(now, h, Unschedulable)
	}
	if s.NextStep == nil {
		delete(e.held, h.id)
		e.world.Forget(h.id)
	}
}

func (e *Engine) answer(now placement.Millis, h *held, v Verdict) {
	if h.withdrawn {
		return
	}
	e.log.Add(eventlog.Event{At: now, Kind: eventlog.Answered, Detail: uint8(v), Workload: h.id, Group: h.group})
	e.world.Answer(h.id, v, 0)
}

func (e *Engine) chores(now placement.Millis) {
	c := e.module.Maintain(now)
	if c.Subscribe {
		e.world.SubscribeNodes()
	}
	for _, n := range c.HealthChecks {
		e.log.Add(eventlog.Event{At: now, Kind: eventlog.Probed, Node: n})
		e.world.CheckHealth(n)
	}
	for _, id := range c.Migrations {
		h := e.held[id]
		if h == nil || h.withdrawn {
			continue
		}
		h.moving = true
		e.log.Add(eventlog.Event{At: now, Kind: eventlog.Stopped, Detail: uint8(Migrating), Workload: id, Node: h.node})
		e.world.Stop(id, h.binds-1, h.node, Migrating, false)
	}
	e.timers.Push(c.NextAt, timer{chores: true})
}

// set sets the timer of a workload's step.
func (e *Engine) set(now placement.Millis, h *held, due placement.Millis) {
	h.due, h.timer = due, e.timers.Push(min(due, now+MaxTimerDelay), timer{id: h.id})
}

// ask sees to it that a wake-up comes by the time of the first timer.
func (e *Engine) ask(now placement.Millis) {
	at, ok := e.timers.NextTime()
	if !ok || e.woken && e.wake <= at {
		return
	}
	e.wake, e.woken = max(now, at), true
	e.world.Wake(e.wake)
}

// timer is one thing that comes due: chores, or the wait or time-out of a workload.
type timer struct {
	id     placement.WorkloadID
	chores bool
}
