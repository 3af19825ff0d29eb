// A group's settings decide how loaded a node may be for its workloads, and up to which load it serves them in full.
//
// Observed: nothing; they are what the operators state of the group.
//
// Cost of an error: a cap that is too high slows the residents of a node if their use rises after the start; one that
// is too low rejects workloads while residents would still be served.

package placement

// GroupID is a priority group's index in Settings.Groups.
type GroupID uint16

// Idempotency says what a second start of a workload would do.
type Idempotency uint8

// Idempotency of a group's workloads.
const (
	// Idempotent workloads may run again.
	Idempotent Idempotency = iota
	// IdempotentByKey workloads may be offered again where nodes recognize the repeat by its key: within
	// Group.KeyScope and Group.KeyWindow.
	IdempotentByKey
	// AtMostOnce workloads must never start twice.
	AtMostOnce
)

// Scope is a set of nodes around one of them.
type Scope uint8

// Scopes, from none to the whole fleet.
const (
	ScopeNone Scope = iota
	ScopeNode
	ScopeCell
	ScopeZone
	ScopeAll
)

// Group holds the settings of one priority group. The JSON keys are those of stored histories and of
// "config check".
type Group struct {
	// LatencyObjective is the time from the request within which a start is in time.
	LatencyObjective Millis `json:"Target"`
	// PriorityWeight is the value of one second of full service of a workload of mean size.
	PriorityWeight float64 `json:"Utility"`
	// Idempotency says what a second start of a workload would do.
	Idempotency Idempotency `json:"Effect"`
	// KeyScope is the set of nodes that share their idempotency keys.
	KeyScope Scope `json:"DedupScope"`
	// KeyWindow is how long nodes keep an idempotency key.
	KeyWindow Millis `json:"DedupWindow"`
	// SpreadScope is the set of nodes on which the workloads of one service are limited, or ScopeNone.
	SpreadScope Scope `json:"Spread"`
	// MaxPerScope is how many workloads of one service may run in one SpreadScope.
	MaxPerScope int `json:"SpreadMost"`
	// FullServiceUtilization is the share of a node's cores in use up to which service is full. 0 says that the
	// group states no degradation.
	FullServiceUtilization float64 `json:"Calm"`
	// DegradationRange is the further share of a node's cores over which service falls to nothing.
	DegradationRange float64 `json:"Fade"`
	// RequiredKind is the KindID of the nodes that the workloads need, or AnyKind.
	RequiredKind int `json:"Kind"`
}

// group is a priority group: its settings, what follows from them, and its last requests.
type group struct {
	Group
	// loadCap is the load that a node must stay below with one more workload of the group.
	loadCap utilization
	// fullServiceLoad is the load of a node up to which the group's workloads are served in full.
	fullServiceLoad utilization
	// requests are the last maxGroupRequests requests of this allocator, oldest first. Reservations count them.
	requests []request
}

// newGroup derives the loads from the settings. A group that states how it degrades may load a node part of the
// way into its degradation range; one that does not gets the default cap.
func newGroup(settings Group) group {
	derived := group{
		Group:           settings,
		loadCap:         defaultLoadCap,
		fullServiceLoad: defaultLoadCap,
	}
	if settings.FullServiceUtilization > 0 {
		limit := settings.FullServiceUtilization + degradationLimit*settings.DegradationRange
		derived.loadCap = utilization(min(1, limit))
		derived.fullServiceLoad = utilization(settings.FullServiceUtilization)
	}
	return derived
}
