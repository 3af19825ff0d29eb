package replay

import (
	"iter"
	"slices"

	"google.golang.org/protobuf/proto"

	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Reproduction is a short list of calls with which a new module makes a recorded decision.
type Reproduction struct {
	Source      string
	Start       *tracepb.Start
	Calls       []*trace.Record // the last one requests the workload
	CallsBefore int             // number of calls before that request in the trace
	Decision    *tracepb.Step   // recorded step of that request
}

// Reproduce finds a short list of calls that leads to the first step of a scheduled workload. It tries to omit half of
// the calls at a time, then smaller parts, and omits a part if the module makes the same decision without it.
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
	reproduces := func(before []*trace.Record) bool {
		return proto.Equal(found.decide(before, last), found.Decision)
	}
	if !reproduces(before) {
		return nil, ErrOtherDecision
	}
	found.Calls = append(shrink(before, reproduces), last)
	return found, nil
}

// splitLast splits off the last call. The list must not be empty.
func splitLast(calls []*trace.Record) (before []*trace.Record, last *trace.Record) {
	end := len(calls) - 1
	return calls[:end], calls[end]
}

// findRequest returns the recorded decision on a workload's request, and the calls of its allocator up to and including
// the request.
func findRequest(records iter.Seq2[*trace.Record, error], workload uint32) (*Reproduction, []*trace.Record, error) {
	calls := map[uint32][]*trace.Record{} // key: source
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

// shrink tries to omit parts of the calls, first large ones, then smaller ones, then single calls. It keeps a part if
// reproduces returns false without it.
func shrink(calls []*trace.Record, reproduces func([]*trace.Record) bool) []*trace.Record {
	for size := max(1, len(calls)/2); ; size = max(1, size/2) {
		for at := 0; at < len(calls); {
			without := slices.Concat(calls[:at], calls[min(at+size, len(calls)):])
			if reproduces(without) {
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

// decide makes calls on a new module and returns its step for the last one, which requests a workload.
func (r *Reproduction) decide(before []*trace.Record, last *trace.Record) *tracepb.Step {
	module := placement.New(decodeSettings(r.Start.Settings), r.Start.Seed)
	current := newRun(Options{}, r.Source, 0)
	current.module = module
	for _, record := range before {
		if current.isPossible(record) {
			current.call(record)
		}
	}
	requested := decodeWorkload(last.GetSchedule().Workload)
	return encodeStep(module.Schedule(placement.Millis(last.AtMs), requested))
}

// isPossible reports whether a call can be made. A result needs the workload's last step, which may be missing
// if earlier calls are omitted.
func (r *run) isPossible(call *trace.Record) bool {
	result := call.GetStepResult()
	if result == nil {
		return true
	}
	step, ok := r.steps[result.Workload]
	return ok && step.NextStep != nil
}
