package oracle

import "grebeglade/placement"

// Span is an interval of time that includes From and excludes Until.
type Span struct {
	From  placement.Millis
	Until placement.Millis
}

func (s Span) contains(t placement.Millis) bool { return s.From <= t && t < s.Until }

// Machine is a machine with its capacity and availability.
type Machine struct {
	Zone               string
	Cell               string
	Cores              float64 // capacity for used cores
	Memory             float64 // capacity for used memory
	MaxRequestedCores  float64 // sum of requested cores above which the machine rejects workloads
	MaxRequestedMemory float64 // sum of requested memory above which the machine rejects workloads
	Up                 []Span
	Drains             []Span // times in which the machine accepts no new workload
}

// Workload is a workload that a client requests.
//
// Its fields are in three groups: the time in which it is to run, its resources, and the values for Constraints.
type Workload struct {
	From  placement.Millis
	Until placement.Millis

	Cores      float64 // requested
	Memory     float64 // requested
	UsedCores  float64 // used while running
	UsedMemory float64 // used while running

	Service     uint64
	SpreadScope placement.Scope
	MaxPerScope int              // maximum number of workloads of the service in one scope
	RetryDelay  placement.Millis // time from machine loss to the client's retry; negative: never retried
}

func (w *Workload) wantedAt(t placement.Millis) bool { return w.From <= t && t < w.Until }

// Constraints are limits on placements besides the capacity of the machines.
type Constraints struct {
	// BindLimit returns the maximum number of placements within Window on a machine that has the given uptime; negative
	// means unlimited. It applies only after a restart of the machine, not after its first start. Nil means no limit.
	BindLimit func(uptime placement.Millis) float64
	Window    placement.Millis

	AwaitRetry bool // place workloads of a lost machine again only after their client's retry
}
