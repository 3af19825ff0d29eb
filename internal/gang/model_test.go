package gang

import (
	"fmt"
	"slices"

	"grebeglade/placement"
)

// The size of a model.
const (
	gangCount    = 2
	partsPerGang = 2
	nodeCount    = 2
)

// noNode stands in place of the node of a part that was offered to none.
const noNode = -1

// model is a small cluster: two gangs of two parts at allocators that share nothing, and two nodes with capacity for
// one part each. TestGang_EveryOrderOfEvents_RunsWholeOrNotAtAll visits every state that it can come to.
type model struct {
	gangs     [gangCount]modelGang
	orphans   [nodeCount]bool // a part runs on the node that its gang has given up
	faulted   bool            // the one fault has happened
	violation string
}

// modelGang is a gang with its caller.
type modelGang struct {
	gang    Gang
	now     placement.Millis
	timer   placement.Millis // when the next one fires, 0 for none
	parts   [partsPerGang]modelPart
	answers int
}

// modelPart is a part as its node sees it.
type modelPart struct {
	node  int // to which it was offered, or noNode
	phase partPhase
}

// partPhase is how far a part is at its node.
type partPhase string

const (
	absent   partPhase = ""
	offered  partPhase = "offered"
	running  partPhase = "running"
	stopping partPhase = "stopping"
)

// usesCapacity reports whether a part takes up the capacity of its node.
func (p modelPart) usesCapacity() bool { return p.phase == running || p.phase == stopping }

// assignments are the nodes to which an attempt can offer the parts: to none, or each part to one of the nodes.
var assignments = [][]int{nil, {0, 1}, {1, 0}}

func newModel(idempotency placement.Idempotency) model {
	var m model
	for g := range m.gangs {
		request := Request{
			Parts:          slices.Repeat([]Part{{Idempotency: idempotency}}, partsPerGang),
			MinParts:       partsPerGang,
			PendingTimeout: 1500,
		}
		m.gangs[g].gang = *New(0, request, uint64(g))
		for part := range m.gangs[g].parts {
			m.gangs[g].parts[part].node = noNode
		}
	}
	return m
}

func (m model) clone() model {
	for g := range m.gangs {
		m.gangs[g].gang.parts = slices.Clone(m.gangs[g].gang.parts)
	}
	return m
}

// key returns a text that differs between any two models. It does not use State.String, which two states share.
func (m model) key() string { return fmt.Sprintf("%#v", m) }

// occupied reports whether a part uses the capacity of a node.
func (m *model) occupied(node int) bool {
	for _, caller := range m.gangs {
		for _, part := range caller.parts {
			if part.node == node && part.usesCapacity() {
				return true
			}
		}
	}
	return m.orphans[node]
}

// execute carries out a gang's actions. The nodes to which an attempt offers the parts are given, nil for none.
func (m *model) execute(gangIndex int, actions []Action, nodes []int) {
	caller := &m.gangs[gangIndex]
	for _, action := range actions {
		switch action.Kind {
		case Attempt:
			m.attempt(gangIndex, nodes)
		case StopPart:
			part := &caller.parts[action.Part]
			if part.phase == offered || part.phase == running {
				part.phase = stopping
			}
		case AnswerPlaced, AnswerRejected, AnswerUnschedulable:
			caller.answers++
		case SetTimer:
			caller.timer = action.At
		case Forget:
			caller.timer = 0
		case RequestPart, ConfirmParts, ReportEnd:
			// No part is replaced, and the other two are notifications.
		}
	}
}

// attempt offers the parts of a gang to the given nodes, or to none.
func (m *model) attempt(gangIndex int, nodes []int) {
	caller := &m.gangs[gangIndex]
	for part := range caller.parts {
		if caller.parts[part].phase != absent {
			m.violation = "a part is requested that was not stopped"
		}
		if nodes != nil {
			caller.parts[part] = modelPart{node: nodes[part], phase: offered}
		}
	}
	var offeredParts []int
	if nodes != nil {
		offeredParts = partNumbers(partsPerGang)
	}
	m.execute(gangIndex, caller.gang.AttemptResult(offeredParts), nil)
}

// removePart takes a part away from its node.
func (m *model) removePart(gangIndex, part int) {
	m.gangs[gangIndex].parts[part] = modelPart{node: noNode, phase: absent}
}

// startPart has a part that was offered start.
func (m *model) startPart(gangIndex, part int) {
	caller := &m.gangs[gangIndex]
	caller.parts[part].phase = running
	m.execute(gangIndex, caller.gang.PartStarted(part), nil)
}

// failPart has a part that was offered fail.
func (m *model) failPart(gangIndex, part int, outcome FailureOutcome) {
	caller := &m.gangs[gangIndex]
	m.removePart(gangIndex, part)
	m.execute(gangIndex, caller.gang.PartFailed(caller.now, part, outcome), nil)
}

// loseAnswer has a part that was offered start without its gang's knowledge.
func (m *model) loseAnswer(gangIndex, part int) {
	m.faulted = true
	m.orphans[m.gangs[gangIndex].parts[part].node] = true
	m.failPart(gangIndex, part, MayRun)
}

// endPart has a part end at its node before its time.
func (m *model) endPart(gangIndex, part int) {
	caller := &m.gangs[gangIndex]
	m.removePart(gangIndex, part)
	m.execute(gangIndex, caller.gang.PartEnded(caller.now, part, EndedEarly), nil)
}

// fireTimer fires the timer of a gang. The nodes to which an attempt offers the parts are given, nil for none.
func (m *model) fireTimer(gangIndex int, nodes []int) {
	caller := &m.gangs[gangIndex]
	caller.now = max(caller.now, caller.timer)
	caller.timer = 0
	m.execute(gangIndex, caller.gang.TimerFired(caller.now), nodes)
}

// crash ends what runs on a node.
func (m *model) crash(node int) {
	m.faulted = true
	m.orphans[node] = false
	for g := range m.gangs {
		for part := range m.gangs[g].parts {
			onNode := m.gangs[g].parts[part]
			if onNode.node == node && onNode.usesCapacity() {
				m.endPart(g, part)
			}
		}
	}
}
