package replay

import (
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

// workloadKey names a workload of one allocator of a trace.
type workloadKey struct{ source, workload uint32 }

// Matcher returns a function that tells whether the filter selects a record. It must be given all records of a file in
// their order, since it takes the services of workloads from the requests for them.
func (f Filter) Matcher() func(*trace.Record) bool {
	services := map[workloadKey]uint64{}
	return func(r *trace.Record) bool {
		id, known := workloadOf(r)
		key := workloadKey{r.Source, id}
		if w := requestedWorkload(r); w != nil {
			services[key] = w.Service
		}
		switch {
		case f.Workload != 0 && (!known || id != f.Workload),
			f.Service != 0 && (!known || services[key] != f.Service),
			f.Node != 0 && !concernsNode(r, f.Node):
			return false
		}
		return true
	}
}

// requestedWorkload returns the workload that a record schedules or adopts, or nil if it does neither.
func requestedWorkload(r *trace.Record) *tracepb.Workload {
	if p := r.GetPlace(); p != nil {
		return p.Workload
	}
	return r.GetAdopt().GetWorkload()
}

// workloadOf returns the id of the workload that a record is about.
func workloadOf(r *trace.Record) (uint32, bool) {
	switch b := r.Body.(type) {
	case *tracepb.Record_Place:
		return b.Place.GetWorkload().GetId(), true
	case *tracepb.Record_Adopt:
		return b.Adopt.GetWorkload().GetId(), true
	case *tracepb.Record_Next:
		return b.Next.Workload, true
	case *tracepb.Record_Note:
		return b.Note.Workload, true
	case *tracepb.Record_Asked:
		return b.Asked.Workload, true
	case *tracepb.Record_Answered:
		return b.Answered.Workload, true
	case *tracepb.Record_Refused:
		return b.Refused.Workload, true
	}
	return 0, false
}

// concernsNode tells whether a record is about a node, or binds a workload to it.
func concernsNode(r *trace.Record, node uint32) bool {
	if r.Step != nil && placement.StepKind(r.Step.Kind) == placement.Bind && r.Step.Node == node {
		return true
	}
	switch b := r.Body.(type) {
	case *tracepb.Record_Adopt:
		return b.Adopt.Node == node
	case *tracepb.Record_Report:
		return b.Report.Node == node
	case *tracepb.Record_Probed:
		return b.Probed.Node == node
	case *tracepb.Record_Answered:
		return b.Answered.Node == node
	case *tracepb.Record_Refused:
		return b.Refused.Node == node
	case *tracepb.Record_List:
		for _, n := range b.List.Nodes {
			if n.Id == node {
				return true
			}
		}
	}
	return false
}
