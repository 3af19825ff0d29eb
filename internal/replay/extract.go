package replay

import (
	"errors"
	"fmt"
	"go/format"
	"io"
	"iter"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Extract is the shortest list of calls found from which a module makes the same decision again.
type Extract struct {
	Source   string
	Start    *tracepb.Start
	Calls    []*trace.Record // the last one is the workload's ask
	All      int             // calls before it in the trace
	Decision *tracepb.Step
}

// ExtractDecision looks for the calls that a workload's first step rests on. It leaves out calls by halves, then
// smaller parts, as long as the module still decides the same with what remains.
func ExtractDecision(records iter.Seq2[*trace.Record, error], sources []*tracepb.Source, id uint32) (*Extract, error) {
	x := &Extract{}
	var calls []*trace.Record
	lives := map[uint32][]*trace.Record{}
	starts := map[uint32]*tracepb.Start{}
	for r, err := range records {
		if err != nil {
			return nil, err
		}
		if s := r.GetStart(); s != nil {
			starts[r.Source] = s
		}
		if starts[r.Source] == nil {
			return nil, ErrNoStart
		}
		switch r.Body.(type) {
		case *tracepb.Record_Start, *tracepb.Record_Asked, *tracepb.Record_Answered, *tracepb.Record_Refused,
			*tracepb.Record_Heard, *tracepb.Record_Gap, *tracepb.Record_GangAsked, *tracepb.Record_GangState:
			continue
		}
		lives[r.Source] = append(lives[r.Source], r)
		if p := r.GetPlace(); p != nil && p.GetWorkload().GetId() == id {
			x.Start, x.Decision, x.Source = starts[r.Source], r.Step, sourceName(sources, r.Source)
			calls = lives[r.Source]
			break
		}
	}
	if x.Start == nil {
		return nil, fmt.Errorf("the trace has no ask of workload %d", id)
	}
	x.All = len(calls) - 1
	last := calls[len(calls)-1]
	holds := func(before []*trace.Record) bool { return proto.Equal(x.decide(before, last), x.Decision) }
	before := calls[:len(calls)-1]
	if !holds(before) {
		return nil, errors.New("this program's module decides otherwise on the same calls; see 'grebeglade trace replay'")
	}
	x.Calls = append(shrink(before, holds), last)
	return x, nil
}

// shrink leaves out what is not needed: at first large parts, then smaller ones, then single calls.
func shrink(calls []*trace.Record, holds func([]*trace.Record) bool) []*trace.Record {
	for size := max(1, len(calls)/2); ; size = max(1, size/2) {
		for at := 0; at < len(calls); {
			without := slices.Concat(calls[:at], calls[min(at+size, len(calls)):])
			if holds(without) {
				calls = without
			} else {
				at += size
			}
		}
		if size == 1 {
			return calls
		}
	}
}

// decide runs a module on some calls and returns its first step for the last one.
func (x *Extract) decide(before []*trace.Record, last *trace.Record) *tracepb.Step {
	r := &run{
		module: placement.New(decodeSettings(x.Start.Settings), x.Start.Seed), steps: map[uint32]placement.Step{},
	}
	for _, rec := range before {
		r.replayed(rec)
	}
	return encodeStep(r.module.Schedule(placement.Millis(last.AtMs), decodeWorkload(last.GetPlace().Workload)))
}

// replayed makes a call without comparing; a result for a workload whose ask was left out is left out too.
func (r *run) replayed(rec *trace.Record) {
	if n := rec.GetNext(); n != nil {
		if s, ok := r.steps[n.Workload]; !ok || s.NextStep == nil {
			return
		}
	}
	r.call(placement.Millis(rec.AtMs), rec)
}

// Print writes the calls as a test in Go that makes the decision again.
func (x *Extract) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "// %d of %d calls of %s before the decision on one ask.\n", len(x.Calls)-1, x.All, x.Source)
	fmt.Fprintf(&b, "func TestExtracted(t *testing.T) {\n")
	fmt.Fprintf(&b, "\ta := placement.New(%#v, %d)\n", decodeSettings(x.Start.Settings), x.Start.Seed)
	if slices.ContainsFunc(x.Calls[:len(x.Calls)-1], func(r *trace.Record) bool { _, of := workloadOf(r); return of }) {
		b.WriteString("\tsteps := map[placement.WorkloadID]placement.Step{}\n")
	}
	for i, rec := range x.Calls {
		line := goCall(rec)
		if i == len(x.Calls)-1 {
			line = strings.Replace(line, fmt.Sprintf("steps[%d] =", rec.GetPlace().GetWorkload().GetId()), "s :=", 1)
		}
		fmt.Fprintf(&b, "\t%s\n", line)
	}
	fmt.Fprintf(&b, "\tassert.Equal(t, placement.StepKind(%d), s.Kind) // %s\n", x.Decision.Kind, stepText(x.Decision))
	fmt.Fprintf(&b, "\tassert.Equal(t, placement.NodeID(%d), s.Node)\n}\n", x.Decision.Node)
	text := strings.NewReplacer(
		"StartedAt:-Inf", "StartedAt:placement.DistantPast", "-Inf", "math.Inf(-1)", "+Inf", "math.Inf(1)", "NaN", "math.NaN()",
		"}, placement.Node{", "},\nplacement.Node{", "}, placement.Group{", "},\nplacement.Group{",
	).Replace(b.String())
	formatted, err := format.Source([]byte(text))
	if err != nil {
		return fmt.Errorf("the calls cannot be written as Go: %w", err)
	}
	_, err = w.Write(formatted)
	return err
}

