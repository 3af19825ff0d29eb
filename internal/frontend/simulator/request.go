package simulator

import (
	"math"

	"grebeglade/placement"
)

// requestCode says what a record of a batch is.
type requestCode uint8

// Codes of the records that are known, by the protocol's names.
const (
	codeAttach    requestCode = 1  // an instance starts
	codePong      requestCode = 2  // a health check has ended
	codeDatagram  requestCode = 3  // another instance has sent a message, which none does
	codeNewTask   requestCode = 4  // a client requests a workload
	codeSettled   requestCode = 5  // a bind has ended
	codeStanding  requestCode = 6  // the instance takes charge of a workload that is running
	codeSheet     requestCode = 7  // a numbered list of nodes, for all instances
	codeHint      requestCode = 8  // a report on a bind
	codeDirectory requestCode = 9  // a report of node discovery
	codeDropped   requestCode = 10 // a client has withdrawn its workload
	codeLanded    requestCode = 11 // a node has confirmed a bind
	codePowerOff  requestCode = 12 // an instance is killed
	codeWakeup    requestCode = 13 // a timer of the instance has fired
	lastKnownCode             = codeWakeup
)

// Values of the fields that are enumerations, by the protocol's names. Other values are skipped or have a default.
const (
	nodeReady    = 1
	nodeDraining = 2

	updateDelta  = 0
	updateFailed = 2
	updateCached = 3
	updateFull   = 4

	hintRuns  = 1
	hintCores = 2

	outcomeOK            = 0
	outcomeFull          = 2
	outcomeTimeout       = 3
	outcomeConnectFailed = 4
	outcomeMoot          = 7

	optionCameAgain = 16 // a bit: the workload came before, and was rejected, failed, migrated or lost
)

// Sizes of elements that are counted, and of fields that are skipped, in bytes.
const (
	nodeSize      = 30
	loadValueSize = 4

	alarmNameSize = 4
	durationSize  = 8
	hostSize      = 4
	stampSize     = 8 // the version of a list of nodes
	tenantSize    = 2
	unitIDSize    = 8 // the identity that a workload keeps when it is requested again
	weightSize    = 4
)

// nanosPerMillis converts between the times of the protocol and those of the engine.
const nanosPerMillis = 1e6

func millis(nanos uint64) placement.Millis { return placement.Millis(float64(nanos) / nanosPerMillis) }

func nanos(t placement.Millis) uint64 { return uint64(math.Round(float64(t) * nanosPerMillis)) }

// attachRequest starts an instance.
type attachRequest struct {
	seed     uint64
	settings string // lines of path=value
}

func decodeAttach(r *fieldReader) (attachRequest, error) {
	m := attachRequest{seed: r.uint64()}
	m.settings = string(r.bytes(r.count(int(r.uint32()), 1)))
	return m, r.err
}

// nodeList is a list of nodes that instances refer to by its number.
type nodeList struct {
	number uint32
	nodes  []placement.Node
}

func decodeNodeList(r *fieldReader) (nodeList, error) {
	l := nodeList{number: r.uint32()}
	l.nodes = make([]placement.Node, r.count(int(r.uint32()), nodeSize))
	for i := range l.nodes {
		l.nodes[i] = decodeNode(r)
	}
	return l, r.err
}

func decodeNode(r *fieldReader) placement.Node {
	n := placement.Node{
		FreeCores:  r.float32(),
		ID:         placement.NodeID(r.uint32()),
		Zone:       placement.ZoneID(r.uint16()),
		FreeMemory: r.float32(),
		Kind:       placement.KindID(r.uint8()),
		Cell:       placement.CellID(r.uint16()),
		State:      nodeState(r.uint8()),
		StartedAt:  placement.DistantPast,
	}
	r.skip(weightSize)
	if started := r.uint64(); started > 0 {
		n.StartedAt = millis(started)
	}
	return n
}

func nodeState(code uint8) placement.NodeState {
	switch code {
	case nodeReady:
		return placement.Ready
	case nodeDraining:
		return placement.Draining
	default:
		return placement.Removed
	}
}

// nodeUpdate notifies an instance of the node list that is current, or that discovery has failed.
type nodeUpdate struct {
	kind  placement.NodeUpdateKind
	known bool // whether the kind is one that is known
	list  uint32
}

func decodeNodeUpdate(r *fieldReader) (nodeUpdate, error) {
	m := nodeUpdate{}
	m.kind, m.known = nodeUpdateKind(r.uint8())
	r.skip(stampSize)
	m.list = r.uint32()
	return m, r.err
}

func nodeUpdateKind(code uint8) (kind placement.NodeUpdateKind, known bool) {
	switch code {
	case updateDelta:
		return placement.Delta, true
	case updateFailed:
		return placement.PollFailed, true
	case updateCached:
		return placement.CachedSnapshot, true
	case updateFull:
		return placement.Snapshot, true
	default:
		return 0, false
	}
}

