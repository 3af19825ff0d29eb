package gang

import "grebeglade/placement"

// Request is a client's request for a gang.
type Request struct {
	Parts          []Part
	MinParts       int              // least number of parts that must run
	PendingTimeout placement.Millis // time for which the client waits for its answer, in ms
	OnLoss         LossPolicy
	ReplaceTimeout placement.Millis // time within which a replacement must be placed, in ms; used by ReplaceOnLoss
}

// Part describes one part of a gang.
type Part struct {
	Idempotency placement.Idempotency
	Size        float64 // size as a share of a node; larger parts are requested first
}

// LossPolicy selects how a running gang handles the loss of a part that leaves fewer than MinParts.
type LossPolicy uint8

// The loss policies.
const (
	StopOnLoss    LossPolicy = iota // the whole gang is stopped
	ReplaceOnLoss                   // the part is replaced within ReplaceTimeout, or else the whole gang is stopped
)
