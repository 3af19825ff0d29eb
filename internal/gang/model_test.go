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

// noNode marks a part that was not offered to any node.
const noNode = -1

// model is the state of a small cluster: two gangs of two parts at allocators that do not communicate, and two nodes
// with capacity for one part each. TestGang_AllEventOrders_AllOrNothing visits every reachable state.
type model struct {
	gangs     [gangCount]modelGang
	orphans   [nodeCount]bool // whether the node runs a part that its gang counts as lost
	faulted   bool            // whether the only fault has happened
	violation string          // violated rule; empty for none
}

// modelGang is a gang together with its caller's state.
type modelGang struct {
	gang    Gang
	now     placement.Millis
	timer   placement.Millis // time of the next timer; 0 for none
	parts   [partsPerGang]modelPart
	answers int // number of final answers to the client
}

// modelPart is the state of a part at its node.
type modelPart struct {
	node  int // node that got the offer, or noNode
	phase partPhase
}

// partPhase is the lifecycle phase of a part at its node.
type partPhase string

const (
	absent   partPhase = ""
	offered  partPhase = "offered"
	running  partPhase = "running"
	stopping partPhase = "stopping"
)

// usesCapacity reports whether a part occupies its node.
func (p modelPart) usesCapacity() bool { return p.phase == running || p.phase == stopping }

// assignments are the possible results of an attempt: no offer (nil), or the node of each part.
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

// key returns a text that is unique for each model. It avoids State.String because two states share one text.
func (m model) key() string { return fmt.Sprintf("%#v", m) }

// occupied reports whether a part or an orphan uses the capacity of a node.
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

// execute executes a gang's actions. An attempt offers part i to nodes[i], or offers no part if nodes is nil.
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
			// Gangs in the model do not replace parts; the other two actions are notifications.
		}
	}
}

// attempt offers part i of a gang to nodes[i], or offers no part if nodes is nil.
func (m *model) attempt(gangIndex int, nodes []int) {
	caller := &m.gangs[gangIndex]
	for part := range caller.parts {
		if caller.parts[part].phase != absent {
			m.violation = "a part is requested again before it was stopped"
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

// removePart removes a part from its node.
func (m *model) removePart(gangIndex, part int) {
	m.gangs[gangIndex].parts[part] = modelPart{node: noNode, phase: absent}
}

// startPart starts an offered part and reports the start to its gang.
func (m *model) startPart(gangIndex, part int) {
	caller := &m.gangs[gangIndex]
	caller.parts[part].phase = running
	m.execute(gangIndex, caller.gang.PartStarted(part), nil)
}

// failPart removes an offered part and reports its failure to its gang.
func (m *model) failPart(gangIndex, part int, outcome FailureOutcome) {
	caller := &m.gangs[gangIndex]
	m.removePart(gangIndex, part)
	m.execute(gangIndex, caller.gang.PartFailed(caller.now, part, outcome), nil)
}

// loseReply starts an offered part whose confirmation is lost: the gang gets an unknown outcome.
func (m *model) loseReply(gangIndex, part int) {
	m.faulted = true
	m.orphans[m.gangs[gangIndex].parts[part].node] = true
	m.failPart(gangIndex, part, MayRun)
}

// endPart ends a part at its node early and reports the end to its gang.
func (m *model) endPart(gangIndex, part int) {
	caller := &m.gangs[gangIndex]
	m.removePart(gangIndex, part)
	m.execute(gangIndex, caller.gang.PartEnded(caller.now, part, EndedEarly), nil)
}

// fireTimer fires the timer of a gang. A resulting attempt uses nodes as described at execute.
func (m *model) fireTimer(gangIndex int, nodes []int) {
	caller := &m.gangs[gangIndex]
	caller.now = max(caller.now, caller.timer)
	caller.timer = 0
	m.execute(gangIndex, caller.gang.TimerFired(caller.now), nodes)
}

// crash ends all parts that run on a node.
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
