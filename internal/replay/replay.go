// Package replay records the calls of an allocator's placement module, and makes recorded calls again.
//
// A Recorder is the module with every call and its outcome written to a trace. Run and RunFiles make the calls of a
// trace on a module again and compare every decision. A Reproduction is the few calls that one decision rests on. Times
// are milliseconds. Recorders and runs are for use by one goroutine each.
package replay

import (
	"grebeglade/internal/allocator"
	"grebeglade/placement"
)

// Options are what a run is made with. The zero value makes the calls on this program's module.
type Options struct {
	// Settings replaces the settings of the trace, nil for none. Every decision may differ then, and the run continues.
	Settings func(recorded placement.Settings) (placement.Settings, error)
	// Module replaces the module, for tests of the comparison; nil for none.
	Module func(s placement.Settings, seed uint64) allocator.Module
}

// Report is the outcome of a run for one incarnation of an allocator.
type Report struct {
	Source    string      `json:"source"`
	Calls     int         `json:"calls"`
	Decisions int         `json:"decisions"` // steps and maintenance that were compared
	Same      int         `json:"same"`
	Differ    *Divergence `json:"differ,omitempty"` // the first
	WhatIf    *WhatIf     `json:"what_if,omitempty"`
}

// Identical reports whether the module decided everything as recorded.
func (r *Report) Identical() bool { return r.Differ == nil && r.Same == r.Decisions }

// Divergence is the first decision that differs.
type Divergence struct {
	AtMs     float64  `json:"at_ms"`
	Revision uint64   `json:"revision"`
	Call     string   `json:"call"`
	Recorded string   `json:"recorded"`
	Decided  string   `json:"decided"`
	Before   []string `json:"before"` // the last calls before it
}

// WhatIf counts how other settings would have decided the requests.
type WhatIf struct {
	Requests      int `json:"asks"`
	SameNode      int `json:"same_node"`
	OtherNode     int `json:"other_node"`
	NowRejected   int `json:"now_rejected"`   // recorded as bound
	NowBound      int `json:"now_bound"`      // recorded as rejected
	StillRejected int `json:"still_rejected"` // both times
}
