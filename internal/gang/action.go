package gang

import "grebeglade/placement"

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Attempt             ActionKind = iota // request Parts, at least MinParts of them together or none, and call AttemptResult
	RequestPart                           // request Part by itself
	StopPart                              // stop Part, wherever it is
	AnswerPlaced                          // answer the client that the gang runs
	AnswerRejected                        // answer that a retry does no harm
	AnswerUnschedulable                   // answer that a part may have run
	ConfirmParts                          // notify the nodes of the running parts that the gang runs
	ReportEnd                             // notify the client that the running gang has ended
	SetTimer                              // call TimerFired at At
	Forget                                // the gang is called no more
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
