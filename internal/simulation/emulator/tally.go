package emulator

import (
	pb "grebeglade/proto/grebeglade/v1"
)

// Tally counts what a client has seen of its requests, one counter for each outcome, of single workloads and gangs.
type Tally struct {
	Requests      int // retries included
	FirstRequests int
	Placed        int
	Rejected      int
	Unschedulable int
	Withdrawn     int // by the client, before an answer
	Disconnected  int // the connection or the allocator was lost before an answer
	Unanswered    int
	Ended         map[pb.Reason]int
	Waits         []float64 // ms from the request that was answered until the workload was placed
	SingleTally
	GangTally
}

// SingleTally counts workloads that belong to no gang.
type SingleTally struct {
	SinglesFirst  int
	SinglesPlaced int     // those of them that their first request placed
	Wants         []*Want // in the order in which they were first wanted
}

// GangTally counts gangs.
type GangTally struct {
	Gangs          int
	GangsStarted   int
	GangsAbandoned int       // that never started
	GangWaits      []float64 // ms from the first request for a gang until it started
	Wasted         float64   // core seconds of independently requested parts in gangs that did not start
	Used           float64   // core seconds of independently requested parts in gangs that started
}
