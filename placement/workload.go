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
	Cores          float64 // requested
	Memory         float64 // requested
	PendingTimeout Millis  // after which the client gives up
	Retried        bool    // whether it was requested before, and then rejected, lost or migrated
}

// UsageKind says what an observation of a placed workload measures.
type UsageKind uint8

// Observations of a placed workload.
const (
	Running   UsageKind = iota // it runs now
	CoresUsed                  // cores in use by it
)

// workload is a request as the scheduler tracks it: while it is pending, and while it is placed.
type workload struct {
	Workload
	// group is the priority group that the request names.
	group *group
	// startBy is the end of the latency objective.
	startBy Millis
	// expiresAt is the end of the pending timeout, when the client gives up.
	expiresAt Millis
	// binds counts the binds made so far; Settings.MaxBinds limits them.
	binds int
	// uncertain is the first bind that may have run, or nil while it is proven that none did.
	uncertain *bind
	// excluded are the nodes that rejected the workload or could not be reached.
	excluded []*node
	// withdrawn is set once the client no longer wants the workload.
	withdrawn bool
}

// request returns the resources that the workload requests.
func (w *workload) request() resources {
	return resources{Cores: w.Cores, Memory: w.Memory}
}
