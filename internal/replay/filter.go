package replay

import (
	"slices"

	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Filter selects records by what they concern. A zero field selects all.
type Filter struct {
	Workload uint32
	Service  uint64
	Node     uint32
}

// Matcher returns a function that reports whether a record is selected. It must be called for all records of one file
// in their order: which workloads belong to a service is known from their requests.
func (f Filter) Matcher() func(*trace.Record) bool {
	type key struct{ source, workload uint32 }
	inService := map[key]bool{}
	return func(r *trace.Record) bool {
		id, ofWorkload := workloadID(r)
		if w := requestedWorkload(r); w != nil {
			inService[key{r.Source, id}] = w.Service == f.Service
		}
		switch {
		case f.Workload != 0 && (!ofWorkload || id != f.Workload):
			return false
		case f.Service != 0 && (!ofWorkload || !inService[key{r.Source, id}]):
			return false
		default:
			return f.Node == 0 || concernsNode(r, f.Node)
		}
	}
}

// requestedWorkload returns the workload that a record schedules or adopts, nil for other records.
func requestedWorkload(r *trace.Record) *tracepb.Workload {
	if p := r.GetSchedule(); p != nil {
		return p.Workload
	}
	return r.GetAdopt().GetWorkload()
}

// workloadID returns the workload that a record concerns.
func workloadID(r *trace.Record) (id uint32, ok bool) {
	switch b := r.Body.(type) {
	case *tracepb.Record_Schedule:
		return b.Schedule.GetWorkload().GetId(), true
	case *tracepb.Record_Adopt:
		return b.Adopt.GetWorkload().GetId(), true
	case *tracepb.Record_StepResult:
		return b.StepResult.Workload, true
	case *tracepb.Record_UsageReport:
		return b.UsageReport.Workload, true
	case *tracepb.Record_RequestReceived:
		return b.RequestReceived.Workload, true
	case *tracepb.Record_RequestAnswered:
		return b.RequestAnswered.Workload, true
	case *tracepb.Record_OfferRejected:
		return b.OfferRejected.Workload, true
	}
	return 0, false
}

func concernsNode(r *trace.Record, node uint32) bool {
	if s := r.Step; s != nil && placement.StepKind(s.Kind) == placement.Bind && s.Node == node {
		return true
	}
	switch b := r.Body.(type) {
	case *tracepb.Record_Adopt:
		return b.Adopt.Node == node
	case *tracepb.Record_Report:
		return b.Report.Node == node
	case *tracepb.Record_HealthChecked:
		return b.HealthChecked.Node == node
	case *tracepb.Record_RequestAnswered:
		return b.RequestAnswered.Node == node
	case *tracepb.Record_OfferRejected:
		return b.OfferRejected.Node == node
	case *tracepb.Record_NodesUpdated:
		return slices.ContainsFunc(b.NodesUpdated.Nodes, func(n *tracepb.Node) bool { return n.Id == node })
	}
	return false
}
