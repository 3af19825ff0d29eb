package replay

import (
	"fmt"
	"go/format"
	"io"
	"slices"
	"strings"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// goLiterals turns the text of values as fmt prints them into Go expressions, with a node or group a line.
var goLiterals = strings.NewReplacer(
	"StartedAt:-Inf", "StartedAt:placement.DistantPast",
	"-Inf", "math.Inf(-1)",
	"+Inf", "math.Inf(1)",
	"NaN", "math.NaN()",
	"}, placement.Node{", "},\nplacement.Node{",
	"}, placement.Group{", "},\nplacement.Group{",
)

// Print writes the reproduction as a Go test function. It needs the packages testing, assert and placement, and math if a
// value is not finite.
func (x *Reproduction) Print(w io.Writer) error {
	formatted, err := format.Source([]byte(goLiterals.Replace(x.goTest())))
	if err != nil {
		return fmt.Errorf("the calls cannot be written as Go: %w", err)
	}
	_, err = w.Write(formatted)
	return err
}

func (x *Reproduction) goTest() string {
	preceding, request := x.Calls[:len(x.Calls)-1], x.Calls[len(x.Calls)-1]
	var b strings.Builder
	fmt.Fprintf(&b, "// %d of %d calls of %s before the decision on one request.\n", len(preceding), x.Preceding, x.Source)
	fmt.Fprintf(&b, "func TestExtracted(t *testing.T) {\n")
	fmt.Fprintf(&b, "a := placement.New(%#v, %d)\n", decodeSettings(x.Start.Settings), x.Start.Seed)
	if slices.ContainsFunc(preceding, returnsStep) {
		fmt.Fprintf(&b, "steps := map[placement.WorkloadID]placement.Step{}\n")
	}
	for _, r := range preceding {
		fmt.Fprintln(&b, goStatement(r))
	}
	fmt.Fprintf(&b, "s := %s\n", goCall(request))
	fmt.Fprintf(&b, "assert.Equal(t, placement.StepKind(%d), s.Kind) // %s\n", x.Decision.Kind, stepText(x.Decision))
	fmt.Fprintf(&b, "assert.Equal(t, placement.NodeID(%d), s.Node)\n}\n", x.Decision.Node)
	return b.String()
}

// returnsStep tells whether a call returns the next step of its workload.
func returnsStep(r *trace.Record) bool {
	switch r.Body.(type) {
	case *tracepb.Record_Place, *tracepb.Record_Adopt, *tracepb.Record_Next:
		return true
	}
	return false
}

// goStatement returns a call as a Go statement that keeps the step that it returns.
func goStatement(r *trace.Record) string {
	if !returnsStep(r) {
		return goCall(r)
	}
	workload, _ := workloadOf(r)
	return fmt.Sprintf("steps[%d] = %s", workload, goCall(r))
}

// goCall returns a call as a Go expression.
func goCall(r *trace.Record) string {
	now := fmt.Sprint(r.AtMs)
	switch b := r.Body.(type) {
	case *tracepb.Record_Place:
		return fmt.Sprintf("a.Schedule(%s, %#v)", now, decodeWorkload(b.Place.Workload))
	case *tracepb.Record_Adopt:
		return fmt.Sprintf("a.Adopt(%s, %#v, %d)", now, decodeWorkload(b.Adopt.Workload), b.Adopt.Node)
	case *tracepb.Record_Next:
		return fmt.Sprintf("steps[%d].NextStep(%s, %s)", b.Next.Workload, now, goResult(b.Next))
	case *tracepb.Record_List:
		return fmt.Sprintf("a.UpdateNodes(%s, %d, %#v)", now, b.List.Kind, decodeNodes(b.List.Nodes))
	case *tracepb.Record_Report:
		return fmt.Sprintf("a.ReportLoad(%s, %d, %#v)", now, b.Report.Node, *decodeLoad(b.Report.Load))
	case *tracepb.Record_Probed:
		return fmt.Sprintf("a.HealthChecked(%s, %d, %v, %s)", now, b.Probed.Node, b.Probed.Answered, goLoad(b.Probed.Load))
	case *tracepb.Record_Note:
		return fmt.Sprintf("a.ReportUsage(%s, %d, %d, %v)", now, b.Note.Workload, b.Note.Kind, b.Note.Value)
	case *tracepb.Record_Upkeep:
		return fmt.Sprintf("a.Maintain(%s)", now)
	}
	return ""
}

func goResult(n *tracepb.Next) string {
	result := decodeResult(n)
	fields := fmt.Sprintf("Kind: %d, Reason: %d, Final: %v", result.Kind, result.Reason, result.Final)
	if result.Load != nil {
		fields += ", Load: " + goLoad(n.Load)
	}
	return fmt.Sprintf("placement.Result{%s}", fields)
}

// goLoad returns a pointer to a load report as a Go expression.
func goLoad(l *tracepb.Load) string {
	if l == nil {
		return "nil"
	}
	return fmt.Sprintf("&%#v", *decodeLoad(l))
}
