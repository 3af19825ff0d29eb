package replay

import (
	"grebeglade/placement"
	"grebeglade/trace/tracepb"
)

// The functions below, and those in encodesettings.go, convert between the placement module's types and those of a
// trace, without loss of precision.

// encodeWorkload converts a workload to its encoding in a trace.
func encodeWorkload(w placement.Workload) *tracepb.Workload {
	return &tracepb.Workload{
		Id:             uint32(w.ID),
		Service:        uint64(w.Service),
		Group:          uint32(w.Group),
		Cores:          w.Cores,
		Memory:         w.Memory,
		PendingTimeout: float64(w.PendingTimeout),
		Retried:        w.Retried,
	}
}

// decodeWorkload converts a recorded workload.
func decodeWorkload(e *tracepb.Workload) placement.Workload {
	return placement.Workload{
		ID:             placement.WorkloadID(e.GetId()),
		Service:        placement.ServiceID(e.GetService()),
		Group:          placement.GroupID(e.GetGroup()),
		Cores:          e.GetCores(),
		Memory:         e.GetMemory(),
		PendingTimeout: placement.Millis(e.GetPendingTimeout()),
		Retried:        e.GetRetried(),
	}
}

// encodeLoad converts a load report to its encoding in a trace, and nil to nil.
func encodeLoad(l *placement.LoadReport) *tracepb.Load {
	if l == nil {
		return nil
	}
	return &tracepb.Load{
		SpareCores:  l.SpareCores,
		SpareMemory: l.SpareMemory,
		Backlog:     l.Backlog,
		Utilization: l.Utilization,
	}
}

// decodeLoad converts a recorded load report, and nil to nil.
func decodeLoad(e *tracepb.Load) *placement.LoadReport {
	if e == nil {
		return nil
	}
	return &placement.LoadReport{
		SpareCores:  e.SpareCores,
		SpareMemory: e.SpareMemory,
		Backlog:     e.Backlog,
		Utilization: e.Utilization,
	}
}

// encodeNodes converts nodes to their encoding in a trace.
func encodeNodes(nodes []placement.Node) []*tracepb.Node {
	encoded := make([]*tracepb.Node, len(nodes))
	for i, n := range nodes {
		encoded[i] = &tracepb.Node{
			Id:         uint32(n.ID),
			State:      uint32(n.State),
			Kind:       uint32(n.Kind),
			Zone:       uint32(n.Zone),
			Cell:       uint32(n.Cell),
			StartedAt:  float64(n.StartedAt),
			FreeCores:  n.FreeCores,
			FreeMemory: n.FreeMemory,
		}
	}
	return encoded
}

// decodeNodes converts recorded nodes.
func decodeNodes(encoded []*tracepb.Node) []placement.Node {
	nodes := make([]placement.Node, len(encoded))
	for i, n := range encoded {
		nodes[i] = placement.Node{
			ID:         placement.NodeID(n.Id),
			State:      placement.NodeState(n.State),
			Kind:       placement.KindID(n.Kind),
			Zone:       placement.ZoneID(n.Zone),
			Cell:       placement.CellID(n.Cell),
			StartedAt:  placement.Millis(n.StartedAt),
			FreeCores:  n.FreeCores,
			FreeMemory: n.FreeMemory,
		}
	}
	return nodes
}

func encodeStep(s placement.Step) *tracepb.Step {
	return &tracepb.Step{
		Kind:    uint32(s.Kind),
		Node:    uint32(s.Node),
		Timeout: float64(s.Timeout),
		WakeAt:  float64(s.WakeAt),
	}
}

// encodeMaintenance converts maintenance actions to their encoding in a trace.
func encodeMaintenance(m placement.Maintenance) *tracepb.Maintenance {
	encoded := &tracepb.Maintenance{Subscribe: m.Subscribe, NextAt: float64(m.NextAt)}
	for _, id := range m.Migrations {
		encoded.Migrations = append(encoded.Migrations, uint32(id))
	}
	for _, id := range m.HealthChecks {
		encoded.HealthChecks = append(encoded.HealthChecks, uint32(id))
	}
	return encoded
}

func encodeResult(id placement.WorkloadID, r placement.Result) *tracepb.StepResult {
	return &tracepb.StepResult{
		Workload: uint32(id),
		Kind:     uint32(r.Kind),
		Reason:   uint32(r.Reason),
		Final:    r.Final,
		Load:     encodeLoad(r.Load),
	}
}

func decodeResult(n *tracepb.StepResult) placement.Result {
	return placement.Result{
		Kind:   placement.ResultKind(n.Kind),
		Reason: placement.Reason(n.Reason),
		Final:  n.Final,
		Load:   decodeLoad(n.Load),
	}
}
