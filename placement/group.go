// Group decides up to which load a node may get the group's workloads, and up to which load they get full service.
//
// Inputs: the group's settings only.
//
// Cost of an error: if the cap is too high, the workloads on a node are slowed when their usage rises after the start;
// if it is too low, workloads are rejected although the node could still serve them.

package placement

// GroupID is a priority group's index in Settings.Groups.
type GroupID uint16

// Idempotency is the effect of a second start of a workload.
type Idempotency uint8

// Idempotency of a group's workloads.
const (
	// Idempotent workloads may run again.
	Idempotent Idempotency = iota
	// IdempotentByKey workloads may be offered again within Group.KeyScope and Group.KeyWindow, where nodes recognize
	// a repeated offer by its idempotency key.
	IdempotentByKey
	// AtMostOnce workloads must never start twice.
	AtMostOnce
)

// Scope is a set of nodes, relative to one of them.
type Scope uint8

// Scopes, from no node to the whole fleet.
const (
	ScopeNone Scope = iota
	ScopeNode
	ScopeCell
	ScopeZone
	ScopeAll
)

// Group holds the settings of one priority group. Stored histories and "config check" use the JSON keys.
type Group struct {
	// LatencyObjective is the time from the request within which the workload should start.
	LatencyObjective Millis `json:"Target"`
	// PriorityWeight is the value of one second of full service for a workload of mean size.
	PriorityWeight float64 `json:"Utility"`
	// Idempotency is the effect of a second start of a workload.
	Idempotency Idempotency `json:"Effect"`
	// KeyScope is the set of nodes that share idempotency keys.
	KeyScope Scope `json:"DedupScope"`
	// KeyWindow is how long nodes keep an idempotency key.
	KeyWindow Millis `json:"DedupWindow"`
	// SpreadScope is the set of nodes that MaxPerScope applies to, or ScopeNone for no limit.
	SpreadScope Scope `json:"Spread"`
	// MaxPerScope is the maximum number of workloads of one service in one SpreadScope.
	MaxPerScope int `json:"SpreadMost"`
	// FullServiceUtilization is the share of a node's cores in use up to which workloads get full service. 0 means
	// that the group has no degradation settings.
	FullServiceUtilization float64 `json:"Calm"`
	// DegradationRange is the additional share of a node's cores in use over which service falls from full to none.
	DegradationRange float64 `json:"Fade"`
	// RequiredKind is the KindID of the nodes that the workloads require, or AnyKind.
	RequiredKind int `json:"Kind"`
}

// group is a priority group: its settings, the load limits derived from them, and its recent requests.
type group struct {
	Group
	// loadCap is the load that a node must stay below, the new workload of the group included.
	loadCap utilization
	// fullServiceLoad is the node load up to which the group's workloads get full service.
	fullServiceLoad utilization
	// requests are the last maxGroupRequests requests that this allocator received, oldest first. Reservations
	// count them.
	requests []request
}

// newGroup derives the load limits from the settings. The cap of a group with degradation settings is
// maxDegradationShare of the way into its degradation range, and at most 1; other groups get defaultLoadCap.
func newGroup(settings Group) group {
	derived := group{
		Group:           settings,
		loadCap:         defaultLoadCap,
		fullServiceLoad: defaultLoadCap,
	}
	if settings.FullServiceUtilization > 0 {
		limit := settings.FullServiceUtilization + maxDegradationShare*settings.DegradationRange
		derived.loadCap = utilization(min(1, limit))
		derived.fullServiceLoad = utilization(settings.FullServiceUtilization)
	}
	return derived
}
