package gang

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

// model is a small cluster: two gangs of two parts at allocators that share nothing, and two nodes with capacity for one
// part each. TestGang_EveryOrderOfEvents_RunsWholeOrNotAtAll visits every state that it can come to.
type model struct {
	gangs     [2]Gang
	now       [2]placement.Millis
	timers    [2]placement.Millis // when the next one fires, 0 for none
	nodes     [2][2]int           // to which each part was offered, noNode for none
	phases    [2][2]partPhase
	orphans   [2]bool // by node: a part runs there that its gang has given up
	faulted   bool    // the one fault has happened
	answers   [2]int
	violation string
}

const noNode = -1

// partPhase is how far a part is at its node.
type partPhase string

const (
	absent   partPhase = ""
	offered  partPhase = "offered"
	running  partPhase = "running"
	stopping partPhase = "stopping"
)

// attempts are what can come of an attempt: nothing is sent, or each part is offered to one of the nodes.
var attempts = [][]int{nil, {0, 1}, {1, 0}}

func newModel(idempotency placement.Idempotency) model {
	var m model
	for g := range 2 {
		request := Request{Parts: []Part{{Idempotency: idempotency}, {Idempotency: idempotency}}, MinParts: 2, PendingTimeout: 1500}
		m.gangs[g] = *New(0, request, uint64(g))
		m.nodes[g] = [2]int{noNode, noNode}
	}
	return m
}

func (m model) clone() model {
	for i := range m.gangs {
		m.gangs[i].Parts = slices.Clone(m.gangs[i].Parts)
	}
	return m
}

// occupied reports whether a part uses the capacity of a node.
func (m *model) occupied(node int) bool {
	for g := range m.nodes {
		for p := range m.nodes[g] {
			if m.nodes[g][p] == node && (m.phases[g][p] == running || m.phases[g][p] == stopping) {
				return true
			}
		}
	}
	return m.orphans[node]
}

// execute carries out a gang's actions. The nodes to which an attempt offers the parts are given, nil for none.
func (m *model) execute(g int, actions []Action, nodes []int) {
	for _, a := range actions {
		switch a.Kind {
		case Attempt:
			m.attempt(g, nodes)
		case StopPart:
			if m.phases[g][a.Part] == offered || m.phases[g][a.Part] == running {
				m.phases[g][a.Part] = stopping
			}
		case AnswerPlaced, AnswerRejected, AnswerUnschedulable:
			m.answers[g]++
		case SetTimer:
			m.timers[g] = a.At
		case Forget:
			m.timers[g] = 0
		}
	}
}

func (m *model) attempt(g int, nodes []int) {
	for p := range 2 {
		if m.phases[g][p] != absent {
			m.violation = "a part is requested that was not stopped"
		}
		if nodes != nil {
			m.nodes[g][p], m.phases[g][p] = nodes[p], offered
		}
	}
	m.execute(g, m.gangs[g].AttemptResult([]bool{nodes != nil, nodes != nil}), nil)
}

// leave ends a part's phase at its node.
func (m *model) leave(g, p int) { m.phases[g][p], m.nodes[g][p] = absent, noNode }

// crash ends what runs on a node.
func (m *model) crash(node int) {
	m.faulted, m.orphans[node] = true, false
	for g := range 2 {
		for p := range 2 {
			if m.nodes[g][p] == node && m.phases[g][p] != absent && m.phases[g][p] != offered {
				m.leave(g, p)
				m.execute(g, m.gangs[g].PartEnded(m.now[g], p, false), nil)
			}
		}
	}
}

// successors are the states that one event can lead to.
func (m model) successors() []model {
	var all []model
	add := func(event func(*model)) {
		c := m.clone()
		event(&c)
		all = append(all, c)
	}
	for g := range 2 {
		if m.gangs[g].State == Pending && m.gangs[g].attempts == 0 {
			for _, nodes := range attempts {
				add(func(c *model) { c.execute(g, c.gangs[g].Start(0), nodes) })
			}
			continue
		}
		m.addTimers(g, add)
		for p := range 2 {
			m.addPartEvents(g, p, add)
		}
	}
	m.addNodeEvents(add)
	return all
}

