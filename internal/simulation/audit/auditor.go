// Package audit decides from what passed between the processes of a run, and from nothing else, whether the rules held.
// It shares no code with the engine.
//
// The rules are: every request gets one answer in time (1); a workload never runs more often than its idempotency allows (2);
// nothing is offered to a node that drains or is gone (3); warming nodes are not overloaded (4); services stay spread (5).
// Violations of the all-or-nothing start of gangs are reported as rule 6.
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

// Violation is a rule that did not hold, with the frames that show it.
type Violation struct {
	Rule     int      `json:"rule"`
	Message  string   `json:"what"`
	Workload uint64   `json:"workload,omitempty"` // its key
	Node     uint32   `json:"node,omitempty"`
	At       float64  `json:"at_ms"`
	Frames   []string `json:"frames"`
}

// LimitUse is how close a run came to the limits of the rules; 1 is the limit.
type LimitUse struct {
	Answer float64 `json:"answer_time"`  // of the pending timeout, until an answer
	Drain  float64 `json:"drain_grace"`  // of the grace, until the last offer to a draining node
	Cold   float64 `json:"cold_budget"`  // of the offers that a warming node withstands
	Spread float64 `json:"spread_limit"` // of the workloads of a service allowed in one scope
}

// RaiseTo raises each value to that of m where m's is higher.
func (n *LimitUse) RaiseTo(m LimitUse) {
	n.Answer, n.Drain = max(n.Answer, m.Answer), max(n.Drain, m.Drain)
	n.Cold, n.Spread = max(n.Cold, m.Cold), max(n.Spread, m.Spread)
}

const (
	clockTolerance = placement.Millis(1)    // two readings of one time may differ by as much
	pauseTolerance = placement.Millis(50)   // around a pause, within which its effects fall
	maxViolations  = 100                    // that are kept
	maxShownFrames = 24                     // of one violation
	arrivalHistory = placement.Millis(60e3) // for which arrivals at a warming node are kept
	notDraining    = placement.Millis(-1)   // in place of the time since which a node drains
)

// Auditor is an observer.Observer that checks the rules. It must be used by one goroutine at a time.
type Auditor struct {
	Violations     []Violation
	MoreViolations int // beyond those kept
	Frames         int // seen, at both ends
	LimitUse       LimitUse

	terms        scenario.Terms
	allocators   map[string]*allocatorState
	peers        map[*observer.Process]map[transport.ConnID]*peer
	requests     map[requestRef]*request
	requestOrder []*request
	nodes        map[uint32]*nodeState
	starts       map[uint64][]observer.BindKey // of at-most-once workloads, by workload key
	atMostOnce   map[uint64][]*bind            // all binds of at-most-once workloads, by workload key
	gangs        gangAuditor
}

// requestRef identifies a request. Numbers are the client's own.
type requestRef struct {
	client string
	number uint64
}

// request is a request for a workload or a gang. The first rule treats a gang as one request.
type request struct {
	ref       requestRef
	ask       *pb.PlaceRequest // of a gang, its first part
	allocator string
	deadline  placement.Millis // of the answer
	received  bool             // by the allocator
	withdrawn bool             // the allocator has been notified
	excused   bool             // no answer is due any more
	answered  bool             // the answer has reached the client
	gang      bool
	verdict   pb.Verdict // sent by the allocator
	binds     []*bind
	frames    []frame
}

// bind is an offer that an allocator sent.
type bind struct {
	key      observer.BindKey
	node     uint32
	sentAt   placement.Millis
	timeout  placement.Millis
	closed   bool // replied to, or its connection was lost
	accepted bool // by the node
	neverRan bool // known for certain
	request  *request
}

// pending reports whether a reply may still come.
func (b *bind) pending(now placement.Millis) bool {
	return !b.closed && now < b.sentAt+b.timeout-clockTolerance
}

// New returns an auditor that holds a run to these terms.
func New(t scenario.Terms) *Auditor {
	return &Auditor{
		terms: t, allocators: map[string]*allocatorState{}, peers: map[*observer.Process]map[transport.ConnID]*peer{},
		requests: map[requestRef]*request{}, nodes: map[uint32]*nodeState{}, starts: map[uint64][]observer.BindKey{},
		atMostOnce: map[uint64][]*bind{}, gangs: newGangAuditor(),
	}
}

