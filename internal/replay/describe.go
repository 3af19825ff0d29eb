package replay

import (
	"fmt"

	"grebeglade/internal/allocator"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// The texts in this file are part of the output of "grebeglade trace show" and "trace replay --json" and must not
// change. Some differ from the names of the constants.
var (
	verdictNames = []string{
		allocator.Placed:        "placed",
		allocator.Rejected:      "rejected",
		allocator.Unschedulable: "unschedulable",
	}
	nodeUpdateNames = []string{
		placement.Delta:          "changes",
		placement.Snapshot:       "whole",
		placement.CachedSnapshot: "cached",
		placement.PollFailed:     "failed",
	}
	usageNames = []string{
		placement.Running:   "running",
		placement.CoresUsed: "cores used",
		// Three further kinds occur in traces of earlier versions.
		"memory used",
		"served share",
		"memory filled",
	}
)

// Describe returns a one-line description of a record.
func Describe(r *trace.Record) string {
	text := describeCall(r)
	if text == "" {
		text = describeEvent(r)
	}
	text = fmt.Sprintf("%d at %.3f ms: %s", r.Revision, r.AtMs, text)
	if r.Step != nil {
		text += " -> " + describeStep(r.Step)
	}
	if r.Maintenance != nil {
		text += " -> " + describeMaintenance(r.Maintenance)
	}
	return text
}

// describeCall returns the description of a call to the module, "" for other records.
func describeCall(r *trace.Record) string {
	switch body := r.Body.(type) {
	case *tracepb.Record_Schedule:
		return describeSchedule(body.Schedule.Workload)
	case *tracepb.Record_Adopt:
		return fmt.Sprintf("adopt workload %d on node %d", body.Adopt.Workload.GetId(), body.Adopt.Node)
	case *tracepb.Record_StepResult:
		return describeResult(body.StepResult)
	case *tracepb.Record_NodesUpdated:
		updated := body.NodesUpdated
		return fmt.Sprintf("list, %s, %d nodes", nameOf(nodeUpdateNames, updated.Kind), len(updated.Nodes))
	case *tracepb.Record_Report:
		return fmt.Sprintf("report of node %d: %g cores spare", body.Report.Node, body.Report.Load.GetSpareCores())
	case *tracepb.Record_HealthChecked:
		return fmt.Sprintf("probe of node %d answered %v", body.HealthChecked.Node, body.HealthChecked.Answered)
	case *tracepb.Record_UsageReport:
		usage := body.UsageReport
		return fmt.Sprintf("note on workload %d: %s %g", usage.Workload, nameOf(usageNames, usage.Kind), usage.Value)
	case *tracepb.Record_Maintain:
		return "chores"
	}
	return ""
}

// describeEvent returns the description of a record that is not a call, "" for kinds added by a later version.
func describeEvent(r *trace.Record) string {
	switch body := r.Body.(type) {
	case *tracepb.Record_Start:
		source := body.Start.GetSource()
		return fmt.Sprintf("start of %s.%d", source.GetAllocator(), source.GetIncarnation())
	case *tracepb.Record_RequestReceived:
		received := body.RequestReceived
		return fmt.Sprintf("workload %d is ask %d of %s, key %d",
			received.Workload, received.RequestId, received.Client, received.Key)
	case *tracepb.Record_RequestAnswered:
		answered := body.RequestAnswered
		verdict := nameOf(verdictNames, answered.Verdict)
		return fmt.Sprintf("answer to workload %d: %s %s", answered.Workload, verdict, answered.Text)
	case *tracepb.Record_OfferRejected:
		rejected := body.OfferRejected
		return fmt.Sprintf("node %d refuses workload %d: %s", rejected.Node, rejected.Workload, rejected.Text)
	case *tracepb.Record_DiscoveryUpdated:
		return fmt.Sprintf("list epoch %d, revision %d", body.DiscoveryUpdated.Epoch, body.DiscoveryUpdated.Revision)
	case *tracepb.Record_GangRequested:
		gang := body.GangRequested
		return fmt.Sprintf("gang of %d parts, %d needed, is ask %d of %s",
			gang.Parts, gang.MinParts, gang.RequestId, gang.Client)
	case *tracepb.Record_GangState:
		gang := body.GangState
		return fmt.Sprintf("gang %d of %s is %s, workloads %v", gang.RequestId, gang.Client, gang.State, gang.Workloads)
	case *tracepb.Record_Gap:
		return fmt.Sprintf("GAP: %d records missing (%s)", body.Gap.Missing, body.Gap.Reason)
	}
	return ""
}

func describeSchedule(w *tracepb.Workload) string {
	return fmt.Sprintf("place workload %d of service %d, group %d, %g cores, %g memory, %.0f ms left",
		w.GetId(), w.GetService(), w.GetGroup(), w.GetCores(), w.GetMemory(), w.GetPendingTimeout())
}

func describeResult(result *tracepb.StepResult) string {
	text := fmt.Sprintf("workload %d %s", result.Workload, trace.ResultName(result.Kind, fallbackName(result.Kind)))
	if result.Reason > 0 {
		text += fmt.Sprintf(" (%s)", trace.RejectionName(result.Reason, fallbackName(result.Reason)))
	}
	return text
}

// describeStep returns the description of a step, which may be nil.
func describeStep(step *tracepb.Step) string {
	if step == nil {
		return "nothing"
	}
	switch placement.StepKind(step.Kind) {
	case placement.Bind:
		return fmt.Sprintf("bind to node %d for %.3f ms", step.Node, step.Timeout)
	case placement.Wait:
		return fmt.Sprintf("wait until %.3f ms", step.WakeAt)
	case placement.AwaitEnd, placement.Rejected, placement.Unschedulable, placement.Done:
		// The description is the name alone.
	}
	return trace.StepName(step.Kind, fallbackName(step.Kind))
}

func describeMaintenance(m *tracepb.Maintenance) string {
	return fmt.Sprintf("move %v, probe %v, watch %v, again at %.3f ms",
		m.GetMigrations(), m.GetHealthChecks(), m.GetSubscribe(), m.GetNextAt())
}

func nameOf(names []string, number uint32) string {
	if int(number) < len(names) {
		return names[number]
	}
	return fallbackName(number)
}

// fallbackName returns the name of a kind added by a later version.
func fallbackName(number uint32) string { return fmt.Sprintf("kind %d", number) }
