package replay

import (
	"slices"

	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Filter selects the records that match all of its nonzero fields. A zero field does not restrict the selection.
type Filter struct {
	Workload uint32
	Service  uint64
	Node     uint32
}

// Matcher returns a function that reports whether a record is selected. It must be called for all records of one file
// in file order, since only the request or adoption of a workload contains its service.
func (f Filter) Matcher() func(*trace.Record) bool {
	return (&matcher{filter: f, inService: map[workloadKey]bool{}}).matches
}

// matcher selects the records of one file.
type matcher struct {
	filter    Filter
	inService map[workloadKey]bool // whether a workload belongs to the filter's service
}

// workloadKey identifies a workload in one file.
type workloadKey struct {
	source   uint32
	workload uint32
}

// matches reports whether a record is selected.
func (m *matcher) matches(record *trace.Record) bool {
	id, hasWorkload := workloadID(record)
	key := workloadKey{record.Source, id}
	if workload := requestedWorkload(record); workload != nil {
		m.inService[key] = workload.Service == m.filter.Service
	}
	if m.filter.Workload != 0 && (!hasWorkload || id != m.filter.Workload) {
		return false
	}
	if m.filter.Service != 0 && (!hasWorkload || !m.inService[key]) {
		return false
	}
	return m.filter.Node == 0 || concernsNode(record, m.filter.Node)
}

// requestedWorkload returns the workload that a record schedules or adopts, nil for other records.
func requestedWorkload(r *trace.Record) *tracepb.Workload {
	if schedule := r.GetSchedule(); schedule != nil {
		return schedule.Workload
	}
	return r.GetAdopt().GetWorkload()
}

// workloadID returns the id of the workload that a record concerns, false if it concerns none or several.
func workloadID(r *trace.Record) (id uint32, ok bool) {
	switch body := r.Body.(type) {
	case *tracepb.Record_Schedule:
		return body.Schedule.GetWorkload().GetId(), true
	case *tracepb.Record_Adopt:
		return body.Adopt.GetWorkload().GetId(), true
	case *tracepb.Record_StepResult:
		return body.StepResult.Workload, true
	case *tracepb.Record_UsageReport:
		return body.UsageReport.Workload, true
	case *tracepb.Record_RequestReceived:
		return body.RequestReceived.Workload, true
	case *tracepb.Record_RequestAnswered:
		return body.RequestAnswered.Workload, true
	case *tracepb.Record_OfferRejected:
		return body.OfferRejected.Workload, true
	}
	return 0, false
}

// concernsNode reports whether a record is about a node, or led to a bind on it.
func concernsNode(r *trace.Record, node uint32) bool {
	if step := r.Step; step != nil && placement.StepKind(step.Kind) == placement.Bind && step.Node == node {
		return true
	}
	switch body := r.Body.(type) {
	case *tracepb.Record_Adopt:
		return body.Adopt.Node == node
	case *tracepb.Record_Report:
		return body.Report.Node == node
	case *tracepb.Record_HealthChecked:
		return body.HealthChecked.Node == node
	case *tracepb.Record_RequestAnswered:
		return body.RequestAnswered.Node == node
	case *tracepb.Record_OfferRejected:
		return body.OfferRejected.Node == node
	case *tracepb.Record_NodesUpdated:
		return slices.ContainsFunc(body.NodesUpdated.Nodes, func(n *tracepb.Node) bool { return n.Id == node })
	}
	return false
}
