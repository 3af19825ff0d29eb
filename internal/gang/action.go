package gang

import "grebeglade/placement"

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Attempt: place Parts, at least MinParts of them or none, and pass the offered ones to AttemptResult.
	Attempt ActionKind = iota
	// RequestPart: place Part on its own.
	RequestPart
	// StopPart: stop Part, whether it is being placed, offered or running.
	StopPart
	// AnswerPlaced: answer the client that the gang runs.
	AnswerPlaced
	// AnswerRejected: answer the client that a retry is safe.
	AnswerRejected
	// AnswerUnschedulable: answer the client that a part may have run.
	AnswerUnschedulable
	// ConfirmParts: notify the nodes of the running parts that the gang runs.
	ConfirmParts
	// ReportEnd: notify the client that the running gang has ended.
	ReportEnd
	// SetTimer: call TimerFired at the time At.
	SetTimer
	// Forget: make no further call for the gang.
	Forget
)

// Action is one operation for the caller to execute. Fields that do not apply to its Kind are zero.
type Action struct {
	Kind ActionKind
	// Part is the index of the part. Set for RequestPart and StopPart.
	Part int
	// Parts are the indexes of the parts to place, larger parts first. Set for Attempt.
	Parts []int
	// MinParts is the least number of Parts to offer to nodes; if fewer fit, none is offered. Set for Attempt.
	MinParts int
	// Timeout is the time within which Part must be placed, in ms. Set for RequestPart.
	Timeout placement.Millis
	// At is the time at which the timer fires. Set for SetTimer.
	At placement.Millis
}
