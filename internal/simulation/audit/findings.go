package audit

import (
	"slices"

	"grebeglade/placement"
)

// Numbers of the rules in reported violations.
const (
	ruleAnswer      = 1 // every request gets one answer in time
	ruleIdempotency = 2 // a workload never runs more often than its idempotency allows
	ruleDrain       = 3 // nothing is offered to a node that is draining or removed
	ruleWarmUp      = 4 // nodes that are warming up are not overloaded
	ruleSpread      = 5 // the workloads of a service stay spread
	ruleGang        = 6 // gangs start together or not at all
)

const (
	maxViolations  = 100 // violations kept; more are only counted
	maxShownFrames = 24  // latest frames kept for each violation
)

// Violation is one violation of a rule, with the frames that are evidence of it.
type Violation struct {
	Rule     int      `json:"rule"`
	Message  string   `json:"what"`
	Workload uint64   `json:"workload,omitempty"` // workload key
	Node     uint32   `json:"node,omitempty"`
	At       float64  `json:"at_ms"`
	Frames   []string `json:"frames"`
}

// LimitUse is the highest use of each limit of the rules in a run; 1 is the limit.
type LimitUse struct {
	Answer float64 `json:"answer_time"`  // time until an answer, as a share of the pending timeout and slack
	Drain  float64 `json:"drain_grace"`  // time from the drain to the last offer, as a share of the grace
	Cold   float64 `json:"cold_budget"`  // offers to a warming-up node, as a share of its bind limit
	Spread float64 `json:"spread_limit"` // workloads of a service in one scope, as a share of the allowed number
}

// RaiseTo sets each value to the maximum of its own value and that of other.
func (u *LimitUse) RaiseTo(other LimitUse) {
	u.Answer = max(u.Answer, other.Answer)
	u.Drain = max(u.Drain, other.Drain)
	u.Cold = max(u.Cold, other.Cold)
	u.Spread = max(u.Spread, other.Spread)
}

// Findings are the results of an audit.
type Findings struct {
	Violations     []Violation
	MoreViolations int // number of violations that were not kept
	Frames         int // frames observed; each counts when sent and when received
	LimitUse       LimitUse
}

// report records a violation. The node is 0 if the violation concerns none. The request may be nil; its frames precede
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

// reportBind records a violation by an offer, at the time at which the offer was sent.
func (f *Findings) reportBind(rule int, b *bind, message string, frames ...frame) {
	f.report(rule, b.sentAt, b.node, b.request, message, frames...)
}