// goCall is a call in Go.
func goCall(r *trace.Record) string {
	at := fmt.Sprint(r.AtMs)
	switch b := r.Body.(type) {
	case *tracepb.Record_Place:
		w := decodeWorkload(b.Place.Workload)
		return fmt.Sprintf("steps[%d] = a.Schedule(%s, %#v)", w.ID, at, w)
	case *tracepb.Record_Adopt:
		w := decodeWorkload(b.Adopt.Workload)
		return fmt.Sprintf("steps[%d] = a.Adopt(%s, %#v, %d)", w.ID, at, w, b.Adopt.Node)
	case *tracepb.Record_Next:
		result := placement.Result{Kind: placement.ResultKind(b.Next.Kind), Reason: placement.Reason(b.Next.Reason), Final: b.Next.Over}
		text := fmt.Sprintf("placement.Result{Kind: %d, Reason: %d, Final: %v}", result.Kind, result.Reason, result.Final)
		if l := decodeLoad(b.Next.Load); l != nil {
			text = strings.TrimSuffix(text, "}") + fmt.Sprintf(", Load: &%#v}", *l)
		}
		return fmt.Sprintf("steps[%d] = steps[%d].NextStep(%s, %s)", b.Next.Workload, b.Next.Workload, at, text)
	case *tracepb.Record_List:
		return fmt.Sprintf("a.UpdateNodes(%s, %d, %#v)", at, b.List.Kind, decodeNodes(b.List.Nodes))
	case *tracepb.Record_Report:
		return fmt.Sprintf("a.ReportLoad(%s, %d, %#v)", at, b.Report.Node, *decodeLoad(b.Report.Load))
	case *tracepb.Record_Probed:
		l := "nil"
		if got := decodeLoad(b.Probed.Load); got != nil {
			l = fmt.Sprintf("&%#v", *got)
		}
		return fmt.Sprintf("a.HealthChecked(%s, %d, %v, %s)", at, b.Probed.Node, b.Probed.Answered, l)
	case *tracepb.Record_Note:
		return fmt.Sprintf("a.ReportUsage(%s, %d, %d, %v)", at, b.Note.Workload, b.Note.Kind, b.Note.Value)
	case *tracepb.Record_Upkeep:
		return fmt.Sprintf("a.Maintain(%s)", at)
	}
	return ""
}
