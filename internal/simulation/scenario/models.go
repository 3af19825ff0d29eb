package scenario

import "grebeglade/placement"

// NodeModel describes how the nodes of a scenario behave. Its JSON keys are part of the format of recorded histories.
// It has as many fields as a script's node and rules blocks have settings. A node that warms up fails if it gets more
// offers in OverloadWindow than BindLimit says.
type NodeModel struct {
	CoreOvercommit      float64          `json:"OverCores"`  // multiple of the node's cores that is accepted
	MemoryOvercommit    float64          `json:"OverMemory"` // multiple of its memory that is accepted
	AdmissionTime       placement.Millis `json:"Admit"`      // to decide on one offer
	QueueLimit          int              `json:"Line"`       // offers that wait for a decision
	ConcurrentStarts    int              `json:"Starts"`
	UncachedStartFactor float64          `json:"Setup"` // by which a start takes longer if the program is not cached
	CachedPrograms      int              `json:"Kept"`  // kept after their last workload has ended
	ReportInterval      placement.Millis `json:"ReportEvery"`
	ConfirmsRunning     bool             // accepting an offer means that the workload runs
	DrainMode           DrainMode        `json:"Away"`
	AnnouncesDrain      bool             `json:"TellsDrain"` // to allocators itself, besides the discovery service
	InitialRate         float64          `json:"ColdFrom"`   // share of the full start rate with which a node starts
	WarmUpDuration      placement.Millis `json:"ColdFor"`
	WarmUpBudget        float64          `json:"ColdBears"`   // offers in OverloadWindow that never overload it
	OverloadFactor      float64          `json:"Overload"`    // of the starts possible in OverloadWindow, at most
	OverloadWindow      placement.Millis `json:"OverloadFor"` // over which offers to a warming node are counted
	Groups              map[string]*GroupModel
}

// BindLimit returns the number of offers within OverloadWindow that a node withstands which starts workloads at this
// share of its full rate.
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
	DrainKeeps  DrainMode = "keeps"   // they run to their end
	DrainPaced  DrainMode = "paced"   // it evicts them one after the other
	DrainAtOnce DrainMode = "at-once" // it evicts all of them at once
)

// GroupModel describes how the workloads of a priority group behave on a node.
type GroupModel struct {
	StartTime    placement.Millis `json:"Work"`   // if the program is cached
	CoreUse      float64          `json:"Cores"`  // mean share of the requested cores that is used
	MemoryUse    float64          `json:"Memory"` // mean share of the requested memory that is used
	EvictionRank int              `json:"Rank"`   // lower ranks are evicted first
}

// DiscoveryModel describes how the discovery service of a scenario behaves.
type DiscoveryModel struct {
	Polled           bool             // it answers calls; otherwise it pushes changes to all subscribers
	Lag              placement.Millis // from a node's registration until the service knows of it
	PushInterval     placement.Millis
	RemovalDelay     placement.Millis // from a node's disconnection until the service lists it as gone
	EntriesPerSecond float64          // that it can send in answers to calls; 0 for no limit
	CallTimeout      placement.Millis // after which a call that waits fails
}

// ClientModel describes what the clients of a scenario request, and how they behave. Beyond the settings of a script's
// load block it has what a run fills in: the times to send at, and the allocators' addresses.
type ClientModel struct {
	Demand                 []Demand
	Rate                   float64          // first requests a second of one client
	From                   placement.Millis // when it sends its first request
	Until                  placement.Millis // when it sends no more
	RetryDelay             placement.Millis // mean delay after an answer that places nothing
	MaxAttempts            int              // requests for one workload
	AnswerSlack            placement.Millis // beyond the pending timeout that it waits for an answer
	WithdrawShare          float64          // share of the workloads that it withdraws
	RetriesAfterDisconnect bool             // also at-most-once workloads, at the same allocator
	Allocators             []string         // addresses
	Gangs                  []GangDemand
	GangPolicy             GangPolicy
}

// Demand is the demand for single workloads of one priority group.
type Demand struct {
	Name           string
	Share          float64      // of the request rate
	Shapes         [][2]float64 // cores and memory
	Lifetime       placement.Millis
	Services       int
	PendingTimeout placement.Millis
	Idempotency    placement.Idempotency
}

// GangDemand is the demand for gangs of one kind. It has a field for each setting of a script's gang block.
type GangDemand struct {
	Group          string
	Idempotency    placement.Idempotency
	Rate           float64 // gangs a second of one client
	Parts          int
	MinParts       int        // that must run for the gang to run
	Shape          [2]float64 // cores and memory of a part
	Lifetime       placement.Millis
	PendingTimeout placement.Millis
	SpreadScope    string // of which no two parts share one: "node", "cell" or "zone"; "" for none
	Replace        bool   // parts that are lost are replaced
	ReplaceTimeout placement.Millis
}

// GangPolicy is how clients request gangs: as gangs, or in one of two ways to compare with.
type GangPolicy string

// The gang policies, by their names on the command line.
const (
	Together    GangPolicy = "together"    // one request for the gang
	Independent GangPolicy = "independent" // one request a part; an incomplete gang is stopped after a timeout
	UntilPlaced GangPolicy = "for-ever"    // one request for the gang, retried at once whenever it is rejected
)

// StorageModel describes the durable state of the allocators of a scenario.
type StorageModel struct {
	SyncTime placement.Millis // of one write to disk; 0 for allocators without durable state
}
