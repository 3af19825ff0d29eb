package gang

import "grebeglade/placement"

// State is how far a gang is.
type State uint8

// The states of a gang.
const (
	Pending     State = iota // to be started, or started again
	Starting                 // its parts are requested
	Running                  // enough of its parts run, and the client has its answer
	RollingBack              // its parts are being stopped
	Ended                    // none of its parts is left
)

// String returns the state's name in traces and for operators. The names are older than the constants' and stay, since
// stored traces hold them.
func (s State) String() string {
	return [...]string{"pending", "starting", "standing", "undoing", "given up"}[s]
}

// PartState is how far a part is.
type PartState uint8

// The states of a part.
const (
	PartIdle      PartState = iota // never offered, or known never to have run
	PartRequested                  // to be placed, or on its way to a node
	PartRunning
	PartFinished // it completed by itself
	PartStopping // being stopped; its end is not confirmed yet
	PartLost     // it ended before its time, or may have run and is out of reach
)

// LossPolicy is what becomes of a running gang that loses a part.
type LossPolicy uint8

// The policies.
const (
	StopOnLoss    LossPolicy = iota // all of it is stopped
	ReplaceOnLoss                   // the part is placed anew, within a time; if that fails, all of it is stopped
)

// Part is what a decision needs to know of a part.
type Part struct {
	Idempotency placement.Idempotency
	Size        float64 // share of a node; larger parts are requested first
}

// Request is a client's request for a gang.
type Request struct {
	Parts          []Part
	MinParts       int              // parts that must run, at least
	PendingTimeout placement.Millis // time until the client gives up, in ms
	OnLoss         LossPolicy
	ReplaceTimeout placement.Millis // of ReplaceOnLoss, in ms
}
