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

// maxRecentCalls is the maximum number of calls reported before a divergence.
const maxRecentCalls = 12

// Run replays the calls of records on a module and compares each decision. Records of several sources may be mixed;
// each source has its own module and report. Damage, a gap, or a missing record is an error. With the recorded
// settings, Run skips the records of a source after its first divergence, since they depend on the recorded decision.
func Run(
	records iter.Seq2[*trace.Record, error], sources []*tracepb.Source, options Options,
) ([]*Report, error) {
	if options.Module == nil {
		options.Module = newModule
	}
	runs := map[uint32]*run{} // key: source
	for record, err := range records {
		if err != nil {
			return nil, err
		}
		current := runs[record.Source]
		if current == nil {
			if record.GetStart() == nil {
				return nil, ErrNoStart
			}
			current = newRun(options, sourceName(sources, record.Source), record.Revision)
			runs[record.Source] = current
		}
		if current.diverged() {
			continue
		}
		if err := current.add(record); err != nil {
			return nil, fmt.Errorf("%s, revision %d: %w", current.report.Source, record.Revision, err)
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

// newModule returns this program's module.
func newModule(settings placement.Settings, seed uint64) allocator.Module {
	return placement.New(settings, seed)
}

// sourceName returns the name of a source, given its index.
func sourceName(sources []*tracepb.Source, i uint32) string {
	if int(i) < len(sources) {
		return trace.KeyOf(sources[i]).String()
	}
	return fmt.Sprintf("source %d", i)
}

// run replays the calls of one incarnation of an allocator.
type run struct {
	options      Options
	module       allocator.Module
	steps        map[uint32]placement.Step // last step of each workload, unless it is final
	report       Report
	recentCalls  []string // descriptions of the last calls
	nextRevision uint64   // expected revision of the next record
}

// newRun returns a run whose first record has the given revision.
func newRun(options Options, source string, revision uint64) *run {
	return &run{
		options:      options,
		steps:        map[uint32]placement.Step{},
		report:       Report{Source: source},
		nextRevision: revision,
	}
}

// diverged reports whether a run with the recorded settings has diverged, after which the calls are not comparable. It
// returns false with replaced settings.
func (r *run) diverged() bool { return r.report.Differ != nil && r.options.Settings == nil }

// add replays the next record if it is a call. The record's revision must be the successor of the previous one.
func (r *run) add(record *trace.Record) error {
	if gap := record.GetGap(); gap != nil {
		return GapError{Missing: gap.Missing, Reason: gap.Reason}
	}
	if record.Revision != r.nextRevision {
		return RevisionError{Previous: r.nextRevision - 1}
	}
	r.nextRevision++
	if start := record.GetStart(); start != nil {
		return r.start(start)
	}
	if !r.call(record) {
		return nil
	}
	r.report.Calls++
	r.recentCalls = append(r.recentCalls, Describe(record))
	if len(r.recentCalls) > maxRecentCalls {
		r.recentCalls = r.recentCalls[1:]
	}
	return nil
}

// start creates the module, with the recorded settings or those that replace them.
func (r *run) start(start *tracepb.Start) error {
	settings := decodeSettings(start.Settings)
	if r.options.Settings != nil {
		var err error
		if settings, err = r.options.Settings(settings); err != nil {
			return err
		}
		r.report.WhatIf = &WhatIf{}
	}
	r.module = r.options.Module(settings, start.Seed)
	return nil
}

// call makes a recorded call and compares its result. It returns false if the record is not a call.
func (r *run) call(record *trace.Record) bool {
	now := placement.Millis(record.AtMs)
	switch body := record.Body.(type) {
	case *tracepb.Record_Schedule:
		step := r.module.Schedule(now, decodeWorkload(body.Schedule.Workload))
		r.checkStep(record, body.Schedule.Workload.GetId(), step)
	case *tracepb.Record_Adopt:
		step := r.module.Adopt(now, decodeWorkload(body.Adopt.Workload), placement.NodeID(body.Adopt.Node))
		r.checkStep(record, body.Adopt.Workload.GetId(), step)
	case *tracepb.Record_StepResult:
		r.advance(record, body.StepResult)
	case *tracepb.Record_NodesUpdated:
		updated := body.NodesUpdated
		r.module.UpdateNodes(now, placement.NodeUpdateKind(updated.Kind), decodeNodes(updated.Nodes))
	case *tracepb.Record_Report:
		if load := decodeLoad(body.Report.Load); load != nil {
			r.module.ReportLoad(now, placement.NodeID(body.Report.Node), *load)
		}
	case *tracepb.Record_HealthChecked:
		checked := body.HealthChecked
		r.module.HealthChecked(now, placement.NodeID(checked.Node), checked.Answered, decodeLoad(checked.Load))
	case *tracepb.Record_UsageReport:
		usage := body.UsageReport
		r.module.ReportUsage(now, placement.WorkloadID(usage.Workload), placement.UsageKind(usage.Kind), usage.Value)
	case *tracepb.Record_Maintain:
		r.checkMaintenance(record, encodeMaintenance(r.module.Maintain(now)))
	default:
		return false
	}
	return true
}

// advance passes a recorded result to the workload's last step. A missing step is a divergence with the recorded
// settings, and is ignored with replaced settings.
func (r *run) advance(record *trace.Record, result *tracepb.StepResult) {
	step, ok := r.steps[result.Workload]
	if !ok || step.NextStep == nil {
		if r.options.Settings == nil {
			r.compare(record, false, describeStep(record.Step), "nothing: the workload has ended before")
		}
		return
	}
	next := step.NextStep(placement.Millis(record.AtMs), decodeResult(result))
	r.checkStep(record, result.Workload, next)
}

// checkStep compares a workload's next step with the recorded one, and stores it for the result that follows.
func (r *run) checkStep(record *trace.Record, id uint32, step placement.Step) {
	if r.options.Settings != nil {
		r.estimate(record, id, step)
		return
	}
	if step.NextStep == nil {
		delete(r.steps, id)
	} else {
		r.steps[id] = step
	}
	decided := encodeStep(step)
	r.compare(record, proto.Equal(decided, record.Step), describeStep(record.Step), describeStep(decided))
}

// checkMaintenance compares maintenance actions with the recorded ones.
func (r *run) checkMaintenance(record *trace.Record, decided *tracepb.Maintenance) {
	recorded := record.Maintenance
	same := proto.Equal(decided, recorded)
	r.compare(record, same, describeMaintenance(recorded), describeMaintenance(decided))
}

// compare counts a decision, and adds it to the report if it is the first that differs.
func (r *run) compare(record *trace.Record, same bool, recorded, decided string) {
	r.report.Decisions++
	if same {
		r.report.Same++
		return
	}
	if r.report.Differ != nil {
		return
	}
	r.report.Differ = &Divergence{
		AtMs:     record.AtMs,
		Revision: record.Revision,
		Call:     Describe(record),
		Recorded: recorded,
		Decided:  decided,
		Before:   slices.Clone(r.recentCalls),
	}
}
