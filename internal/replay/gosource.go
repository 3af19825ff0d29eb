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

// goLiterals replaces values that %#v does not print as valid Go, and breaks lists of nodes and groups into lines.
var goLiterals = strings.NewReplacer(
	"StartedAt:-Inf", "StartedAt:placement.DistantPast",
	"-Inf", "math.Inf(-1)",
	"+Inf", "math.Inf(1)",
	"NaN", "math.NaN()",
	"}, placement.Node{", "},\nplacement.Node{",
	"}, placement.Group{", "},\nplacement.Group{",
)

// Print writes the calls as a Go test that checks the decision.
func (r *Reproduction) Print(output io.Writer) error {
	source, err := format.Source([]byte(goLiterals.Replace(r.goTest())))
	if err != nil {
		return fmt.Errorf("the calls cannot be written as Go: %w", err)
	}
	if _, err := output.Write(source); err != nil {
		return fmt.Errorf("write the test: %w", err)
	}
	return nil
}

// goTest returns the unformatted source of the test.
func (r *Reproduction) goTest() string {
	before, last := splitLast(r.Calls)
	lines := []string{
		fmt.Sprintf("// %d of %d calls of %s before the decision on one request.",
			len(before), r.CallsBefore, r.Source),
		"func TestExtracted(t *testing.T) {",
		fmt.Sprintf("a := placement.New(%#v, %d)", decodeSettings(r.Start.Settings), r.Start.Seed),
	}
	if slices.ContainsFunc(before, concernsWorkload) {
		lines = append(lines, "steps := map[placement.WorkloadID]placement.Step{}")
	}
	for _, call := range before {
		lines = append(lines, goCall(call))
	}
	lines = append(lines,
		"s := "+goSchedule(last, last.GetSchedule()),
		fmt.Sprintf("assert.Equal(t, placement.StepKind(%d), s.Kind) // %s", r.Decision.Kind, describeStep(r.Decision)),
		fmt.Sprintf("assert.Equal(t, placement.NodeID(%d), s.Node)", r.Decision.Node),
		"}", "",
	)
	return strings.Join(lines, "\n")
}

// concernsWorkload reports whether a call returns a workload's step or is a usage report on a workload.
func concernsWorkload(r *trace.Record) bool {
	_, ok := workloadID(r)
	return ok
}

// goCall returns a call as a Go statement, which stores a returned step in the map steps by workload.
func goCall(r *trace.Record) string {
	at := r.AtMs
	switch body := r.Body.(type) {
	case *tracepb.Record_Schedule:
		return fmt.Sprintf("steps[%d] = %s", body.Schedule.GetWorkload().GetId(), goSchedule(r, body.Schedule))
	case *tracepb.Record_Adopt:
		workload := decodeWorkload(body.Adopt.Workload)
		return fmt.Sprintf("steps[%d] = a.Adopt(%v, %#v, %d)", workload.ID, at, workload, body.Adopt.Node)
	case *tracepb.Record_StepResult:
		id := body.StepResult.Workload
		result := goResult(decodeResult(body.StepResult))
		return fmt.Sprintf("steps[%d] = steps[%d].NextStep(%v, %s)", id, id, at, result)
	case *tracepb.Record_NodesUpdated:
		nodes := decodeNodes(body.NodesUpdated.Nodes)
		return fmt.Sprintf("a.UpdateNodes(%v, %d, %#v)", at, body.NodesUpdated.Kind, nodes)
	case *tracepb.Record_Report:
		return fmt.Sprintf("a.ReportLoad(%v, %d, %#v)", at, body.Report.Node, *decodeLoad(body.Report.Load))
	case *tracepb.Record_HealthChecked:
		check := body.HealthChecked
		load := goLoad(decodeLoad(check.Load))
		return fmt.Sprintf("a.HealthChecked(%v, %d, %v, %s)", at, check.Node, check.Answered, load)
	case *tracepb.Record_UsageReport:
		usage := body.UsageReport
		return fmt.Sprintf("a.ReportUsage(%v, %d, %d, %v)", at, usage.Workload, usage.Kind, usage.Value)
	case *tracepb.Record_Maintain:
		return fmt.Sprintf("a.Maintain(%v)", at)
	}
	return ""
}

func goSchedule(r *trace.Record, schedule *tracepb.Schedule) string {
	return fmt.Sprintf("a.Schedule(%v, %#v)", r.AtMs, decodeWorkload(schedule.Workload))
}

func goResult(result placement.Result) string {
	fields := fmt.Sprintf("Kind: %d, Reason: %d, Final: %v", result.Kind, result.Reason, result.Final)
	if result.Load != nil {
		fields += ", Load: " + goLoad(result.Load)
	}
	return "placement.Result{" + fields + "}"
}

func goLoad(load *placement.LoadReport) string {
	if load == nil {
		return "nil"
	}
	return fmt.Sprintf("&%#v", *load)
}
