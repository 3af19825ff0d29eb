package replay

import (
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"grebeglade/internal/allocator"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// lastMost is how many records before a divergence are shown.
const lastMost = 12

// ErrNoStart means a trace whose first part is missing: the module's state at its beginning is not known.
var ErrNoStart = errors.New("the trace does not begin with the allocator's start, so the module's state is not known; " +
	"give the earlier files of the same allocator too")

// Report is what came of a run.
type Report struct {
	Source    string      `json:"source"`
	Calls     int         `json:"calls"`
	Decisions int         `json:"decisions"` // steps and chores that were compared
	Same      int         `json:"same"`
	Differ    *Divergence `json:"differ,omitempty"` // the first
	WhatIf    *WhatIf     `json:"what_if,omitempty"`
}

// Identical tells whether the module decided all of it again.
func (r *Report) Identical() bool { return r.Differ == nil && r.Same == r.Decisions }

// Divergence is the first step that differs.
type Divergence struct {
	AtMs     float64  `json:"at_ms"`
	Revision uint64   `json:"revision"`
	Call     string   `json:"call"`
	Recorded string   `json:"recorded"`
	Decided  string   `json:"decided"`
	Before   []string `json:"before"`
}

// WhatIf is how other settings would have decided the asks.
type WhatIf struct {
	Asks          int `json:"asks"`
	SameNode      int `json:"same_node"`
	OtherNode     int `json:"other_node"`
	NowRejected   int `json:"now_rejected"`   // bound then
	NowBound      int `json:"now_bound"`      // rejected then
	StillRejected int `json:"still_rejected"` // both times
}

// Options are what a run is made with.
type Options struct {
	// Settings replaces the settings of the trace: every step may differ then, and the run goes on.
	Settings func(placement.Settings) (placement.Settings, error)
	// Module replaces the module, for tests of the comparison.
	Module func(placement.Settings, uint64) allocator.Module
}

// run is one allocator's life as it is decided again.
type run struct {
	opts   Options
	module allocator.Module
	steps  map[uint32]placement.Step
	report Report
	last   []string
	next   uint64 // revision
}

// Run feeds the calls of records to a module and compares each step. Records of several allocators may be
// mixed; each is a run of its own. It stops at damage, and with the same settings a run stops at its first
// divergence: what comes after is the answer to another decision.
func Run(records iter.Seq2[*trace.Record, error], sources []*tracepb.Source, o Options) ([]*Report, error) {
	if o.Module == nil {
		o.Module = func(s placement.Settings, seed uint64) allocator.Module { return placement.New(s, seed) }
	}
	runs := map[uint32]*run{}
	for r, err := range records {
		if err != nil {
			return nil, err
		}
		one := runs[r.Source]
		if one == nil {
			if r.GetStart() == nil {
				return nil, ErrNoStart
			}
			one = &run{opts: o, steps: map[uint32]placement.Step{}, next: r.Revision}
			one.report.Source = sourceName(sources, r.Source)
			runs[r.Source] = one
		}
		if one.report.Differ != nil && o.Settings == nil {
			continue
		}
		if err := one.take(r); err != nil {
			return nil, fmt.Errorf("%s, revision %d: %w", one.report.Source, r.Revision, err)
		}
	}
	var reports []*Report
	for _, s := range slices.Sorted(maps.Keys(runs)) {
		reports = append(reports, &runs[s].report)
	}
	if len(reports) == 0 {
		return nil, ErrNoStart
	}
	return reports, nil
}

func sourceName(sources []*tracepb.Source, i uint32) string {
	if int(i) < len(sources) {
		return fmt.Sprintf("%s.%d", sources[i].Allocator, sources[i].Incarnation)
	}
	return fmt.Sprintf("source %d", i)
}

func (r *run) take(rec *trace.Record) error {
	now := placement.Millis(rec.AtMs)
	if g := rec.GetGap(); g != nil {
		return fmt.Errorf("%d records are missing here (%s); what follows cannot be decided again", g.Missing, g.Why)
	}
	if rec.Revision != r.next {
		return fmt.Errorf("the record before has revision %d; a file is missing between them", r.next-1)
	}
	r.next++
	if s := rec.GetStart(); s != nil {
		settings := decodeSettings(s.Settings)
		if r.opts.Settings != nil {
			var err error
			if settings, err = r.opts.Settings(settings); err != nil {
				return err
			}
			r.report.WhatIf = &WhatIf{}
		}
		r.module = r.opts.Module(settings, s.Seed)
		return nil
	}
	if !r.call(now, rec) {
		return nil
	}
	r.report.Calls++
	if r.last = append(r.last, Describe(rec)); len(r.last) > lastMost {
		r.last = r.last[1:]
	}
	return nil
}

// call makes one call and compares what came of it. It returns whether the record is a call.
func (r *run) call(now placement.Millis, rec *trace.Record) bool {
	switch b := rec.Body.(type) {
	case *tracepb.Record_Place:
		w := decodeWorkload(b.Place.Workload)
		r.step(rec, b.Place.Workload.GetId(), r.module.Schedule(now, w))
	case *tracepb.Record_Adopt:
		w := decodeWorkload(b.Adopt.Workload)
		r.step(rec, b.Adopt.Workload.GetId(), r.module.Adopt(now, w, placement.NodeID(b.Adopt.Node)))
	case *tracepb.Record_Next:
		r.advance(now, rec, b.Next)
	case *tracepb.Record_List:
		r.module.UpdateNodes(now, placement.NodeUpdateKind(b.List.Kind), decodeNodes(b.List.Nodes))
	case *tracepb.Record_Report:
		if l := decodeLoad(b.Report.Load); l != nil {
			r.module.ReportLoad(now, placement.NodeID(b.Report.Node), *l)
		}
	case *tracepb.Record_Probed:
		r.module.HealthChecked(now, placement.NodeID(b.Probed.Node), b.Probed.Answered, decodeLoad(b.Probed.Load))
	case *tracepb.Record_Note:
		r.module.ReportUsage(now, placement.WorkloadID(b.Note.Workload), placement.UsageKind(b.Note.Kind), b.Note.Value)
	case *tracepb.Record_Upkeep:
		got := encodeChores(r.module.Maintain(now))
		r.compare(rec, proto.Equal(got, rec.Chores), choresText(rec.Chores), choresText(got))
	default:
		return false
	}
	return true
}

// advance hands a result on. With other settings a workload may stand at another step than it did; what that
// step would have come to is unknown, so its bind is taken back and the workload left.
func (r *run) advance(now placement.Millis, rec *trace.Record, n *tracepb.Next) {
	s, ok := r.steps[n.Workload]
	if !ok || s.NextStep == nil {
		if r.opts.Settings == nil {
			r.compare(rec, false, stepText(rec.Step), "nothing: the workload was let go of before")
		}
		return
	}
	r.step(rec, n.Workload, s.NextStep(now, placement.Result{
		Kind: placement.ResultKind(n.Kind), Reason: placement.Reason(n.Reason), Final: n.Over, Load: decodeLoad(n.Load),
	}))
}

func (r *run) step(rec *trace.Record, id uint32, s placement.Step) {
	got := encodeStep(s)
	if r.opts.Settings != nil {
		r.whatIf(rec, id, s, got)
		return
	}
	if s.NextStep == nil {
		delete(r.steps, id)
	} else {
		r.steps[id] = s
	}
	r.compare(rec, proto.Equal(got, rec.Step), stepText(rec.Step), stepText(got))
}

// whatIf counts how a first step differs. Where the recorded workload was bound to a node, whichever it now
// is, the recorded results are taken for its own; where it was not, its bind is taken back.
func (r *run) whatIf(rec *trace.Record, id uint32, s placement.Step, got *tracepb.Step) {
	was, is := placement.StepKind(rec.Step.GetKind()), s.Kind
	r.report.Decisions++
	if was == is && rec.Step.GetNode() == got.Node {
		r.report.Same++
	}
	if rec.GetPlace() != nil {
		w := r.report.WhatIf
		w.Asks++
		switch {
		case was == placement.Bind && is == placement.Bind && rec.Step.Node == got.Node:
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
	delete(r.steps, id)
	switch {
	case s.NextStep == nil:
	case was == is:
		r.steps[id] = s
	case s.Kind == placement.Bind || s.Kind == placement.AwaitEnd:
		s.NextStep(placement.Millis(rec.AtMs), placement.Result{Kind: placement.NotAttempted, Final: true})
	}
}

func (r *run) compare(rec *trace.Record, same bool, recorded, decided string) {
	r.report.Decisions++
	if same {
		r.report.Same++
		return
	}
	if r.report.Differ == nil {
		r.report.Differ = &Divergence{
			AtMs: rec.AtMs, Revision: rec.Revision, Call: Describe(rec), Recorded: recorded, Decided: decided,
			Before: slices.Clone(r.last),
		}
	}
}

var (
	stepWords   = []string{"bind", "wait", "resident", "rejected", "unschedulable", "done"}
	resultWords = []string{
		"confirmed", "declined", "unreachable", "not sent", "unclear", "timed out", "ended", "withdrawn", "due",
	}
	verdictWords = []string{"", "placed", "rejected", "unschedulable"}
	listWords    = []string{"changes", "whole", "cached", "failed"}
	reasonWords  = []string{"", "no cores", "no memory", "too many waiting", "not here", "evicted", "pushed out", "sent away"}
	noteWords    = []string{"running", "cores used", "memory used", "served share", "memory filled"}
)

func word(words []string, i uint32) string {
	if int(i) < len(words) {
		return words[i]
	}
	return fmt.Sprintf("kind %d", i)
}

func stepText(s *tracepb.Step) string {
	switch {
	case s == nil:
		return "nothing"
	case placement.StepKind(s.Kind) == placement.Bind:
		return fmt.Sprintf("bind to node %d for %.3f ms", s.Node, s.Timeout)
	case placement.StepKind(s.Kind) == placement.Wait:
		return fmt.Sprintf("wait until %.3f ms", s.Until)
	}
	return word(stepWords, s.Kind)
}

func choresText(c *tracepb.Chores) string {
	return fmt.Sprintf("move %v, probe %v, watch %v, again at %.3f ms", c.GetMoves(), c.GetProbes(), c.GetWatch(), c.GetAgain())
}

// Describe is a record in a line.
func Describe(r *trace.Record) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d at %.3f ms: ", r.Revision, r.AtMs)
	switch x := r.Body.(type) {
	case *tracepb.Record_Start:
		fmt.Fprintf(&b, "start of %s.%d", x.Start.GetSource().GetAllocator(), x.Start.GetSource().GetIncarnation())
	case *tracepb.Record_Place:
		w := x.Place.Workload
		fmt.Fprintf(&b, "place workload %d of service %d, group %d, %g cores, %g memory, %.0f ms left", w.GetId(), w.GetService(),
			w.GetGroup(), w.GetCores(), w.GetMemory(), w.GetLeft())
	case *tracepb.Record_Adopt:
		fmt.Fprintf(&b, "adopt workload %d on node %d", x.Adopt.Workload.GetId(), x.Adopt.Node)
	case *tracepb.Record_Next:
		fmt.Fprintf(&b, "workload %d %s", x.Next.Workload, word(resultWords, x.Next.Kind))
		if x.Next.Reason > 0 {
			fmt.Fprintf(&b, " (%s)", word(reasonWords, x.Next.Reason))
		}
	case *tracepb.Record_List:
		fmt.Fprintf(&b, "list, %s, %d nodes", word(listWords, x.List.Kind), len(x.List.Nodes))
	case *tracepb.Record_Report:
		fmt.Fprintf(&b, "report of node %d: %g cores spare", x.Report.Node, x.Report.Load.GetSpareCores())
	case *tracepb.Record_Probed:
		fmt.Fprintf(&b, "probe of node %d answered %v", x.Probed.Node, x.Probed.Answered)
	case *tracepb.Record_Note:
		fmt.Fprintf(&b, "note on workload %d: %s %g", x.Note.Workload, word(noteWords, x.Note.Kind), x.Note.Value)
	case *tracepb.Record_Upkeep:
		b.WriteString("chores")
	case *tracepb.Record_Asked:
		fmt.Fprintf(&b, "workload %d is ask %d of %s, key %d", x.Asked.Workload, x.Asked.Ask, x.Asked.Owner, x.Asked.Key)
	case *tracepb.Record_Answered:
		fmt.Fprintf(&b, "answer to workload %d: %s %s", x.Answered.Workload, word(verdictWords, x.Answered.Verdict), x.Answered.Text)
	case *tracepb.Record_Refused:
		fmt.Fprintf(&b, "node %d refuses workload %d: %s", x.Refused.Node, x.Refused.Workload, x.Refused.Text)
	case *tracepb.Record_Heard:
		fmt.Fprintf(&b, "list epoch %d, revision %d", x.Heard.Epoch, x.Heard.Revision)
	case *tracepb.Record_GangAsked:
		fmt.Fprintf(&b, "gang of %d parts, %d needed, is ask %d of %s", x.GangAsked.Parts, x.GangAsked.Need, x.GangAsked.Ask, x.GangAsked.Owner)
	case *tracepb.Record_GangState:
		fmt.Fprintf(&b, "gang %d of %s is %s, workloads %v", x.GangState.Ask, x.GangState.Owner, x.GangState.State, x.GangState.Workloads)
	case *tracepb.Record_Gap:
		fmt.Fprintf(&b, "GAP: %d records missing (%s)", x.Gap.Missing, x.Gap.Why)
	}
	if r.Step != nil {
		b.WriteString(" -> " + stepText(r.Step))
	}
	if r.Chores != nil {
		b.WriteString(" -> " + choresText(r.Chores))
	}
	return b.String()
}
