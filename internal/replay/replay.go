// Package replay records the calls to an allocator's placement module, and replays recorded calls.
//
// A Recorder wraps a module and writes every call with its result to a trace. Run and RunFiles replay the calls of a
// trace on a module and compare every decision. A Reproduction is a short list of calls that leads to one decision.
// Times are milliseconds. Each recorder and each run is for use by one goroutine.
package replay

import (
	"grebeglade/internal/allocator"
	"grebeglade/placement"
)

// Options are the options of a run. The zero value replays the calls on this program's module with the recorded
// settings.
type Options struct {
	// Settings replaces the recorded settings; nil keeps them. With replaced settings decisions are expected to differ,
	// and the run continues after a difference.
	Settings func(recorded placement.Settings) (placement.Settings, error)
	// Module creates the module, for tests of the comparison; nil for this program's module.
	Module func(s placement.Settings, seed uint64) allocator.Module
}

// Report is the outcome of a run for one incarnation of an allocator.
type Report struct {
	Source    string `json:"source"`
	Calls     int    `json:"calls"`
	Decisions int    `json:"decisions"` // number of steps and maintenance results compared
	Same      int    `json:"same"`
	// Differ is the first decision that differs, nil if there is none. With replaced settings, only maintenance is
	// considered.
	Differ *Divergence `json:"differ,omitempty"`
	WhatIf *WhatIf     `json:"what_if,omitempty"` // nil with the recorded settings
}

// Identical reports whether every decision was as recorded.
func (r *Report) Identical() bool { return r.Differ == nil && r.Same == r.Decisions }

// Divergence describes the first decision that differs from the recorded one.
type Divergence struct {
	AtMs     float64  `json:"at_ms"`
	Revision uint64   `json:"revision"`
	Call     string   `json:"call"`
	Recorded string   `json:"recorded"`
	Decided  string   `json:"decided"`
	Before   []string `json:"before"` // descriptions of the last calls before it
}

// WhatIf compares the decisions on requests under other settings with the recorded ones.
type WhatIf struct {
	Requests      int `json:"asks"`
	SameNode      int `json:"same_node"`
	OtherNode     int `json:"other_node"`
	NowRejected   int `json:"now_rejected"`   // bound in the trace
	NowBound      int `json:"now_bound"`      // rejected in the trace
	StillRejected int `json:"still_rejected"` // rejected in the trace too
}
