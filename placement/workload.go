package placement

// WorkloadID identifies one request to place a workload.
type WorkloadID uint32

// ServiceID identifies the service that a workload belongs to.
type ServiceID uint64

// Workload is one request to place a workload.
type Workload struct {
	ID             WorkloadID
	Service        ServiceID
	Group          GroupID
	Cores          float64 // requested number of cores
	Memory         float64 // requested memory, in the unit of Settings.NodeKinds
	PendingTimeout Millis  // time from the request until the client stops waiting
	Retried        bool    // whether this is a retry after a rejection, loss or migration
}

// UsageKind is the kind of an observation of a placed workload.
type UsageKind uint8

// Kinds of observations of a placed workload.
const (
	Running   UsageKind = iota // the workload runs; the value has no meaning, but must not be NaN
	CoresUsed                  // the value is the number of cores in use by the workload
)

// workload is the state of a workload while it is pending or placed.
type workload struct {
	Workload
	// group is the priority group of the request.
	group *group
	// startDeadline is the time of the request plus the latency objective.
	startDeadline Millis
	// expiresAt is the time of the request plus the pending timeout, when the client stops waiting.
	expiresAt Millis
	// binds is the number of binds so far; Settings.MaxBinds limits it.
	binds int
	// firstUncertain is the first bind that may have run, or nil if none can have run.
	firstUncertain *bind
	// excluded are the nodes that rejected the workload or that its bind could not be delivered to.
	excluded []*node
	// withdrawn is set when the client has withdrawn the workload.
	withdrawn bool
}

// request returns the resources that the workload requests.
func (w *workload) request() resources {
	return resources{Cores: w.Cores, Memory: w.Memory}
}
