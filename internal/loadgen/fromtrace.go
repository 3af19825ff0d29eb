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

// FromTrace returns a schedule of the requests in traces of allocators, at the times by the system's clock at which
// they came, speed times as fast. Traces do not hold how long workloads run: all run for runTime.
func FromTrace(files []*trace.Reader, speed float64, runTime time.Duration) (Schedule, error) {
	if !(speed > 0) {
		return nil, fmt.Errorf("a speed of %g is none; give one above 0", speed)
	}
	var recorded []recordedRequest
	for _, file := range files {
		requests, err := readRequests(file)
		if err != nil {
			return nil, err
		}
		recorded = append(recorded, requests...)
	}
	if len(recorded) == 0 {
		return nil, ErrNoRequests
	}
	return newFixedSchedule(recorded, speed, runTime), nil
}

// newFixedSchedule returns a schedule of recorded requests, with the earliest at its start.
func newFixedSchedule(recorded []recordedRequest, speed float64, runTime time.Duration) *fixedSchedule {
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
	return &fixedSchedule{requests: requests}
}

// recordedRequest is a request of a trace, without its time in the schedule and its run time.
type recordedRequest struct {
	request Request
	unixMs  float64
}

// readRequests returns the requests of a file, in its order.
func readRequests(file *trace.Reader) (requests []recordedRequest, err error) {
	groups := map[uint32][]string{} // names, by the record's source
	for record, err := range file.Records(trace.Span{}) {
		if err != nil {
			return nil, err
		}
		switch body := record.Body.(type) { // only requests, and the names in them, matter here
		case *tracepb.Record_Start:
			groups[record.Source] = body.Start.Groups
		case *tracepb.Record_Schedule:
			request, err := newRequest(body.Schedule.Workload, groups[record.Source])
			if err != nil {
				return nil, err
			}
			requests = append(requests, recordedRequest{request: request, unixMs: file.UnixMillis(record)})
		}
	}
	return requests, nil
}

// newRequest converts a recorded workload. The names of the groups are those of the allocator that recorded it.
func newRequest(workload *tracepb.Workload, groups []string) (Request, error) {
	if int(workload.Group) >= len(groups) {
		return Request{}, fmt.Errorf("the trace does not name group %d: it begins in the middle; use an uncut one",
			workload.Group)
	}
	return Request{
		Service:        workload.Service,
		Group:          groups[workload.Group],
		Cores:          workload.Cores,
		Memory:         workload.Memory,
		PendingTimeout: milliseconds(workload.PendingTimeout),
		Retried:        workload.Retried,
	}, nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
