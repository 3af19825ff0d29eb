package replay

import (
	"iter"
	"slices"

	"google.golang.org/protobuf/proto"

	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Reproduction is the shortest list of calls found from which a module makes a recorded decision again.
type Reproduction struct {
	Source      string
	Start       *tracepb.Start
	Calls       []*trace.Record // the last one requests the workload
	CallsBefore int             // calls before the last one in the trace
	Decision    *tracepb.Step
}

// Reproduce finds the calls that a workload's first step rests on. It leaves out calls, at first half of them, then
// smaller parts, as long as the module still decides the same with what remains.
func Reproduce(records iter.Seq2[*trace.Record, error], sources []*tracepb.Source, workload uint32) (*Reproduction, error) {
	r, calls, err := findRequest(records, workload)
	if err != nil {
		return nil, err
	}
	before, last := calls[:len(calls)-1], calls[len(calls)-1]
	r.Source = sourceName(sources, last.Source)
	r.CallsBefore = len(before)
	same := func(before []*trace.Record) bool { return proto.Equal(r.decide(before, last), r.Decision) }
	if !same(before) {
		return nil, ErrOtherDecision
	}
	r.Calls = append(shrink(before, same), last)
	return r, nil
}

// findRequest returns the calls of the workload's allocator up to the request.
func findRequest(records iter.Seq2[*trace.Record, error], workload uint32) (*Reproduction, []*trace.Record, error) {
	calls := map[uint32][]*trace.Record{} // by source
	starts := map[uint32]*tracepb.Start{}
	for rec, err := range records {
		if err != nil {
			return nil, nil, err
		}
		if s := rec.GetStart(); s != nil {
			starts[rec.Source] = s
		}
		if starts[rec.Source] == nil {
			return nil, nil, ErrNoStart
		}
		if !isCall(rec) {
			continue
		}
		calls[rec.Source] = append(calls[rec.Source], rec)
		if p := rec.GetSchedule(); p != nil && p.GetWorkload().GetId() == workload {
			return &Reproduction{Start: starts[rec.Source], Decision: rec.Step}, calls[rec.Source], nil
		}
	}
	return nil, nil, NoRequestError{Workload: workload}
}

// isCall reports whether a record is a call of the module.
func isCall(r *trace.Record) bool {
	switch r.Body.(type) {
	case *tracepb.Record_Schedule, *tracepb.Record_Adopt, *tracepb.Record_StepResult, *tracepb.Record_NodesUpdated, *tracepb.Record_Report,
		*tracepb.Record_HealthChecked, *tracepb.Record_UsageReport, *tracepb.Record_Maintain:
		return true
	}
	return false
}

// shrink leaves out whatever is not needed: at first large parts, then smaller ones, then single calls.
func shrink(calls []*trace.Record, same func([]*trace.Record) bool) []*trace.Record {
	for size := max(1, len(calls)/2); ; size = max(1, size/2) {
		for at := 0; at < len(calls); {
			without := slices.Concat(calls[:at], calls[min(at+size, len(calls)):])
			if same(without) {
				calls = without
			} else {
				at += size
			}
		}
		if size == 1 {
			return calls
		}
	}
}

// decide makes calls on a new module and returns its first step for the last one.
func (r *Reproduction) decide(before []*trace.Record, last *trace.Record) *tracepb.Step {
	module := placement.New(decodeSettings(r.Start.Settings), r.Start.Seed)
	calls := newRun(Options{}, r.Source, 0)
	calls.module = module
	for _, rec := range before {
		if calls.possible(rec) {
			calls.call(rec)
		}
	}
	return encodeStep(module.Schedule(placement.Millis(last.AtMs), decodeWorkload(last.GetSchedule().Workload)))
}

// possible reports whether a call can be made: a result needs the step that it answers, which may have been left out.
func (r *run) possible(rec *trace.Record) bool {
	n := rec.GetStepResult()
	if n == nil {
		return true
	}
	step, ok := r.steps[n.Workload]
	return ok && step.NextStep != nil
}
