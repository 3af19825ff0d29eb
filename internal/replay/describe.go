package replay

import (
	"fmt"

	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Names of the numbers in records, as descriptions show them.
var (
	stepNames   = []string{"bind", "wait", "resident", "rejected", "unschedulable", "done"}
	resultNames = []string{
		"confirmed", "declined", "unreachable", "not sent", "unclear", "timed out", "ended", "withdrawn", "due",
	}
	verdictNames    = []string{"", "placed", "rejected", "unschedulable"}
	nodeUpdateNames = []string{"changes", "whole", "cached", "failed"}
	reasonNames     = []string{
		"", "no cores", "no memory", "too many waiting", "not here", "evicted", "pushed out", "sent away",
	}
	usageNames = []string{"running", "cores used", "memory used", "served share", "memory filled"}
)

// nameOf returns the name of a number. Later versions may have added numbers without a name here.
func nameOf(names []string, number uint32) string {
	if int(number) < len(names) {
		return names[number]
	}
	return fmt.Sprintf("kind %d", number)
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
	return nameOf(stepNames, s.Kind)
}

func maintenanceText(c *tracepb.Chores) string {
	return fmt.Sprintf("move %v, probe %v, watch %v, again at %.3f ms", c.GetMoves(), c.GetProbes(), c.GetWatch(), c.GetAgain())
}

// Describe returns a line of text for a record: its revision, its time, what it records, and what was decided.
func Describe(r *trace.Record) string {
	text := fmt.Sprintf("%d at %.3f ms: ", r.Revision, r.AtMs)
	if isCall(r) {
		text += describeCall(r)
	} else {
		text += describeEvent(r)
	}
	if r.Step != nil {
		text += " -> " + stepText(r.Step)
	}
	if r.Chores != nil {
		text += " -> " + maintenanceText(r.Chores)
	}
	return text
}

// describeCall describes a call to the module.
func describeCall(r *trace.Record) string {
	switch b := r.Body.(type) {
	case *tracepb.Record_Place:
		w := b.Place.Workload
		return fmt.Sprintf("place workload %d of service %d, group %d, %g cores, %g memory, %.0f ms left", w.GetId(), w.GetService(),
			w.GetGroup(), w.GetCores(), w.GetMemory(), w.GetLeft())
	case *tracepb.Record_Adopt:
		return fmt.Sprintf("adopt workload %d on node %d", b.Adopt.Workload.GetId(), b.Adopt.Node)
	case *tracepb.Record_Next:
		return describeResult(b.Next)
	case *tracepb.Record_List:
		return fmt.Sprintf("list, %s, %d nodes", nameOf(nodeUpdateNames, b.List.Kind), len(b.List.Nodes))
	case *tracepb.Record_Report:
		return fmt.Sprintf("report of node %d: %g cores spare", b.Report.Node, b.Report.Load.GetSpareCores())
	case *tracepb.Record_Probed:
		return fmt.Sprintf("probe of node %d answered %v", b.Probed.Node, b.Probed.Answered)
	case *tracepb.Record_Note:
		return fmt.Sprintf("note on workload %d: %s %g", b.Note.Workload, nameOf(usageNames, b.Note.Kind), b.Note.Value)
	case *tracepb.Record_Upkeep:
		return "chores"
	}
	return ""
}

func describeResult(n *tracepb.Next) string {
	text := fmt.Sprintf("workload %d %s", n.Workload, nameOf(resultNames, n.Kind))
	if n.Reason > 0 {
		text += fmt.Sprintf(" (%s)", nameOf(reasonNames, n.Reason))
	}
	return text
}

// describeEvent describes a record that is not a call to the module.
func describeEvent(r *trace.Record) string {
	switch b := r.Body.(type) {
	case *tracepb.Record_Start:
		return fmt.Sprintf("start of %s.%d", b.Start.GetSource().GetAllocator(), b.Start.GetSource().GetIncarnation())
	case *tracepb.Record_Asked:
		return fmt.Sprintf("workload %d is ask %d of %s, key %d", b.Asked.Workload, b.Asked.Ask, b.Asked.Owner, b.Asked.Key)
	case *tracepb.Record_Answered:
		return fmt.Sprintf("answer to workload %d: %s %s", b.Answered.Workload, nameOf(verdictNames, b.Answered.Verdict), b.Answered.Text)
	case *tracepb.Record_Refused:
		return fmt.Sprintf("node %d refuses workload %d: %s", b.Refused.Node, b.Refused.Workload, b.Refused.Text)
	case *tracepb.Record_Heard:
		return fmt.Sprintf("list epoch %d, revision %d", b.Heard.Epoch, b.Heard.Revision)
	case *tracepb.Record_GangAsked:
		g := b.GangAsked
		return fmt.Sprintf("gang of %d parts, %d needed, is ask %d of %s", g.Parts, g.Need, g.Ask, g.Owner)
	case *tracepb.Record_GangState:
		g := b.GangState
		return fmt.Sprintf("gang %d of %s is %s, workloads %v", g.Ask, g.Owner, g.State, g.Workloads)
	case *tracepb.Record_Gap:
		return fmt.Sprintf("GAP: %d records missing (%s)", b.Gap.Missing, b.Gap.Why)
	}
	return ""
}
