package oracle

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// Place returns the core time, in core milliseconds until the end, of a schedule without delays and migrations, based
// on the true state of the machines. It places the waiting workload with the most cores first, each on the machine
// with the fewest unused cores. With nil constraints only the capacity of the machines limits placements, and spread
// limits are ignored.
func Place(machines []Machine, workloads []Workload, end placement.Millis, constraints *Constraints) float64 {
	p := &placer{end: end, constraints: constraints}
	p.events = newEventQueue(append(p.machineEvents(machines), p.workloadEvents(workloads)...))
	p.run()
	return p.coreTime
}

// placer processes a scenario's events in order.
type placer struct {
	machines    []*machine
	waiting     []*Workload
	end         placement.Millis
	constraints *Constraints // nil for none
	events      eventQueue
	coreTime    float64 // core milliseconds of workloads that ended or whose machine was lost
}

// machineEvents adds the machines to the placer, and returns their events.
func (p *placer) machineEvents(machines []Machine) (events []event) {
	for i := range machines {
		m := &machine{Machine: &machines[i]}
		p.machines = append(p.machines, m)
		events = append(events, p.uptimeEvents(m)...)
		events = append(events, drainEvents(m)...)
	}
	return events
}

// uptimeEvents returns the events at which a machine goes up and down.
func (p *placer) uptimeEvents(m *machine) (events []event) {
	for i, span := range m.Up {
		if span.Until <= span.From {
			continue
		}
		isFirst := i == 0
		events = append(events,
			newEvent(span.From, machineChanged, func() { m.start(span.From, isFirst) }),
			newEvent(span.Until, capacityReleased, func() { p.loseMachine(m, span.Until) }))
	}
	return events
}

func drainEvents(m *machine) (events []event) {
	for _, span := range m.Drains {
		events = append(events,
			newEvent(span.From, machineChanged, m.beginDrain),
			newEvent(span.Until, machineChanged, m.endDrain))
	}
	return events
}

// workloadEvents returns the events at which workloads are requested and end.
func (p *placer) workloadEvents(workloads []Workload) (events []event) {
	for i := range workloads {
		w := &workloads[i]
		if w.Until <= w.From {
			continue
		}
		events = append(events,
			newEvent(w.From, workloadRequested, func() { p.enqueue(w) }),
			newEvent(w.Until, capacityReleased, func() { p.endWorkload(w) }))
	}
	return events
}

// run processes the events until the end, and places the waiting workloads after the last event of each point in time.
func (p *placer) run() {
	for {
		e, ok := p.events.pop(p.end)
		if !ok {
			break
		}
		e.apply()
		if !p.events.hasNextUntil(e.at) {
			p.placeWaiting(e.at)
		}
	}
	for _, m := range p.machines {
		for _, r := range m.running {
			p.coreTime += r.coreTime(min(p.end, r.workload.Until))
		}
	}
}

func (p *placer) enqueue(w *Workload) { p.waiting = append(p.waiting, w) }

// loseMachine stops a machine. Its workloads are queued again immediately, or with AwaitRetry at their client's retry.
func (p *placer) loseMachine(m *machine, now placement.Millis) {
	for _, r := range m.stop() {
		p.coreTime += r.coreTime(min(now, p.end))
		if p.constraints != nil && p.constraints.AwaitRetry {
			p.scheduleRetry(r.workload, now)
		} else {
			p.enqueue(r.workload)
		}
	}
}

// scheduleRetry queues a lost workload at its client's retry, if the client retries before the workload's end.
func (p *placer) scheduleRetry(w *Workload, now placement.Millis) {
	retryAt := now + w.RetryDelay
	if w.RetryDelay < 0 || retryAt >= w.Until {
		return
	}
	p.events.insert(newEvent(retryAt, workloadRequested, func() { p.enqueue(w) }))
}

// endWorkload ends a waiting or running workload.
func (p *placer) endWorkload(w *Workload) {
	p.waiting = slices.DeleteFunc(p.waiting, func(x *Workload) bool { return x == w })
	for _, m := range p.machines {
		if r, ok := m.remove(w); ok {
			p.coreTime += r.coreTime(w.Until)
		}
	}
}

// placeWaiting places the waiting workloads for which there is a suitable machine.
func (p *placer) placeWaiting(now placement.Millis) {
	slices.SortStableFunc(p.waiting, func(x, y *Workload) int { return cmp.Compare(y.Cores, x.Cores) })
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Workload) bool {
		m := p.bestFit(now, w)
		if m == nil {
			return false
		}
		m.place(now, w)
		return true
	})
}

// bestFit returns the machine with the fewest unused cores on which a workload may be placed, or nil if there is none.
func (p *placer) bestFit(now placement.Millis, w *Workload) *machine {
	var best *machine
	leastUnused := 0.0
	for _, m := range p.machines {
		if !m.fits(w) || !p.withinConstraints(now, m, w) {
			continue
		}
		unused := m.Cores - m.used.cores
		if best == nil || unused < leastUnused {
			best = m
			leastUnused = unused
		}
	}
	return best
}

func (p *placer) withinConstraints(now placement.Millis, m *machine, w *Workload) bool {
	return p.constraints == nil || p.withinWarmUpBudget(now, m) && p.withinSpread(m, w)
}

// withinWarmUpBudget reports whether the bind limit at a machine's uptime permits another placement.
func (p *placer) withinWarmUpBudget(now placement.Millis, m *machine) bool {
	if p.constraints.BindLimit == nil || m.firstStart {
		return true
	}
	budget := p.constraints.BindLimit(now - m.startedAt)
	return budget < 0 || float64(m.placedSince(now-p.constraints.Window)+1) <= budget
}

// withinSpread reports whether the spread limit permits another workload of the service in the machine's scope.
func (p *placer) withinSpread(m *machine, w *Workload) bool {
	if w.SpreadScope == placement.ScopeNone {
		return true
	}
	placed := 0
	for _, other := range p.machines {
		if other.sharesScope(m, w.SpreadScope) {
			placed += other.countService(w.Service)
		}
	}
	return placed < w.MaxPerScope
}