// decodeRequest returns the workload that a client requests.
func decodeRequest(r *fieldReader) (placement.Workload, error) {
	w := placement.Workload{ID: placement.WorkloadID(r.uint32()), Group: placement.GroupID(r.uint16())}
	r.skip(tenantSize + unitIDSize)
	w.PendingTimeout = millis(r.uint64())
	r.skip(durationSize)
	w.Service = placement.ServiceID(r.uint64())
	w.Cores = r.float32()
	w.Memory = r.float32()
	w.Retried = r.uint8()&optionCameAgain != 0
	return w, r.err
}

// runningWorkload is one that its instance takes charge of: it was running before the instance started, or a node has
// accepted a bind that was given up.
type runningWorkload struct {
	workload placement.Workload
	node     placement.NodeID
}

func decodeRunningWorkload(r *fieldReader) (runningWorkload, error) {
	m := runningWorkload{workload: placement.Workload{ID: placement.WorkloadID(r.uint32())}}
	r.skip(tenantSize + durationSize)
	m.node = placement.NodeID(r.uint32())
	m.workload.Memory = r.float32()
	m.workload.Service = placement.ServiceID(r.uint64())
	m.workload.Group = placement.GroupID(r.uint16())
	r.skip(durationSize)
	m.workload.Cores = r.float32()
	return m, r.err
}

// bindAccepted is a bind that its node has accepted.
type bindAccepted struct {
	workload placement.WorkloadID
	bind     int
}

func decodeBindAccepted(r *fieldReader) (bindAccepted, error) {
	m := bindAccepted{workload: placement.WorkloadID(r.uint32()), bind: int(r.uint8())}
	r.skip(hostSize + durationSize)
	return m, r.err
}

// usageReport is what a running workload reports of its usage.
type usageReport struct {
	workload placement.WorkloadID
	bind     int
	kind     placement.UsageKind
	known    bool // whether the kind is one that is known
	level    float64
}

func decodeUsageReport(r *fieldReader) (usageReport, error) {
	m := usageReport{workload: placement.WorkloadID(r.uint32()), bind: int(r.uint8())}
	m.kind, m.known = usageKind(r.uint8())
	r.skip(hostSize)
	m.level = r.float32()
	return m, r.err
}

func usageKind(code uint8) (kind placement.UsageKind, known bool) {
	switch code {
	case hintRuns:
		return placement.Running, true
	case hintCores:
		return placement.CoresUsed, true
	default:
		return 0, false
	}
}

// bindEnded is the end of a bind that was not accepted, or that ran.
type bindEnded struct {
	workload placement.WorkloadID
	bind     int
	node     placement.NodeID
	result   placement.Result // without its load
	load     []float64        // the values of a load report, as the instance's settings name them; empty for none
}

func decodeBindEnded(r *fieldReader) (bindEnded, error) {
	m := bindEnded{workload: placement.WorkloadID(r.uint32())}
	m.result.Final = r.uint8() != 0
	m.bind = int(r.uint8())
	m.result.Reason = reason(r.uint32())
	m.result.Kind = resultKind(r.uint8())
	r.skip(durationSize)
	m.node = placement.NodeID(r.uint32())
	m.load = decodeLoad(r)
	return m, r.err
}

// reason returns why a node has rejected a bind. The protocol numbers the reasons as package placement does.
func reason(code uint32) placement.Reason {
	if code > uint32(placement.Drained) {
		return placement.ReasonUnspecified
	}
	return placement.Reason(code)
}

func resultKind(code uint8) placement.ResultKind {
	switch code {
	case outcomeFull:
		return placement.RejectedByNode
	case outcomeTimeout:
		return placement.TimedOut
	case outcomeConnectFailed:
		return placement.NotDelivered
	case outcomeMoot:
		return placement.NotAttempted
	default:
		return placement.OutcomeUnknown
	}
}

// healthCheckEnded is the result of a health check.
type healthCheckEnded struct {
	node    placement.NodeID
	healthy bool
	load    []float64 // as in bindEnded
}

func decodeHealthCheckEnded(r *fieldReader) (healthCheckEnded, error) {
	r.skip(durationSize)
	m := healthCheckEnded{healthy: r.uint8() == outcomeOK, node: placement.NodeID(r.uint32())}
	m.load = decodeLoad(r)
	return m, r.err
}

func decodeLoad(r *fieldReader) []float64 {
	values := make([]float64, r.count(int(r.uint8()), loadValueSize))
	for i := range values {
		values[i] = r.float32()
	}
	return values
}

func decodeWithdrawal(r *fieldReader) (placement.WorkloadID, error) {
	id := placement.WorkloadID(r.uint32())
	return id, r.err
}

// decodeWakeup checks a record of which nothing is needed: every alarm has the same name.
func decodeWakeup(r *fieldReader) error {
	r.skip(alarmNameSize)
	return r.err
}