// addTimers adds what a gang's timer leads to. A running gang needs none.
func (m model) addTimers(g int, add func(func(*model))) {
	if m.timers[g] <= 0 || m.timers[g] >= 2500 || m.gangs[g].State == Running {
		return
	}
	for _, nodes := range attempts {
		add(func(c *model) {
			c.now[g], c.timers[g] = max(c.now[g], c.timers[g]), 0
			c.execute(g, c.gangs[g].TimerFired(c.now[g]), nodes)
		})
	}
}

// addNodeEvents adds the ends of leases of parts that were given up, and the crashes of nodes.
func (m model) addNodeEvents(add func(func(*model))) {
	for node := range 2 {
		if m.orphans[node] {
			add(func(c *model) { c.orphans[node] = false })
		}
	}
	for node := range 2 {
		if !m.faulted && m.occupied(node) {
			add(func(c *model) { c.crash(node) })
		}
	}
}

// addPartEvents adds what can happen to a part at its node.
func (m model) addPartEvents(g, p int, add func(func(*model))) {
	switch m.phases[g][p] {
	case offered:
		if m.occupied(m.nodes[g][p]) {
			add(func(c *model) { c.leave(g, p); c.execute(g, c.gangs[g].PartFailed(c.now[g], p, false), nil) })
			return
		}
		add(func(c *model) { c.phases[g][p] = running; c.execute(g, c.gangs[g].PartStarted(p), nil) })
		if !m.faulted { // the answer is lost: it runs, and its gang does not know
			add(func(c *model) {
				c.faulted, c.orphans[c.nodes[g][p]] = true, true
				c.leave(g, p)
				c.execute(g, c.gangs[g].PartFailed(c.now[g], p, true), nil)
			})
		}
	case stopping:
		add(func(c *model) { c.leave(g, p); c.execute(g, c.gangs[g].PartEnded(c.now[g], p, false), nil) })
	}
}

// requireWhole requires of a final state that each gang was answered once, and runs whole or not at all. It returns how
// many gangs run.
func (m model) requireWhole(t *testing.T, key string) int {
	t.Helper()
	run := 0
	for g := range 2 {
		require.Equal(t, 1, m.answers[g], "one answer: %s", key)
		parts := 0
		for p := range 2 {
			if m.phases[g][p] != absent {
				parts++
			}
		}
		if m.gangs[g].State == Running {
			run++
			require.Equal(t, 2, parts, key)
			continue
		}
		require.Equal(t, Ended, m.gangs[g].State, key)
		require.Zero(t, parts, key)
	}
	return run
}

// Every order of everything that can happen to two gangs of two parts on two nodes, with one fault.
func TestGang_EveryOrderOfEvents_RunsWholeOrNotAtAll(t *testing.T) {
	for _, idempotency := range []placement.Idempotency{placement.Idempotent, placement.AtMostOnce} {
		seen, open, final, run := map[string]bool{}, []model{newModel(idempotency)}, 0, 0
		for len(open) > 0 {
			m := open[len(open)-1]
			open = open[:len(open)-1]
			key := fmt.Sprintf("%#v", m)
			if seen[key] {
				continue
			}
			seen[key] = true
			require.Empty(t, m.violation, key)
			require.Less(t, len(seen), 400000)
			successors := m.successors()
			open = append(open, successors...)
			if len(successors) == 0 {
				final++
				run += m.requireWhole(t, key)
			}
		}
		assert.NotZero(t, run)
		t.Logf("idempotency %d: %d states, %d of them final, %d gangs run", idempotency, len(seen), final, run)
		assert.Greater(t, len(seen), 1000)
	}
}
