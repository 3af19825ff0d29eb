package loadgen

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// ErrNoRequests means that a trace holds no request.
var ErrNoRequests = errors.New("the trace holds no request")

// FromTrace returns a schedule of the requests in traces of allocators, at the times by the system's clock at which they
// came, speed times as fast. Traces do not hold how long workloads run: all run for runTime.
func FromTrace(files []*trace.Reader, speed float64, runTime time.Duration) (Schedule, error) {
	if !(speed > 0) {
		return nil, fmt.Errorf("a speed of %g is none; give one above 0", speed)
	}
	var recorded []recordedRequest
	for _, f := range files {
		requests, err := readRequests(f)
		if err != nil {
			return nil, err
		}
		recorded = append(recorded, requests...)
	}
	if len(recorded) == 0 {
		return nil, ErrNoRequests
	}
	first := math.Inf(1)
	for _, r := range recorded {
		first = min(first, r.unixMs)
	}
	requests := make([]Request, len(recorded))
	for i, r := range recorded {
		requests[i] = r.request
		requests[i].At = milliseconds((r.unixMs - first) / speed)
		requests[i].RunTime = runTime
	}
	slices.SortStableFunc(requests, func(x, y Request) int { return cmp.Compare(x.At, y.At) })
	return &fixedSchedule{requests: requests}, nil
}

// recordedRequest is a request of a trace, without its time in the schedule.
type recordedRequest struct {
	request Request
	unixMs  float64
}

func readRequests(f *trace.Reader) (requests []recordedRequest, err error) {
	groups := map[uint32][]string{} // names, by the record's source
	for r, err := range f.Records(trace.Span{}) {
		if err != nil {
			return nil, err
		}
		switch b := r.Body.(type) {
		case *tracepb.Record_Start:
			groups[r.Source] = b.Start.Groups
		case *tracepb.Record_Schedule:
			request, err := newRequest(b.Schedule.Workload, groups[r.Source])
			if err != nil {
				return nil, err
			}
			requests = append(requests, recordedRequest{request, f.UnixMillis(r)})
		}
	}
	return requests, nil
}

func newRequest(w *tracepb.Workload, groups []string) (Request, error) {
	if int(w.Group) >= len(groups) {
		return Request{}, fmt.Errorf("the trace does not name group %d: it begins in the middle; use an uncut one", w.Group)
	}
	return Request{
		Service: w.Service, Group: groups[w.Group], Cores: w.Cores, Memory: w.Memory, PendingTimeout: milliseconds(w.PendingTimeout),
		Retried: w.Retried,
	}, nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
