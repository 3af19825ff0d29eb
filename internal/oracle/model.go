package oracle

import "grebeglade/placement"

// Span is an interval of time that includes From and excludes Until.
type Span struct {
	From  placement.Millis
	Until placement.Millis
}

func (s Span) contains(t placement.Millis) bool { return s.From <= t && t < s.Until }

// Machine is a machine, with the times at which it is available.
type Machine struct {
	Zone               string
	Cell               string
	Cores              float64 // that workloads can use
	Memory             float64 // that workloads can use
	MaxRequestedCores  float64 // sum of requests above which the machine rejects workloads
	MaxRequestedMemory float64
	Up                 []Span
	Drains             []Span // in which it accepts no new workload
}

// Workload is what a client requests, what the workload uses once it runs, and when the client wants it to run.
//
// Its fields are in three groups: the time, the resources, and the limits of Constraints.
type Workload struct {
	From  placement.Millis
	Until placement.Millis

	Cores      float64 // requested
	Memory     float64 // requested
	UsedCores  float64
	UsedMemory float64

	Service     uint64
	SpreadScope placement.Scope
	MaxPerScope int              // workloads of the service in one scope
	RetryDelay  placement.Millis // from the loss of its machine until its client's retry; negative for no retry
}

func (w *Workload) wantedAt(t placement.Millis) bool { return w.From <= t && t < w.Until }

// Constraints are limits beyond those of the machines.
type Constraints struct {
	// BindLimit returns how many workloads may be placed within Window on a machine that has been up for some time;
	// negative for any number. It does not apply to the first start of a machine. Nil means no limit.
	BindLimit func(uptime placement.Millis) float64
	Window    placement.Millis

	AwaitRetry bool // workloads of a lost machine wait until their client retries
}
