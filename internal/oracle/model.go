package oracle

import "grebeglade/placement"

// Span is an interval of time that includes From and excludes Until.
type Span struct{ From, Until placement.Millis }

func (s Span) contains(t placement.Millis) bool { return s.From <= t && t < s.Until }

// Machine is a machine, with the times at which it is available.
type Machine struct {
	Zone, Cell          string
	Cores, Memory       float64 // that workloads can use
	AskCores, AskMemory float64 // that workloads can request in sum before the machine rejects more
	Up                  []Span
	Drains              []Span // in which it accepts no new workload
}

// Want is a workload: what it requests, what it then uses, and when it is wanted.
type Want struct {
	From, Until           placement.Millis
	Service               uint64
	Cores, Memory         float64 // requested
	UsesCores, UsesMemory float64
	Spread                placement.Scope
	SpreadMost            int              // workloads of the service within Spread
	Again                 placement.Millis // from the loss of its machine until its client's retry; negative for no retry
}

// Rules are limits beyond those of the machines.
type Rules struct {
	// Bears returns how many workloads a machine may be sent within Window when it has been up for some time; negative
	// for any number. It does not apply to the first start of a machine. Nil means no limit.
	Bears  func(up placement.Millis) float64
	Window placement.Millis
	Asked  bool // workloads of a lost machine wait until their client retries
}
