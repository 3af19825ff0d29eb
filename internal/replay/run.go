package replay

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"grebeglade/internal/allocator"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// maxCallsBefore is how many calls before a divergence are reported.
const maxCallsBefore = 12

// Run makes the calls of records on a module and compares each decision. Records of several allocators may be mixed;
// each has a run and a report of its own. It stops at damage. With the recorded settings, a run stops at its first
// divergence: what comes after answers another decision.
func Run(records iter.Seq2[*trace.Record, error], sources []*tracepb.Source, o Options) ([]*Report, error) {
	if o.Module == nil {
		o.Module = func(s placement.Settings, seed uint64) allocator.Module { return placement.New(s, seed) }
	}
	runs := map[uint32]*run{}
	for rec, err := range records {
		if err != nil {
			return nil, err
		}
		r := runs[rec.Source]
		if r == nil {
			if rec.GetStart() == nil {
				return nil, ErrNoStart
			}
			r = newRun(o, sourceName(sources, rec.Source), rec.Revision)
			runs[rec.Source] = r
		}
		if r.report.Differ != nil && o.Settings == nil {
			continue
		}
		if err := r.add(rec); err != nil {
			return nil, fmt.Errorf("%s, revision %d: %w", r.report.Source, rec.Revision, err)
		}
	}
	if len(runs) == 0 {
		return nil, ErrNoStart
	}
	var reports []*Report
	for _, source := range slices.Sorted(maps.Keys(runs)) {
		reports = append(reports, &runs[source].report)
	}
	return reports, nil
}

func sourceName(sources []*tracepb.Source, i uint32) string {
	if int(i) < len(sources) {
		return trace.KeyOf(sources[i]).String()
	}
	return fmt.Sprintf("source %d", i)
}

// run makes the calls of one incarnation of an allocator again.
type run struct {
	options      Options
	module       allocator.Module
	steps        map[uint32]placement.Step // the last one of each workload that is not done
	report       Report
	callsBefore  []string
	nextRevision uint64
}

func newRun(o Options, source string, revision uint64) *run {
	return &run{options: o, steps: map[uint32]placement.Step{}, report: Report{Source: source}, nextRevision: revision}
}

// add takes the next record, which must follow the one before without a gap.
func (r *run) add(rec *trace.Record) error {
	if g := rec.GetGap(); g != nil {
		return GapError{Missing: g.Missing, Reason: g.Reason}
	}
	if rec.Revision != r.nextRevision {
		return RevisionError{Previous: r.nextRevision - 1}
	}
	r.nextRevision++
	if s := rec.GetStart(); s != nil {
		return r.start(s)
	}
	if !r.call(rec) {
		return nil
	}
	r.report.Calls++
	if r.callsBefore = append(r.callsBefore, Describe(rec)); len(r.callsBefore) > maxCallsBefore {
		r.callsBefore = r.callsBefore[1:]
	}
	return nil
}

func (r *run) start(s *tracepb.Start) error {
	settings := decodeSettings(s.Settings)
	if r.options.Settings != nil {
		var err error
		if settings, err = r.options.Settings(settings); err != nil {
			return err
		}
		r.report.WhatIf = &WhatIf{}
	}
	r.module = r.options.Module(settings, s.Seed)
	return nil
}

// call makes a call and compares its outcome. It returns false if the record is no call.
func (r *run) call(rec *trace.Record) bool {
	now := placement.Millis(rec.AtMs)
	switch b := rec.Body.(type) {
	case *tracepb.Record_Schedule:
		r.decided(rec, b.Schedule.Workload.GetId(), r.module.Schedule(now, decodeWorkload(b.Schedule.Workload)))
	case *tracepb.Record_Adopt:
		step := r.module.Adopt(now, decodeWorkload(b.Adopt.Workload), placement.NodeID(b.Adopt.Node))
		r.decided(rec, b.Adopt.Workload.GetId(), step)
	case *tracepb.Record_StepResult:
		r.advance(rec, b.StepResult)
	case *tracepb.Record_NodesUpdated:
		r.module.UpdateNodes(now, placement.NodeUpdateKind(b.NodesUpdated.Kind), decodeNodes(b.NodesUpdated.Nodes))
	case *tracepb.Record_Report:
		if l := decodeLoad(b.Report.Load); l != nil {
			r.module.ReportLoad(now, placement.NodeID(b.Report.Node), *l)
		}
	case *tracepb.Record_HealthChecked:
		r.module.HealthChecked(now, placement.NodeID(b.HealthChecked.Node), b.HealthChecked.Answered, decodeLoad(b.HealthChecked.Load))
	case *tracepb.Record_UsageReport:
		r.module.ReportUsage(now, placement.WorkloadID(b.UsageReport.Workload), placement.UsageKind(b.UsageReport.Kind), b.UsageReport.Value)
	case *tracepb.Record_Maintain:
		decided := encodeMaintenance(r.module.Maintain(now))
		r.compare(rec, proto.Equal(decided, rec.Maintenance), describeMaintenance(rec.Maintenance), describeMaintenance(decided))
	default:
		return false
	}
	return true
}

// advance passes a recorded result to the workload's last step. With other settings there may be none.
func (r *run) advance(rec *trace.Record, n *tracepb.StepResult) {
	step, ok := r.steps[n.Workload]
	if !ok || step.NextStep == nil {
		if r.options.Settings == nil {
			r.compare(rec, false, describeStep(rec.Step), "nothing: the workload was let go of before")
		}
		return
	}
	r.decided(rec, n.Workload, step.NextStep(placement.Millis(rec.AtMs), decodeResult(n)))
}

// decided takes a workload's next step.
func (r *run) decided(rec *trace.Record, id uint32, step placement.Step) {
	if r.options.Settings != nil {
		r.estimate(rec, id, step)
		return
	}
	if step.NextStep == nil {
		delete(r.steps, id)
	} else {
		r.steps[id] = step
	}
	decided := encodeStep(step)
	r.compare(rec, proto.Equal(decided, rec.Step), describeStep(rec.Step), describeStep(decided))
}

func (r *run) compare(rec *trace.Record, same bool, recorded, decided string) {
	r.report.Decisions++
	if same {
		r.report.Same++
		return
	}
	if r.report.Differ == nil {
		r.report.Differ = &Divergence{
			AtMs: rec.AtMs, Revision: rec.Revision, Call: Describe(rec), Recorded: recorded, Decided: decided,
			Before: slices.Clone(r.callsBefore),
		}
	}
}
