// Package audit checks the rules of a run. It uses only what an observer.Observer receives and the terms of the run,
// and shares no code with the engine.
//
// The rules are: every request gets one answer in time (1); a workload never runs more often than its idempotency
// allows (2); nothing is offered to a node that is draining or removed (3); nodes that are warming up are not
// overloaded (4); services stay spread (5). Violations of the all-or-nothing start of gangs are reported as rule 6.
//
// A frame is observed when it is sent and when it is received: client.go, allocator.go and node.go each handle the
// frames at one kind of process. The frames at a process's own end show which information it has; those at the other
// end show what happened there.
package audit

import (
	"cmp"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	clockTolerance = placement.Millis(1)  // ms by which two readings of the same time may differ
	pauseTolerance = placement.Millis(50) // ms by which a pause counts as longer at both ends
)

// Auditor is an observer.Observer that checks the rules. It must be used by one goroutine at a time.
type Auditor struct {
	Findings

	terms       scenario.Terms
	requests    requestTable
	connections connectionTable
	allocators  map[string]*allocatorState
	nodes       nodeTable
	atMostOnce  atMostOnceWorkloads
	gangs       gangAuditor
}

// New returns an auditor that checks a run against the given terms.
func New(terms scenario.Terms) *Auditor {
	a := &Auditor{
		terms:       terms,
		requests:    newRequestTable(),
		connections: connectionTable{},
		allocators:  map[string]*allocatorState{},
		nodes:       nodeTable{},
		atMostOnce:  newAtMostOnceWorkloads(),
	}
	a.gangs = newGangAuditor(terms.Groups, &a.Findings)
	return a
}

// Check audits a complete history.
func Check(history *observer.History) *Auditor {
	a := New(history.Terms())
	history.Replay(a)
	a.Finish(history.Ended())
	return a
}

// Process implements observer.Observer. A killed allocator loses its state, and no more answers from it are due.
func (a *Auditor) Process(now placement.Millis, process *observer.Process, running bool) {
	switch process.Role {
	case pb.Role_NODE:
		if !running {
			a.gangs.nodeKilled(now, uint32(process.ID))
		}
	case pb.Role_ALLOCATOR:
		a.gangs.setAllocatorRunning(now, process.Name, running)
		if !running {
			a.allocator(process.Name).reset()
			a.requests.cancelAnswersFrom(process.Name)
		}
	case pb.Role_CLIENT, pb.Role_DISCOVERY, pb.Role_OPERATOR, pb.Role_ROLE_UNSPECIFIED:
		// The rules concern allocators and nodes only; a killed client closes its connections.
	}
}

// Pause implements observer.Observer.
func (a *Auditor) Pause(now placement.Millis, process *observer.Process, until placement.Millis) {
	if process.Role == pb.Role_ALLOCATOR {
		s := a.allocator(process.Name)
		s.pauses = append(s.pauses, pause{now, until})
	}
}

// Connection implements observer.Observer. Binds that were pending on a closed connection may have run; requests that
// were pending on it get no answer.
func (a *Auditor) Connection(_ placement.Millis, process *observer.Process, conn transport.ConnID, open bool) {
	if open {
		return // a connection is registered by the peer's hello
	}
	other, ok := a.connections.remove(process, conn)
	switch {
	case !ok:
	case process.Role == pb.Role_ALLOCATOR && other.role == pb.Role_NODE:
		a.allocator(process.Name).closeBinds(other.node)
		a.endBindsOnRemovedNode(process, other.node)
	case process.Role == pb.Role_CLIENT:
		a.requests.cancelAnswersBetween(process.Name, other.name)
	}
}

// Frame implements observer.Observer.
func (a *Auditor) Frame(
	now, arrived placement.Millis, process *observer.Process, conn transport.ConnID, sent bool, message *pb.Frame,
) {
	a.Frames++
	seen := frame{
		at:      now,
		arrived: arrived,
		process: process,
		conn:    conn,
		sent:    sent,
		message: message,
	}
	if hello := message.GetHello(); hello != nil && !sent {
		a.helloReceived(seen, hello)
		return
	}
	switch process.Role {
	case pb.Role_CLIENT:
		a.atClient(seen)
	case pb.Role_ALLOCATOR:
		a.atAllocator(seen)
	case pb.Role_NODE:
		a.atNode(seen)
	case pb.Role_DISCOVERY, pb.Role_OPERATOR, pb.Role_ROLE_UNSPECIFIED:
		// Discovery updates count when an allocator receives them, and operators only read.
	}
}

// helloReceived records the peer of a connection.
func (a *Auditor) helloReceived(seen frame, hello *pb.Hello) {
	a.connections.identify(seen.process, seen.conn, hello)
	if seen.process.Role == pb.Role_ALLOCATOR && hello.Role == pb.Role_NODE {
		a.allocator(seen.process.Name).reconcileNode(seen.at, hello)
	}
}

// Finish reports overdue requests, incomplete gangs and parts with too many binds at the end of the run, and sorts the
// violations.
func (a *Auditor) Finish(now placement.Millis) {
	for _, r := range a.requests.sent {
		a.checkAnswered(now, r)
	}
	a.gangs.finish(now)
	slices.SortStableFunc(a.Violations, func(x, y Violation) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Rule, y.Rule))
	})
}

// IncompleteGangs returns the number of gangs that ran incomplete for too long, including at the end of the run.
func (a *Auditor) IncompleteGangs() int { return a.gangs.incomplete }

// WastedCoreShare returns the share (0 to 1) of the core time of gang parts that belongs to parts whose gang had not
// started when they ended.
func (a *Auditor) WastedCoreShare() float64 { return a.gangs.coreTime.wastedShare() }
