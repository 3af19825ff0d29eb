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
func Reproduce(
	records iter.Seq2[*trace.Record, error], sources []*tracepb.Source, workload uint32,
) (*Reproduction, error) {
	found, calls, err := findRequest(records, workload)
	if err != nil {
		return nil, err
	}
	before, last := splitLast(calls)
	found.Source = sourceName(sources, last.Source)
	found.CallsBefore = len(before)
	same := func(before []*trace.Record) bool {
		return proto.Equal(found.decide(before, last), found.Decision)
	}
	if !same(before) {
		return nil, ErrOtherDecision
	}
	found.Calls = append(shrink(before, same), last)
	return found, nil
}

// splitLast returns the last call, and those before it. There must be a call.
func splitLast(calls []*trace.Record) (before []*trace.Record, last *trace.Record) {
	end := len(calls) - 1
	return calls[:end], calls[end]
}

// findRequest returns the calls of the workload's allocator up to the request.
func findRequest(records iter.Seq2[*trace.Record, error], workload uint32) (*Reproduction, []*trace.Record, error) {
	calls := map[uint32][]*trace.Record{} // by source
	starts := map[uint32]*tracepb.Start{}
	for record, err := range records {
		if err != nil {
			return nil, nil, err
		}
		if start := record.GetStart(); start != nil {
			starts[record.Source] = start
		}
		if starts[record.Source] == nil {
			return nil, nil, ErrNoStart
		}
		if !isCall(record) {
			continue
		}
		calls[record.Source] = append(calls[record.Source], record)
		if schedule := record.GetSchedule(); schedule != nil && schedule.GetWorkload().GetId() == workload {
			return &Reproduction{Start: starts[record.Source], Decision: record.Step}, calls[record.Source], nil
		}
	}
	return nil, nil, NoRequestError{Workload: workload}
}

// isCall reports whether a record is a call of the module.
func isCall(r *trace.Record) bool {
	switch r.Body.(type) {
	case *tracepb.Record_Schedule,
		*tracepb.Record_Adopt,
		*tracepb.Record_StepResult,
		*tracepb.Record_NodesUpdated,
		*tracepb.Record_Report,
		*tracepb.Record_HealthChecked,
		*tracepb.Record_UsageReport,
		*tracepb.Record_Maintain:
		return true
	}
	return false
}

// shrink omits the calls that are not needed: at first large parts, then smaller ones, then single calls.
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
	for _, record := range before {
		if calls.possible(record) {
			calls.call(record)
		}
	}
	requested := decodeWorkload(last.GetSchedule().Workload)
	return encodeStep(module.Schedule(placement.Millis(last.AtMs), requested))
}

// possible reports whether a call can be made: a result needs the step that it answers, which may have been left out.
func (r *run) possible(call *trace.Record) bool {
	result := call.GetStepResult()
	if result == nil {
		return true
	}
	step, ok := r.steps[result.Workload]
	return ok && step.NextStep != nil
}
