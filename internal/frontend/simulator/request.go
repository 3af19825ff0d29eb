package simulator

import (
	"math"

	"grebeglade/placement"
)

// requestCode says what a record of a batch is.
type requestCode uint8

// Codes of the records that are known. The gap at 3 is a record that allocators need not handle.
const (
	codeAttach    requestCode = 1  // an instance starts
	codePong      requestCode = 2  // a health check has ended
	codeNewTask   requestCode = 4  // a client requests a workload
	codeSettled   requestCode = 5  // a bind has ended
	codeStanding  requestCode = 6  // a workload was running before the instance started
	codeSheet     requestCode = 7  // a list of nodes, for all instances
	codeHint      requestCode = 8  // a workload reports its usage
	codeDirectory requestCode = 9  // discovery names a list of nodes, or has failed
	codeDropped   requestCode = 10 // a client has withdrawn its workload
	codeLanded    requestCode = 11 // a node has accepted a bind
	codePowerOff  requestCode = 12 // an instance ends
	codeWakeup    requestCode = 13 // a time that the instance asked for has come
	lastKnownCode             = codeWakeup
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

// nodeSize is the length of a node in a list.
const nodeSize = 30

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
		FreeCores: r.float32(), ID: placement.NodeID(r.uint32()), Zone: placement.ZoneID(r.uint16()),
		FreeMemory: r.float32(), Kind: placement.KindID(r.uint8()), Cell: placement.CellID(r.uint16()),
		State: nodeState(r.uint8()), StartedAt: placement.DistantPast,
	}
	r.skip(4)
	if started := r.uint64(); started > 0 {
		n.StartedAt = millis(started)
	}
	return n
}

func nodeState(code uint8) placement.NodeState {
	switch code {
	case 1:
		return placement.Ready
	case 2:
		return placement.Draining
	default:
		return placement.Removed
	}
}

// nodeUpdate tells an instance which list of nodes holds, or that discovery has failed.
type nodeUpdate struct {
	kind  placement.NodeUpdateKind
	known bool // whether the kind is one that is known
	list  uint32
}

func decodeNodeUpdate(r *fieldReader) (nodeUpdate, error) {
	m := nodeUpdate{}
	m.kind, m.known = nodeUpdateKind(r.uint8())
	r.skip(8)
	m.list = r.uint32()
	return m, r.err
}

func nodeUpdateKind(code uint8) (kind placement.NodeUpdateKind, known bool) {
	switch code {
	case 0:
		return placement.Delta, true
	case 2:
		return placement.PollFailed, true
	case 3:
		return placement.CachedSnapshot, true
	case 4:
		return placement.Snapshot, true
	default:
		return 0, false
	}
}

// retriedFlag marks a workload that was rejected, failed, migrated or lost before.
const retriedFlag = 16

// decodeNewTask returns the workload that a client requests.
func decodeNewTask(r *fieldReader) (placement.Workload, error) {
	w := placement.Workload{ID: placement.WorkloadID(r.uint32()), Group: placement.GroupID(r.uint16())}
	r.skip(2 + 8)
	w.PendingTimeout = millis(r.uint64())
	r.skip(8)
	w.Service = placement.ServiceID(r.uint64())
	w.Cores, w.Memory = r.float32(), r.float32()
	w.Retried = r.uint8()&retriedFlag != 0
	return w, r.err
}

// runningWorkload is one that was running before its instance started.
type runningWorkload struct {
	workload placement.Workload
	node     placement.NodeID
}

func decodeStanding(r *fieldReader) (runningWorkload, error) {
	m := runningWorkload{workload: placement.Workload{ID: placement.WorkloadID(r.uint32())}}
	r.skip(2 + 8)
	m.node = placement.NodeID(r.uint32())
	m.workload.Memory = r.float32()
	m.workload.Service = placement.ServiceID(r.uint64())
	m.workload.Group = placement.GroupID(r.uint16())
	r.skip(8)
	m.workload.Cores = r.float32()
	return m, r.err
}

// bindAccepted is a bind that its node has accepted.
type bindAccepted struct {
	workload placement.WorkloadID
	bind     int
}

func decodeLanded(r *fieldReader) (bindAccepted, error) {
	m := bindAccepted{workload: placement.WorkloadID(r.uint32()), bind: int(r.uint8())}
	r.skip(4 + 8)
	return m, r.err
}

// usageReport is what a running workload says of itself.
type usageReport struct {
	workload placement.WorkloadID
	bind     int
	kind     placement.UsageKind
	known    bool // whether the kind is one that is known
	level    float64
}

func decodeHint(r *fieldReader) (usageReport, error) {
	m := usageReport{workload: placement.WorkloadID(r.uint32()), bind: int(r.uint8())}
	m.kind, m.known = usageKind(r.uint8())
	r.skip(4)
	m.level = r.float32()
	return m, r.err
}

func usageKind(code uint8) (kind placement.UsageKind, known bool) {
	switch code {
	case 1:
		return placement.Running, true
	case 2:
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

func decodeSettled(r *fieldReader) (bindEnded, error) {
	m := bindEnded{workload: placement.WorkloadID(r.uint32())}
	m.result.Final = r.uint8() != 0
	m.bind = int(r.uint8())
	m.result.Reason = reason(r.uint32())
	m.result.Kind = resultKind(r.uint8())
	r.skip(8)
	m.node = placement.NodeID(r.uint32())
	m.load = decodeLoad(r)
	return m, r.err
}

func reason(code uint32) placement.Reason {
	if code > uint32(placement.Drained) {
		return placement.ReasonUnspecified
	}
	return placement.Reason(code)
}

func resultKind(code uint8) placement.ResultKind {
	switch code {
	case 2:
		return placement.RejectedByNode
	case 3:
		return placement.TimedOut
	case 4:
		return placement.NotDelivered
	case 7:
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

func decodePong(r *fieldReader) (healthCheckEnded, error) {
	r.skip(8)
	m := healthCheckEnded{healthy: r.uint8() == 0, node: placement.NodeID(r.uint32())}
	m.load = decodeLoad(r)
	return m, r.err
}

// loadValueSize is the length of one value of a load report.
const loadValueSize = 4

func decodeLoad(r *fieldReader) []float64 {
	values := make([]float64, r.count(int(r.uint8()), loadValueSize))
	for i := range values {
		values[i] = r.float32()
	}
	return values
}

func decodeDropped(r *fieldReader) (placement.WorkloadID, error) {
	id := placement.WorkloadID(r.uint32())
	return id, r.err
}

// decodeWakeup checks a record whose fields say nothing that is needed.
func decodeWakeup(r *fieldReader) error {
	r.skip(4)
	return r.err
}
