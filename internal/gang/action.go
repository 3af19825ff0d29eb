package gang

import "grebeglade/placement"

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Attempt: request Parts, at least MinParts of them together or none, and call AttemptResult.
	Attempt ActionKind = iota
	// RequestPart: request Part by itself.
	RequestPart
	// StopPart: stop Part, wherever it is.
	StopPart
	// AnswerPlaced: answer the client that the gang runs.
	AnswerPlaced
	// AnswerRejected: answer the client that a retry does no harm.
	AnswerRejected
	// AnswerUnschedulable: answer the client that a part may have run.
	AnswerUnschedulable
	// ConfirmParts: notify the nodes of the running parts that the gang runs.
	ConfirmParts
	// ReportEnd: notify the client that the running gang has ended.
	ReportEnd
	// SetTimer: call TimerFired at At.
	SetTimer
	// Forget: make no further call for the gang.
	Forget
)

// Action is one thing that the caller is to do. Each field but Kind belongs to some kinds only, and is zero in all
// others.
type Action struct {
	Kind ActionKind
	// Part is the part of RequestPart and StopPart.
	Part int
	// Parts are the parts of Attempt, larger ones first.
	Parts []int
	// MinParts is how many of Parts an Attempt offers to nodes at least. If it cannot, it offers none.
	MinParts int
	// Timeout is the time, in ms, within which the part of RequestPart must be placed.
	Timeout placement.Millis
	// At is the time of SetTimer.
	At placement.Millis
}
