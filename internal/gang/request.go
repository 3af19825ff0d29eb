package gang

import "grebeglade/placement"

// Request is a client's request for a gang.
type Request struct {
	Parts          []Part
	MinParts       int              // parts that must run, at least
	PendingTimeout placement.Millis // time until the client gives up, in ms
	OnLoss         LossPolicy
	ReplaceTimeout placement.Millis // of ReplaceOnLoss, in ms
}

// Part is what a decision needs to know of a part.
type Part struct {
	Idempotency placement.Idempotency
	Size        float64 // share of a node; larger parts are requested first
}

// LossPolicy is what becomes of a running gang that loses a part.
type LossPolicy uint8

// The policies.
const (
	StopOnLoss    LossPolicy = iota // all of it is stopped
	ReplaceOnLoss                   // the part is placed anew, within a time; if that fails, all of it is stopped
)
