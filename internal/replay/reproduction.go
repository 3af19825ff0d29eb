package replay

import (
	"iter"
	"slices"

	"google.golang.org/protobuf/proto"

	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Reproduction is the shortest list of calls found after which a module makes a recorded decision again.
type Reproduction struct {
	Source    string // the allocator and its incarnation
	Start     *tracepb.Start
	Calls     []*trace.Record // the last one schedules the workload
	Preceding int             // calls before that one in the trace
	Decision  *tracepb.Step
}

// Extract reproduces the first decision on a workload. It leaves out calls, many at a time and then fewer, as long as the
// module still decides the same after the remaining ones. Errors are NoRequestError, ErrNoStart, ErrNotReproduced, and
// those of records.
func Extract(records iter.Seq2[*trace.Record, error], sources []*tracepb.Source, workload uint32) (*Reproduction, error) {
	found, err := findRequest(records, workload)
	if err != nil {
		return nil, err
	}
	preceding, request := found.calls[:len(found.calls)-1], found.calls[len(found.calls)-1]
	reproduces := func(calls []*trace.Record) bool {
		return proto.Equal(decide(found.start, calls, request), request.Step)
	}
	if !reproduces(preceding) {
		return nil, ErrNotReproduced
	}
	return &Reproduction{
		Source: sourceName(sources, request.Source), Start: found.start, Decision: request.Step, Preceding: len(preceding),
		Calls: append(shrink(preceding, reproduces), request),
	}, nil
}

// history is the calls of one allocator, from its start.
type history struct {
	start *tracepb.Start
	calls []*trace.Record
}

// findRequest returns the calls up to the first that schedules the workload, which is the last of them.
func findRequest(records iter.Seq2[*trace.Record, error], workload uint32) (*history, error) {
	histories := map[uint32]*history{}
	for r, err := range records {
		if err != nil {
			return nil, err
		}
		if s := r.GetStart(); s != nil {
			h := histories[r.Source]
			if h == nil {
				h = &history{}
				histories[r.Source] = h
			}
			h.start = s
		}
		h := histories[r.Source]
		if h == nil {
			return nil, ErrNoStart
		}
		if !isCall(r) {
			continue
		}
		h.calls = append(h.calls, r)
		if p := r.GetPlace(); p != nil && p.GetWorkload().GetId() == workload {
			return h, nil
		}
	}
	return nil, NoRequestError{Workload: workload}
}

// shrink leaves out calls as long as the remaining ones reproduce the decision: first half of them, then smaller parts,
// then single ones.
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

// decide makes calls to a new module and returns its step for the request. Results for workloads whose request is not
// among the calls are left out too.
func decide(start *tracepb.Start, calls []*trace.Record, request *trace.Record) *tracepb.Step {
	s := newSession(placement.New(decodeSettings(start.Settings), start.Seed))
	for _, r := range calls {
		if o := s.call(r); o.kind == stepReturned {
			s.follow(o.workload, o.step)
		}
	}
	return encodeStep(s.call(request).step)
}
