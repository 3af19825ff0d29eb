package oracle

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// Place returns the core time, in core milliseconds until the end, that runs under a scheduler that places at once, knows
// the true state, and never migrates: the largest of the waiting workloads first, each where the least cores remain. With
// nil rules only the machines limit it; a workload's spread does not.
func Place(machines []Machine, wants []Want, end placement.Millis, rules *Rules) float64 {
	p := &placer{end: end, rules: rules}
	p.events = newEventQueue(append(p.machineEvents(machines), p.wantEvents(wants)...))
	p.run()
	return p.coreTime
}

// placer runs through a scenario event by event.
type placer struct {
	machines []*machine
	waiting  []*Want
	end      placement.Millis
	rules    *Rules // nil for none
	events   eventQueue
	coreTime float64 // that has run on machines until now
}

func (p *placer) machineEvents(machines []Machine) (events []event) {
	for i := range machines {
		m := &machine{Machine: &machines[i]}
		p.machines = append(p.machines, m)
		for n, s := range m.Up {
			if s.Until <= s.From {
				continue
			}
			events = append(events,
				event{s.From, machineChanged, func() { m.start(s.From, n == 0) }},
				event{s.Until, capacityReleased, func() { p.loseMachine(m, s.Until) }})
		}
		for _, s := range m.Drains {
			events = append(events, event{s.From, machineChanged, m.beginDrain}, event{s.Until, machineChanged, m.endDrain})
		}
	}
	return events
}

func (p *placer) wantEvents(wants []Want) (events []event) {
	for i := range wants {
		w := &wants[i]
		if w.Until <= w.From {
			continue
		}
		events = append(events,
			event{w.From, workloadWanted, func() { p.wait(w) }},
			event{w.Until, capacityReleased, func() { p.endWant(w) }})
	}
	return events
}

// run applies the events until the end, and places what waits after all events of a point in time.
func (p *placer) run() {
	for {
		e, ok := p.events.pop(p.end)
		if !ok {
			break
		}
		e.apply()
		if !p.events.hasNextAt(e.at) {
			p.placeWaiting(e.at)
		}
	}
	for _, m := range p.machines {
		for _, r := range m.workloads {
			p.coreTime += r.coreTime(min(p.end, r.want.Until))
		}
	}
}

func (p *placer) wait(w *Want) { p.waiting = append(p.waiting, w) }

// loseMachine takes a machine down. What ran on it waits again, from now or from the client's retry on.
func (p *placer) loseMachine(m *machine, now placement.Millis) {
	for _, r := range m.stop() {
		p.coreTime += r.coreTime(min(now, p.end))
		switch w := r.want; {
		case p.rules == nil || !p.rules.Asked:
			p.wait(w)
		case w.Again >= 0 && now+w.Again < w.Until:
			p.events.insert(event{now + w.Again, workloadWanted, func() { p.wait(w) }})
		}
	}
}

// endWant ends a workload, whether it waits or runs.
func (p *placer) endWant(w *Want) {
	p.waiting = slices.DeleteFunc(p.waiting, func(x *Want) bool { return x == w })
	for _, m := range p.machines {
		if r, removed := m.remove(w); removed {
			p.coreTime += r.coreTime(w.Until)
		}
	}
}

// placeWaiting places the waiting workloads for which there is a machine.
func (p *placer) placeWaiting(now placement.Millis) {
	slices.SortStableFunc(p.waiting, func(x, y *Want) int { return cmp.Compare(y.Cores, x.Cores) })
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Want) bool {
		m, found := p.bestFit(now, w)
		if found {
			m.place(now, w)
		}
		return found
	})
}

// bestFit returns the machine with the least unused cores among those that a workload may be placed on.
func (p *placer) bestFit(now placement.Millis, w *Want) (best *machine, found bool) {
	least := 0.0
	for _, m := range p.machines {
		if !m.fits(w) || !p.withinRules(now, m, w) {
			continue
		}
		if unused := m.Cores - m.used.cores; !found || unused < least {
			best, least, found = m, unused, true
		}
	}
	return best, found
}

func (p *placer) withinRules(now placement.Millis, m *machine, w *Want) bool {
	return p.rules == nil || p.withinWarmUpBudget(now, m) && p.withinSpread(m, w)
}

// withinWarmUpBudget reports whether a machine may be sent another workload so soon after its start.
func (p *placer) withinWarmUpBudget(now placement.Millis, m *machine) bool {
	if p.rules.Bears == nil || m.firstStart {
		return true
	}
	budget := p.rules.Bears(now - m.startedAt)
	return budget < 0 || float64(m.placedSince(now-p.rules.Window)+1) <= budget
}

// withinSpread reports whether another workload of the service may be placed in the machine's scope.
func (p *placer) withinSpread(m *machine, w *Want) bool {
	if w.Spread == placement.ScopeNone {
		return true
	}
	placed := 0
	for _, o := range p.machines {
		if o.sharesScope(m, w.Spread) {
			placed += o.countService(w.Service)
		}
	}
	return placed < w.SpreadMost
}
