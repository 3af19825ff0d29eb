package replay

import (
	"fmt"
	"go/format"
	"io"
	"slices"
	"strings"

	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// goLiterals replaces what %#v prints by expressions, and breaks long lists of nodes and groups into lines.
var goLiterals = strings.NewReplacer(
	"StartedAt:-Inf", "StartedAt:placement.DistantPast", "-Inf", "math.Inf(-1)", "+Inf", "math.Inf(1)", "NaN", "math.NaN()",
	"}, placement.Node{", "},\nplacement.Node{", "}, placement.Group{", "},\nplacement.Group{",
)

// Print writes the calls as a test in Go that makes the decision again.
func (r *Reproduction) Print(w io.Writer) error {
	source, err := format.Source([]byte(goLiterals.Replace(r.goTest())))
	if err != nil {
		return fmt.Errorf("the calls cannot be written as Go: %w", err)
	}
	_, err = w.Write(source)
	return err
}

// goTest returns the test before formatting.
func (r *Reproduction) goTest() string {
	before, last := r.Calls[:len(r.Calls)-1], r.Calls[len(r.Calls)-1]
	lines := []string{
		fmt.Sprintf("// %d of %d calls of %s before the decision on one request.", len(before), r.CallsBefore, r.Source),
		"func TestExtracted(t *testing.T) {",
		fmt.Sprintf("a := placement.New(%#v, %d)", decodeSettings(r.Start.Settings), r.Start.Seed),
	}
	if slices.ContainsFunc(before, concernsWorkload) {
		lines = append(lines, "steps := map[placement.WorkloadID]placement.Step{}")
	}
	for _, rec := range before {
		lines = append(lines, goCall(rec))
	}
	lines = append(lines,
		"s := "+goSchedule(last, last.GetSchedule()),
		fmt.Sprintf("assert.Equal(t, placement.StepKind(%d), s.Kind) // %s", r.Decision.Kind, describeStep(r.Decision)),
		fmt.Sprintf("assert.Equal(t, placement.NodeID(%d), s.Node)", r.Decision.Node),
		"}", "",
	)
	return strings.Join(lines, "\n")
}

func concernsWorkload(r *trace.Record) bool {
	_, ok := workloadID(r)
	return ok
}

// goCall returns a call as a statement; steps are in a map by workload.
func goCall(r *trace.Record) string {
	at := r.AtMs
	switch b := r.Body.(type) {
	case *tracepb.Record_Schedule:
		return fmt.Sprintf("steps[%d] = %s", b.Schedule.GetWorkload().GetId(), goSchedule(r, b.Schedule))
	case *tracepb.Record_Adopt:
		w := decodeWorkload(b.Adopt.Workload)
		return fmt.Sprintf("steps[%d] = a.Adopt(%v, %#v, %d)", w.ID, at, w, b.Adopt.Node)
	case *tracepb.Record_StepResult:
		id := b.StepResult.Workload
		return fmt.Sprintf("steps[%d] = steps[%d].NextStep(%v, %s)", id, id, at, goResult(decodeResult(b.StepResult)))
	case *tracepb.Record_NodesUpdated:
		return fmt.Sprintf("a.UpdateNodes(%v, %d, %#v)", at, b.NodesUpdated.Kind, decodeNodes(b.NodesUpdated.Nodes))
	case *tracepb.Record_Report:
		return fmt.Sprintf("a.ReportLoad(%v, %d, %#v)", at, b.Report.Node, *decodeLoad(b.Report.Load))
	case *tracepb.Record_HealthChecked:
		return fmt.Sprintf("a.HealthChecked(%v, %d, %v, %s)", at, b.HealthChecked.Node, b.HealthChecked.Answered, goLoad(decodeLoad(b.HealthChecked.Load)))
	case *tracepb.Record_UsageReport:
		return fmt.Sprintf("a.ReportUsage(%v, %d, %d, %v)", at, b.UsageReport.Workload, b.UsageReport.Kind, b.UsageReport.Value)
	case *tracepb.Record_Maintain:
		return fmt.Sprintf("a.Maintain(%v)", at)
	}
	return ""
}

func goSchedule(r *trace.Record, p *tracepb.Schedule) string {
	return fmt.Sprintf("a.Schedule(%v, %#v)", r.AtMs, decodeWorkload(p.Workload))
}

func goResult(r placement.Result) string {
	fields := fmt.Sprintf("Kind: %d, Reason: %d, Final: %v", r.Kind, r.Reason, r.Final)
	if r.Load != nil {
		fields += ", Load: " + goLoad(r.Load)
	}
	return "placement.Result{" + fields + "}"
}

func goLoad(l *placement.LoadReport) string {
	if l == nil {
		return "nil"
	}
	return fmt.Sprintf("&%#v", *l)
}
