package replay

import (
	"fmt"

	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

var (
	verdictNames    = []string{"", "placed", "rejected", "unschedulable"}
	nodeUpdateNames = []string{"changes", "whole", "cached", "failed"}
	usageNames      = []string{"running", "cores used", "memory used", "served share", "memory filled"}
)

// Describe describes a record in one line.
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

// describeCall describes a call of the module, "" for other records.
func describeCall(r *trace.Record) string {
	switch b := r.Body.(type) {
	case *tracepb.Record_Schedule:
		w := b.Schedule.Workload
		return fmt.Sprintf("place workload %d of service %d, group %d, %g cores, %g memory, %.0f ms left",
			w.GetId(), w.GetService(), w.GetGroup(), w.GetCores(), w.GetMemory(), w.GetPendingTimeout())
	case *tracepb.Record_Adopt:
		return fmt.Sprintf("adopt workload %d on node %d", b.Adopt.Workload.GetId(), b.Adopt.Node)
	case *tracepb.Record_StepResult:
		return describeResult(b.StepResult)
	case *tracepb.Record_NodesUpdated:
		return fmt.Sprintf("list, %s, %d nodes", nameOf(nodeUpdateNames, b.NodesUpdated.Kind), len(b.NodesUpdated.Nodes))
	case *tracepb.Record_Report:
		return fmt.Sprintf("report of node %d: %g cores spare", b.Report.Node, b.Report.Load.GetSpareCores())
	case *tracepb.Record_HealthChecked:
		return fmt.Sprintf("probe of node %d answered %v", b.HealthChecked.Node, b.HealthChecked.Answered)
	case *tracepb.Record_UsageReport:
		return fmt.Sprintf("note on workload %d: %s %g", b.UsageReport.Workload, nameOf(usageNames, b.UsageReport.Kind), b.UsageReport.Value)
	case *tracepb.Record_Maintain:
		return "chores"
	}
	return ""
}

// describeEvent describes what went on around the module, "" for kinds that a later version has added.
func describeEvent(r *trace.Record) string {
	switch b := r.Body.(type) {
	case *tracepb.Record_Start:
		return fmt.Sprintf("start of %s.%d", b.Start.GetSource().GetAllocator(), b.Start.GetSource().GetIncarnation())
	case *tracepb.Record_RequestReceived:
		return fmt.Sprintf("workload %d is ask %d of %s, key %d", b.RequestReceived.Workload, b.RequestReceived.RequestId, b.RequestReceived.Client, b.RequestReceived.Key)
	case *tracepb.Record_RequestAnswered:
		return fmt.Sprintf("answer to workload %d: %s %s", b.RequestAnswered.Workload, nameOf(verdictNames, b.RequestAnswered.Verdict), b.RequestAnswered.Text)
	case *tracepb.Record_OfferRejected:
		return fmt.Sprintf("node %d refuses workload %d: %s", b.OfferRejected.Node, b.OfferRejected.Workload, b.OfferRejected.Text)
	case *tracepb.Record_DiscoveryUpdated:
		return fmt.Sprintf("list epoch %d, revision %d", b.DiscoveryUpdated.Epoch, b.DiscoveryUpdated.Revision)
	case *tracepb.Record_GangRequested:
		g := b.GangRequested
		return fmt.Sprintf("gang of %d parts, %d needed, is ask %d of %s", g.Parts, g.MinParts, g.RequestId, g.Client)
	case *tracepb.Record_GangState:
		g := b.GangState
		return fmt.Sprintf("gang %d of %s is %s, workloads %v", g.RequestId, g.Client, g.State, g.Workloads)
	case *tracepb.Record_Gap:
		return fmt.Sprintf("GAP: %d records missing (%s)", b.Gap.Missing, b.Gap.Reason)
	}
	return ""
}

func describeResult(n *tracepb.StepResult) string {
	text := fmt.Sprintf("workload %d %s", n.Workload, trace.ResultName(n.Kind, unnamed(n.Kind)))
	if n.Reason > 0 {
		text += fmt.Sprintf(" (%s)", trace.RejectionName(n.Reason, unnamed(n.Reason)))
	}
	return text
}

func describeStep(s *tracepb.Step) string {
	switch {
	case s == nil:
		return "nothing"
	case placement.StepKind(s.Kind) == placement.Bind:
		return fmt.Sprintf("bind to node %d for %.3f ms", s.Node, s.Timeout)
	case placement.StepKind(s.Kind) == placement.Wait:
		return fmt.Sprintf("wait until %.3f ms", s.WakeAt)
	}
	return trace.StepName(s.Kind, unnamed(s.Kind))
}

func describeMaintenance(m *tracepb.Maintenance) string {
	return fmt.Sprintf("move %v, probe %v, watch %v, again at %.3f ms", m.GetMigrations(), m.GetHealthChecks(), m.GetSubscribe(), m.GetNextAt())
}

func nameOf(names []string, number uint32) string {
	if int(number) < len(names) {
		return names[number]
	}
	return unnamed(number)
}

// unnamed describes a kind that a later version has added.
func unnamed(number uint32) string { return fmt.Sprintf("kind %d", number) }
