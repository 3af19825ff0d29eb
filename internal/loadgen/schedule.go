package loadgen

import "time"

// Request is a request for one workload.
type Request struct {
	At             time.Duration // from the start of the load
	Service        uint64
	Group          string
	Cores, Memory  float64
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

func (s *fixedSchedule) Next() (Request, bool) {
	if s.next == len(s.requests) {
		return Request{}, false
	}
	s.next++
	return s.requests[s.next-1], true
}
