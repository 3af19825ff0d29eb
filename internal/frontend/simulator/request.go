package simulator

import "grebeglade/placement"

// startRequest is a codeInstanceStart record.
type startRequest struct {
	seed     uint64
	settings string // lines in the form path=value
}

func decodeStart(r *fieldReader) (startRequest, error) {
	m := startRequest{seed: r.uint64()}
	m.settings = string(r.bytes(r.count(int(r.uint32()), 1)))
	return m, r.err
}

// nodeList is a codeNodeList record. Later nodeUpdates refer to the list by its number.
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

// decodeNode decodes an element of a node list. The fields must be read in the order of the record.
func decodeNode(r *fieldReader) placement.Node {
	node := placement.Node{StartedAt: placement.DistantPast}
	node.FreeCores = r.float32()
	node.ID = placement.NodeID(r.uint32())
	node.Zone = placement.ZoneID(r.uint16())
	node.FreeMemory = r.float32()
	node.Kind = placement.KindID(r.uint8())
	node.Cell = placement.CellID(r.uint16())
	node.State = nodeState(r.uint8())
	r.skip(weightSize)
	if started := r.uint64(); started > 0 {
		node.StartedAt = millis(started)
	}
	return node
}

// nodeState converts the code of a node state. Unknown codes become Removed, so that the node gets no binds.
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

// nodeUpdate is a codeNodeUpdate record: a node list from discovery, or a failed poll.
type nodeUpdate struct {
	kind          placement.NodeUpdateKind // valid if kindSupported
	kindSupported bool
	list          uint32 // number of the node list
}

func decodeNodeUpdate(r *fieldReader) (nodeUpdate, error) {
	var m nodeUpdate
	m.kind, m.kindSupported = nodeUpdateKind(r.uint8())
	r.skip(revisionSize)
	m.list = r.uint32()
	return m, r.err
}

// nodeUpdateKind converts the code of a kind of node update. supported is false for unknown codes.
func nodeUpdateKind(code uint8) (kind placement.NodeUpdateKind, supported bool) {
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

// decodeRequest decodes a codePlaceRequest record.
func decodeRequest(r *fieldReader) (placement.Workload, error) {
	var w placement.Workload
	w.ID = placement.WorkloadID(r.uint32())
	w.Group = placement.GroupID(r.uint16())
	r.skip(tenantSize + requestKeySize)
	w.PendingTimeout = millis(r.uint64())
	r.skip(durationSize)
	w.Service = placement.ServiceID(r.uint64())
	w.Cores = r.float32()
	w.Memory = r.float32()
	w.Retried = r.uint8()&optionRetried != 0
	return w, r.err
}

// runningWorkload is a codeRunningWorkload record: a workload that the instance must adopt, because it ran before the
// instance started or because a node accepted an abandoned bind.
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

// bindAccepted is a codeBindAccepted record.
type bindAccepted struct {
	workload placement.WorkloadID
	bind     int
}

func decodeBindAccepted(r *fieldReader) (bindAccepted, error) {
	var m bindAccepted
	m.workload = placement.WorkloadID(r.uint32())
	m.bind = int(r.uint8())
	r.skip(nodeIDSize + durationSize)
	return m, r.err
}

// usageReport is a codeUsageReport record.
type usageReport struct {
	workload      placement.WorkloadID
	bind          int
	kind          placement.UsageKind // valid if kindSupported
	kindSupported bool
	level         float64
}

func decodeUsageReport(r *fieldReader) (usageReport, error) {
	var m usageReport
	m.workload = placement.WorkloadID(r.uint32())
	m.bind = int(r.uint8())
	m.kind, m.kindSupported = usageKind(r.uint8())
	r.skip(nodeIDSize)
	m.level = r.float32()
	return m, r.err
}

// usageKind converts the code of a kind of usage report. supported is false for unknown codes.
func usageKind(code uint8) (kind placement.UsageKind, supported bool) {
	switch code {
	case usageRunning:
		return placement.Running, true
	case usageCores:
		return placement.CoresUsed, true
	default:
		return 0, false
	}
}

// bindEnded is a codeBindEnded record: a bind failed, or its workload ran and ended.
type bindEnded struct {
	workload placement.WorkloadID
	bind     int
	node     placement.NodeID
	result   placement.Result // all but the load report
	load     []float64        // values of the load report, in the order of instance.loadFields; empty if absent
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

// reason converts the code of the reason for which a node rejected a bind. The protocol has the same numbers as package
// placement. Unknown codes become ReasonUnspecified.
func reason(code uint32) placement.Reason {
	if code > uint32(placement.Drained) {
		return placement.ReasonUnspecified
	}
	return placement.Reason(code)
}

// resultKind converts the code of a bind's result. All other codes, including that of success, become OutcomeUnknown.
func resultKind(code uint8) placement.ResultKind {
	switch code {
	case resultRejected:
		return placement.RejectedByNode
	case resultTimedOut:
		return placement.TimedOut
	case resultNotDelivered:
		return placement.NotDelivered
	case resultNotAttempted:
		return placement.NotAttempted
	default:
		return placement.OutcomeUnknown
	}
}

// healthCheckEnded is a codeHealthCheckEnded record.
type healthCheckEnded struct {
	node    placement.NodeID
	healthy bool
	load    []float64 // see bindEnded.load
}

func decodeHealthCheckEnded(r *fieldReader) (healthCheckEnded, error) {
	r.skip(durationSize)
	var m healthCheckEnded
	m.healthy = r.uint8() == healthOK
	m.node = placement.NodeID(r.uint32())
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

// decodeWakeup checks the length of a codeWakeup record. Its only field, the timer name, is the same for all timers.
func decodeWakeup(r *fieldReader) error {
	r.skip(timerNameSize)
	return r.err
}