// Check audits a history that has ended.
func Check(h *observer.History) *Auditor {
	a := New(h.Terms())
	h.Replay(a)
	a.Finish(h.Ended())
	return a
}

// Process implements observer.Observer. A killed allocator loses what it knew, and owes no answers.
func (a *Auditor) Process(now placement.Millis, p *observer.Process, running bool) {
	switch p.Role {
	case pb.Role_NODE:
		if !running {
			a.loseGangParts(now, uint32(p.ID))
		}
	case pb.Role_ALLOCATOR:
		a.gangs.setAllocatorRunning(now, p.Name, running)
		if running {
			return
		}
		s := a.allocator(p.Name)
		s.nodes, s.openBinds = map[uint32]*nodeView{}, map[observer.BindKey]*bind{}
		for _, r := range a.requestOrder {
			if r.allocator == p.Name && !r.answered {
				r.excused = true
			}
		}
	}
}

// Pause implements observer.Observer.
func (a *Auditor) Pause(now placement.Millis, p *observer.Process, until placement.Millis) {
	if p.Role == pb.Role_ALLOCATOR {
		s := a.allocator(p.Name)
		s.pauses = append(s.pauses, pause{now, until})
	}
}

// Connection implements observer.Observer. Binds that were pending on a connection when it closed may have run; requests that
// were pending on it get no answer.
func (a *Auditor) Connection(_ placement.Millis, p *observer.Process, c transport.ConnID, open bool) {
	if open {
		return
	}
	other := a.peers[p][c]
	delete(a.peers[p], c)
	switch {
	case other == nil:
	case p.Role == pb.Role_ALLOCATOR && other.role == pb.Role_NODE:
		s := a.allocator(p.Name)
		for _, b := range s.openBinds {
			if b.node == other.node {
				b.closed = true
			}
		}
		a.endBindsOnRemovedNode(p, s, other.node)
	case p.Role == pb.Role_CLIENT:
		for _, r := range a.requestOrder {
			if r.ref.client == p.Name && r.allocator == other.name && !r.answered {
				r.excused = true
			}
		}
	}
}

// Frame implements observer.Observer.
func (a *Auditor) Frame(now, arrived placement.Millis, p *observer.Process, c transport.ConnID, sent bool, f *pb.Frame) {
	a.Frames++
	if h := f.GetHello(); h != nil {
		if sent && p.Role == pb.Role_ALLOCATOR {
			a.allocator(p.Name).incarnation = h.Incarnation
		}
		if !sent {
			a.helloReceived(now, p, c, h)
			return
		}
	}
	seen := frame{now, p.Name, sent, f}
	switch p.Role {
	case pb.Role_CLIENT:
		a.atClient(now, p, c, seen)
	case pb.Role_ALLOCATOR:
		a.atAllocator(now, p, c, seen)
	case pb.Role_NODE:
		a.atNode(now, arrived, p, c, seen)
	}
}

// Finish reports what is still unanswered or incomplete when the run has ended, and sorts the violations.
func (a *Auditor) Finish(now placement.Millis) {
	for _, r := range a.requestOrder {
		a.checkAnswered(now, r)
	}
	a.finishGangs(now)
	slices.SortStableFunc(a.Violations, func(x, y Violation) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Rule, y.Rule))
	})
}

// report records a violation. The request may be nil; its frames are shown before the others.
func (a *Auditor) report(rule int, now placement.Millis, node uint32, r *request, message string, frames ...frame) {
	if len(a.Violations) >= maxViolations {
		a.MoreViolations++
		return
	}
	v := Violation{Rule: rule, Message: message, Node: node, At: float64(now)}
	if r != nil {
		v.Workload = r.ask.Key
		frames = append(slices.Clone(r.frames), frames...)
	}
	for _, f := range frames[max(0, len(frames)-maxShownFrames):] {
		v.Frames = append(v.Frames, f.String())
	}
	a.Violations = append(a.Violations, v)
}
