package loadgen

import "time"

// Request is a request for one workload.
type Request struct {
	At             time.Duration // from the start of the load
	Service        uint64
	Group          string
	Cores          float64
	Memory         float64
	PendingTimeout time.Duration // after which the client gives up
	RunTime        time.Duration // of the workload
	Retried        bool          // the client has requested the workload before
}

// Schedule holds the requests of a load.
type Schedule interface {
	// Next returns the requests in the order of their times, and false after the last.
	Next() (Request, bool)
}

// fixedSchedule is a schedule of known requests, in the order of their times.
type fixedSchedule struct {
	requests []Request
	next     int
}

// Next returns the requests in their order.
func (s *fixedSchedule) Next() (Request, bool) {
	if s.next == len(s.requests) {
		return Request{}, false
	}
	request := s.requests[s.next]
	s.next++
	return request, true
}
