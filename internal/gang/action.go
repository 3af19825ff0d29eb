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

// Action is one thing that the caller is to do.
type Action struct {
	Kind     ActionKind
	Part     int              // of RequestPart and StopPart
	Parts    []int            // of Attempt, larger ones first
	MinParts int              // of Attempt
	Timeout  placement.Millis // of RequestPart, in ms
	At       placement.Millis // of SetTimer
}
