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

// ErrNoRequests is returned by FromTrace for traces without a request.
var ErrNoRequests = errors.New("the trace contains no request")

// FromTrace returns a schedule of the requests that allocators recorded in traces. The requests keep the order and the
// intervals of their recorded wall-clock times, divided by speed. Traces do not contain the run times of workloads, so
// all run for runTime.
func FromTrace(files []*trace.Reader, speed float64, runTime time.Duration) (Schedule, error) {
	if !(speed > 0) {
		return nil, fmt.Errorf("replay speed is %g; it must be above 0", speed)
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

// newFixedSchedule returns a schedule of recorded requests in which the earliest is due at 0.
func newFixedSchedule(recorded []recordedRequest, speed float64, runTime time.Duration) *fixedSchedule {
	first := math.Inf(1)
	for _, r := range recorded {
		first = min(first, r.unixMs)
	}
	requests := make([]Request, len(recorded))
	for i, r := range recorded {
		requests[i] = r.request
		requests[i].At = fromMillis((r.unixMs - first) / speed)
		requests[i].RunTime = runTime
	}
	slices.SortStableFunc(requests, func(x, y Request) int { return cmp.Compare(x.At, y.At) })
	return &fixedSchedule{requests: requests}
}

// recordedRequest is a request from a trace.
type recordedRequest struct {
	request Request // At and RunTime are unset
	unixMs  float64 // recorded wall-clock time
}

// readRequests returns the requests of a trace file in the order of its records.
func readRequests(file *trace.Reader) (requests []recordedRequest, err error) {
	groups := map[uint32][]string{} // group names by record source
	for record, err := range file.Records(trace.Span{}) {
		if err != nil {
			return nil, err
		}
		switch body := record.Body.(type) { // records of other kinds are skipped
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

// newRequest converts a recorded workload. The groups are the group names of the allocator that recorded it, empty if
// its start record is missing.
func newRequest(workload *tracepb.Workload, groups []string) (Request, error) {
	if int(workload.Group) >= len(groups) {
		return Request{}, fmt.Errorf("no name for group %d: the trace lacks its start record; use a trace that is not cut",
			workload.Group)
	}
	return Request{
		Service:        workload.Service,
		Group:          groups[workload.Group],
		Cores:          workload.Cores,
		Memory:         workload.Memory,
		PendingTimeout: fromMillis(workload.PendingTimeout),
		Retried:        workload.Retried,
	}, nil
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
