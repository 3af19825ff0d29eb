package replay

import (
	"slices"

	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// maxPrecedingCalls is how many calls before a divergence are shown.
const maxPrecedingCalls = 12

// Report is the result of the replay of one allocator's records.
type Report struct {
	Source    string      `json:"source"` // the allocator and its incarnation
	Calls     int         `json:"calls"`
	Decisions int         `json:"decisions"` // steps and maintenance that were compared
	Same      int         `json:"same"`      // decisions that are as recorded
	Differ    *Divergence `json:"differ,omitempty"`
	WhatIf    *WhatIf     `json:"what_if,omitempty"` // for a replay with other settings
}

// Identical tells whether the module made every decision as recorded.
func (r *Report) Identical() bool { return r.Differ == nil && r.Same == r.Decisions }

// Divergence is the first decision that differs from the recorded one.
type Divergence struct {
	AtMs     float64  `json:"at_ms"`
	Revision uint64   `json:"revision"`
	Call     string   `json:"call"`
	Recorded string   `json:"recorded"`
	Decided  string   `json:"decided"`
	Before   []string `json:"before"` // the last calls before it
}

// WhatIf counts how requests are decided with other settings.
type WhatIf struct {
	Asks          int `json:"asks"` // requests
	SameNode      int `json:"same_node"`
	OtherNode     int `json:"other_node"`
	NowRejected   int `json:"now_rejected"`   // bound in the trace
	NowBound      int `json:"now_bound"`      // rejected in the trace
	StillRejected int `json:"still_rejected"` // rejected both times
}

// count compares the first step of a workload with the recorded one.
func (w *WhatIf) count(recorded, decided *tracepb.Step) {
	w.Asks++
	was, is := placement.StepKind(recorded.GetKind()), placement.StepKind(decided.Kind)
	switch {
	case was == placement.Bind && is == placement.Bind && recorded.GetNode() == decided.Node:
		w.SameNode++
	case was == placement.Bind && is == placement.Bind:
		w.OtherNode++
	case was == placement.Bind && is == placement.Rejected:
		w.NowRejected++
	case was == placement.Rejected && is == placement.Bind:
		w.NowBound++
	case was == placement.Rejected && is == placement.Rejected:
		w.StillRejected++
	}
}

// reporter builds a report as calls are replayed.
type reporter struct {
	report    Report
	preceding []string // the last calls, described
}

// compare counts a decision, and keeps the first that differs.
func (p *reporter) compare(r *trace.Record, same bool, recorded, decided string) {
	p.report.Decisions++
	if same {
		p.report.Same++
		return
	}
	if p.report.Differ != nil {
		return
	}
	p.report.Differ = &Divergence{
		AtMs: r.AtMs, Revision: r.Revision, Call: Describe(r), Recorded: recorded, Decided: decided,
		Before: slices.Clone(p.preceding),
	}
}

// countCall counts a call after its outcome was compared.
func (p *reporter) countCall(r *trace.Record) {
	p.report.Calls++
	p.preceding = append(p.preceding, Describe(r))
	if len(p.preceding) > maxPrecedingCalls {
		p.preceding = p.preceding[1:]
	}
}
