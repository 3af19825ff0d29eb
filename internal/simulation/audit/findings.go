package audit

import (
	"slices"

	"grebeglade/placement"
)

// The rules, by the numbers under which violations are reported.
const (
	ruleAnswer      = 1 // every request gets one answer in time
	ruleIdempotency = 2 // a workload never runs more often than its idempotency allows
	ruleDrain       = 3 // nothing is offered to a node that is draining or removed
	ruleWarmUp      = 4 // nodes that are warming up are not overloaded
	ruleSpread      = 5 // the workloads of a service stay spread
	ruleGang        = 6 // gangs start together or not at all
)

const (
	maxViolations  = 100 // that are kept
	maxShownFrames = 24  // of one violation, the latest ones
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

// RaiseTo raises each value to that of other where other's is higher.
func (u *LimitUse) RaiseTo(other LimitUse) {
	u.Answer = max(u.Answer, other.Answer)
	u.Drain = max(u.Drain, other.Drain)
	u.Cold = max(u.Cold, other.Cold)
	u.Spread = max(u.Spread, other.Spread)
}

// Findings are the results of an audit.
type Findings struct {
	Violations     []Violation
	MoreViolations int // beyond those kept
	Frames         int // seen, at both ends
	LimitUse       LimitUse
}

// report records a violation at a node, or 0 if it concerns none. The request may be nil; its frames are shown before
// the others.
func (f *Findings) report(rule int, now placement.Millis, node uint32, req *request, message string, frames ...frame) {
	if len(f.Violations) >= maxViolations {
		f.MoreViolations++
		return
	}
	violation := Violation{
		Rule:    rule,
		Message: message,
		Node:    node,
		At:      float64(now),
	}
	if req != nil {
		violation.Workload = req.spec.Key
		frames = append(slices.Clone(req.frames), frames...)
	}
	for _, shown := range frames[max(0, len(frames)-maxShownFrames):] {
		violation.Frames = append(violation.Frames, shown.String())
	}
	f.Violations = append(f.Violations, violation)
}

// reportBind records a violation by the offer of a bind, as it is sent.
func (f *Findings) reportBind(rule int, b *bind, message string, frames ...frame) {
	f.report(rule, b.sentAt, b.node, b.request, message, frames...)
}
