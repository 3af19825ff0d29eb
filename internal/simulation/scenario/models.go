package scenario

import "grebeglade/placement"

// NodeModel describes how the nodes of a scenario behave. Its JSON keys are part of the format of recorded histories.
// It has as many fields as a script's node and rules blocks have settings. A node that is warming up fails if it
// receives more offers within OverloadWindow than BindLimit returns.
type NodeModel struct {
	CoreOvercommit      float64          `json:"OverCores"`   // limit of requested cores, as a multiple of its cores
	MemoryOvercommit    float64          `json:"OverMemory"`  // limit of requested memory, as a multiple of its memory
	AdmissionTime       placement.Millis `json:"Admit"`       // time per offer or health check
	QueueLimit          int              `json:"Line"`        // limit of queued offers and health checks
	ConcurrentStarts    int              `json:"Starts"`      // limit of concurrent starts
	UncachedStartFactor float64          `json:"Setup"`       // factor of the start time of an uncached program
	CachedPrograms      int              `json:"Kept"`        // limit of cached programs; starting a program removes it
	ReportInterval      placement.Millis `json:"ReportEvery"` // time between load reports
	ConfirmsRunning     bool             // offers are confirmed when the workload runs, not when it is accepted
	DrainMode           DrainMode        `json:"Away"`
	AnnouncesDrain      bool             `json:"TellsDrain"` // drains are announced to allocators, too
	InitialRate         float64          `json:"ColdFrom"`   // share of the full start rate at the start of the warm-up
	WarmUpDuration      placement.Millis `json:"ColdFor"`
	WarmUpBudget        float64          `json:"ColdBears"`   // offers within OverloadWindow that are always allowed
	OverloadFactor      float64          `json:"Overload"`    // limit of offers per start possible in OverloadWindow
	OverloadWindow      placement.Millis `json:"OverloadFor"` // period in which offers to a warming node are counted
	Groups              map[string]*GroupModel
}

// BindLimit returns the number of offers within OverloadWindow that a warming node can receive without failing. The
// rate is its start rate as a share of its full rate.
func (m *NodeModel) BindLimit(rate float64) float64 {
	longestStart := 1.0
	for _, group := range m.Groups {
		longestStart = max(longestStart, float64(group.StartTime)*m.UncachedStartFactor)
	}
	limit := m.OverloadFactor * rate * float64(m.ConcurrentStarts) / longestStart * float64(m.OverloadWindow)
	return max(m.WarmUpBudget, limit)
}

// DrainMode is what a draining node does with its workloads.
type DrainMode string

// The drain modes, by their names in scripts.
const (
	DrainKeeps  DrainMode = "keeps"   // the workloads run to their end
	DrainPaced  DrainMode = "paced"   // the node evicts them one at a time
	DrainAtOnce DrainMode = "at-once" // the node evicts all of them together
)

// GroupModel describes how the workloads of a priority group behave on a node.
type GroupModel struct {
	StartTime    placement.Millis `json:"Work"`   // time to start a workload whose program is cached
	CoreUse      float64          `json:"Cores"`  // mean share of the requested cores that is used
	MemoryUse    float64          `json:"Memory"` // mean share of the requested memory that is used
	EvictionRank int              `json:"Rank"`   // lower ranks are evicted first
}

// DiscoveryModel describes how the discovery service of a scenario behaves.
type DiscoveryModel struct {
	Polled           bool             // allocators poll the service; otherwise it pushes changes to all of them
	Lag              placement.Millis // time from a node's registration until it takes effect
	PushInterval     placement.Millis // time between pushes to subscribers
	RemovalDelay     placement.Millis // time from a node's disconnection until it is listed as removed
	EntriesPerSecond float64          // limit of the entries per second in answers to polls; 0 for no limit
	CallTimeout      placement.Millis // time in the queue after which a poll fails
}

// ClientModel describes what the clients of a scenario request, and how they behave. It has the settings of a script's
// load and gang blocks, and values that a run sets: Demand, From, Until, the allocators' addresses and the rates of one
// client.
type ClientModel struct {
	Demand                 []Demand
	Rate                   float64          // first requests per second: of all clients in a script, of one in a run
	From                   placement.Millis // earliest time of a first request
	Until                  placement.Millis // time after which no request is sent, except retries of gang parts
	RetryDelay             placement.Millis // mean delay before a retry
	MaxAttempts            int              // limit of the requests for one workload
	AnswerSlack            placement.Millis // time after the pending timeout at which an unanswered request times out
	WithdrawShare          float64          // share of the single workloads and gang attempts that are withdrawn
	RetriesAfterDisconnect bool             // after a disconnect, at-most-once workloads are retried at the same allocator
	Allocators             []string         // addresses of the allocators
	Gangs                  []GangDemand
	GangPolicy             GangPolicy
}

// Demand is the demand for single workloads of one priority group.
type Demand struct {
	Name           string
	Share          float64          // share of the request rate
	Shapes         [][2]float64     // cores and memory
	Lifetime       placement.Millis // mean lifetime
	Services       int              // number of services
	PendingTimeout placement.Millis
	Idempotency    placement.Idempotency
}

// GangDemand is the demand for gangs of one kind. It has a field for each setting of a script's gang block.
type GangDemand struct {
	Group          string
	Idempotency    placement.Idempotency
	Rate           float64 // gangs per second: of all clients in a script, of one in a run
	Parts          int
	MinParts       int        // least number of parts that the gang needs to run
	Shape          [2]float64 // cores and memory of a part
	Lifetime       placement.Millis
	PendingTimeout placement.Millis
	SpreadScope    string // "node", "cell" or "zone", at most one part of the gang on each; "" for no limit
	Replace        bool   // lost parts are replaced
	ReplaceTimeout placement.Millis
}

// GangPolicy is how clients request gangs: with gang requests, or in one of two ways that serve as a comparison.
type GangPolicy string

// The gang policies, by their names on the command line.
const (
	Together    GangPolicy = "together"    // one request per gang
	Independent GangPolicy = "independent" // one request per part; an incomplete gang is stopped after a timeout
	UntilPlaced GangPolicy = "for-ever"    // one request per gang, retried after a short delay
)

// StorageModel describes the durable state of the allocators of a scenario.
type StorageModel struct {
	SyncTime placement.Millis // duration of one write to disk; 0 for allocators without durable state
}
