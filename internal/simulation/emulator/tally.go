package emulator

import (
	pb "grebeglade/proto/grebeglade/v1"
)

// Tally counts a client's requests for single workloads and gangs, with one counter for each outcome.
type Tally struct {
	Requests      int // including retries
	FirstRequests int
	Placed        int
	Rejected      int
	Unschedulable int
	Withdrawn     int // withdrawn by the client before an answer
	Disconnected  int // the connection or the allocator was lost before an answer
	Unanswered    int
	Ended         map[pb.Reason]int // placed workloads, gangs and gang parts that ended
	Waits         []float64         // ms from the answered request until the workload was placed
	SingleTally
	GangTally
}

// SingleTally counts workloads that belong to no gang.
type SingleTally struct {
	SinglesFirst  int
	SinglesPlaced int     // workloads that their first request placed
	Wants         []*Want // sorted by first request
}

// GangTally counts gangs.
type GangTally struct {
	Gangs          int
	GangsStarted   int
	GangsAbandoned int       // gangs that ended without a start
	GangWaits      []float64 // ms from the first request for a gang until it started
	Wasted         float64   // core seconds of independently placed parts until their incomplete gang was stopped
	Used           float64   // core seconds in the full lifetimes of the parts placed when their gang started
}
