package loadgen

import "time"

// Request is a scheduled request to place one workload.
type Request struct {
	At             time.Duration // scheduled time since the start of the load
	Service        uint64        // service that the workload belongs to
	Group          string        // name of the priority group
	Cores          float64
	Memory         float64       // unit of the node kinds
	PendingTimeout time.Duration // time until the request expires if it is not answered
	RunTime        time.Duration // expected run time of the workload
	Retried        bool          // the client has requested this workload before
}

// Schedule is the sequence of requests of a load.
type Schedule interface {
	// Next returns the next request in the order of At, and false after the last.
	Next() (Request, bool)
}

// fixedSchedule is a schedule of given requests.
type fixedSchedule struct {
	requests []Request // sorted by At
	next     int       // index of the next request to return
}

// Next implements Schedule.
func (s *fixedSchedule) Next() (Request, bool) {
	if s.next == len(s.requests) {
		return Request{}, false
	}
	request := s.requests[s.next]
	s.next++
	return request, true
}
