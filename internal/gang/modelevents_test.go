package gang

import "grebeglade/placement"

// lastTimer is the time from which on the model fires no timers. It lies well after the gangs' pending timeout.
const lastTimer = placement.Millis(2500)

// successors returns the models reachable by one event.
func (m model) successors() []model {
	var all []model
	add := func(event func(*model)) {
		next := m.clone()
		event(&next)
		all = append(all, next)
	}
	for g := range m.gangs {
		caller := &m.gangs[g]
		if caller.gang.State() == Pending && caller.gang.attempts == 0 {
			for _, nodes := range assignments {
				add(func(next *model) { next.execute(g, next.gangs[g].gang.Start(0), nodes) })
			}
			continue
		}
		m.addTimer(g, add)
		for part := range caller.parts {
			m.addPartEvents(g, part, add)
		}
	}
	m.addNodeEvents(add)
	return all
}

// addTimer adds the models that result when a gang's timer fires. A running gang needs no timer.
func (m model) addTimer(gangIndex int, add func(func(*model))) {
	caller := &m.gangs[gangIndex]
	if caller.timer <= 0 || caller.timer >= lastTimer || caller.gang.State() == Running {
		return
	}
	for _, nodes := range assignments {
		add(func(next *model) { next.fireTimer(gangIndex, nodes) })
	}
}

// addNodeEvents adds the models in which the lease of an orphaned part ends, or a node crashes.
func (m model) addNodeEvents(add func(func(*model))) {
	for node, orphaned := range m.orphans {
		if orphaned {
			add(func(next *model) { next.orphans[node] = false })
		}
	}
	for node := range m.orphans {
		if !m.faulted && m.occupied(node) {
			add(func(next *model) { next.crash(node) })
		}
	}
}

// addPartEvents adds the models that result from the events of a part at its node.
func (m model) addPartEvents(gangIndex, part int, add func(func(*model))) {
	onNode := m.gangs[gangIndex].parts[part]
	switch onNode.phase {
	case offered:
		if m.occupied(onNode.node) {
			add(func(next *model) { next.failPart(gangIndex, part, NeverRan) })
			return
		}
		add(func(next *model) { next.startPart(gangIndex, part) })
		if !m.faulted {
			add(func(next *model) { next.loseReply(gangIndex, part) })
		}
	case stopping:
		add(func(next *model) { next.endPart(gangIndex, part) })
	case absent, running:
		// The part is not on a node, or runs until it is stopped or its node crashes.
	}
}
