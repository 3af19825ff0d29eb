package replay

import (
	"grebeglade/placement"
	"grebeglade/trace/tracepb"
)

// The functions below convert between the module's types and those of a trace. Every value is kept exactly.

func encodeSettings(s placement.Settings) *tracepb.Settings {
	e := &tracepb.Settings{
		Allocators: int64(s.Allocators), Ordinal: int64(s.Ordinal), WarmUpDuration: float64(s.WarmUpDuration),
		InitialRate: s.InitialRate, WarmUpBudget: s.WarmUpBudget, OverloadWindow: float64(s.OverloadWindow), PolledDiscovery: s.PolledDiscovery,
		PollInterval: float64(s.PollInterval), ConfirmsRunning: s.ConfirmsRunning, ReportsUsage: s.ReportsUsage,
		EntriesCarryCapacity: s.EntriesCarryCapacity, MaxBinds: int64(s.MaxBinds), HealthChecksAllowed: s.HealthChecksAllowed,
	}
	for _, k := range s.NodeKinds {
		e.NodeKinds = append(e.NodeKinds, &tracepb.NodeKind{Cores: k.Cores, Memory: k.Memory})
	}
	for _, g := range s.Groups {
		e.Groups = append(e.Groups, &tracepb.Group{
			LatencyObjective: float64(g.LatencyObjective), PriorityWeight: g.PriorityWeight, Idempotency: uint32(g.Idempotency), KeyScope: uint32(g.KeyScope),
			KeyWindow: float64(g.KeyWindow), SpreadScope: uint32(g.SpreadScope), MaxPerScope: int64(g.MaxPerScope), FullServiceUtilization: g.FullServiceUtilization,
			DegradationRange: g.DegradationRange, RequiredKind: int64(g.RequiredKind),
		})
	}
	return e
}

func decodeSettings(e *tracepb.Settings) placement.Settings {
	s := placement.Settings{
		Allocators: int(e.GetAllocators()), Ordinal: int(e.GetOrdinal()),
		WarmUpDuration: placement.Millis(e.GetWarmUpDuration()), InitialRate: e.GetInitialRate(), WarmUpBudget: e.GetWarmUpBudget(),
		OverloadWindow: placement.Millis(e.GetOverloadWindow()), PolledDiscovery: e.GetPolledDiscovery(), PollInterval: placement.Millis(e.GetPollInterval()),
		ConfirmsRunning: e.GetConfirmsRunning(), ReportsUsage: e.GetReportsUsage(), EntriesCarryCapacity: e.GetEntriesCarryCapacity(),
		MaxBinds: int(e.GetMaxBinds()), HealthChecksAllowed: e.GetHealthChecksAllowed(),
	}
	for _, k := range e.GetNodeKinds() {
		s.NodeKinds = append(s.NodeKinds, placement.NodeKind{Cores: k.Cores, Memory: k.Memory})
	}
	for _, g := range e.GetGroups() {
		s.Groups = append(s.Groups, placement.Group{
			LatencyObjective: placement.Millis(g.LatencyObjective), PriorityWeight: g.PriorityWeight, Idempotency: placement.Idempotency(g.Idempotency),
			KeyScope: placement.Scope(g.KeyScope), KeyWindow: placement.Millis(g.KeyWindow), SpreadScope: placement.Scope(g.SpreadScope),
			MaxPerScope: int(g.MaxPerScope), FullServiceUtilization: g.FullServiceUtilization, DegradationRange: g.DegradationRange, RequiredKind: int(g.RequiredKind),
		})
	}
	return s
}

func encodeWorkload(w placement.Workload) *tracepb.Workload {
	return &tracepb.Workload{
		Id: uint32(w.ID), Service: uint64(w.Service), Group: uint32(w.Group), Cores: w.Cores, Memory: w.Memory,
		PendingTimeout: float64(w.PendingTimeout), Retried: w.Retried,
	}
}

func decodeWorkload(e *tracepb.Workload) placement.Workload {
	return placement.Workload{
		ID: placement.WorkloadID(e.GetId()), Service: placement.ServiceID(e.GetService()), Group: placement.GroupID(e.GetGroup()),
		Cores: e.GetCores(), Memory: e.GetMemory(), PendingTimeout: placement.Millis(e.GetPendingTimeout()), Retried: e.GetRetried(),
	}
}

func encodeLoad(l *placement.LoadReport) *tracepb.Load {
	if l == nil {
		return nil
	}
	return &tracepb.Load{
		SpareCores: l.SpareCores, SpareMemory: l.SpareMemory, Backlog: l.Backlog, Utilization: l.Utilization,
	}
}

func decodeLoad(e *tracepb.Load) *placement.LoadReport {
	if e == nil {
		return nil
	}
	return &placement.LoadReport{
		SpareCores: e.SpareCores, SpareMemory: e.SpareMemory, Backlog: e.Backlog, Utilization: e.Utilization,
	}
}

func encodeNodes(nodes []placement.Node) []*tracepb.Node {
	all := make([]*tracepb.Node, len(nodes))
	for i, n := range nodes {
		all[i] = &tracepb.Node{
			Id: uint32(n.ID), State: uint32(n.State), Kind: uint32(n.Kind), Zone: uint32(n.Zone), Cell: uint32(n.Cell),
			StartedAt: float64(n.StartedAt), FreeCores: n.FreeCores, FreeMemory: n.FreeMemory,
		}
	}
	return all
}

func decodeNodes(all []*tracepb.Node) []placement.Node {
	nodes := make([]placement.Node, len(all))
	for i, n := range all {
		nodes[i] = placement.Node{
			ID: placement.NodeID(n.Id), State: placement.NodeState(n.State), Kind: placement.KindID(n.Kind),
			Zone: placement.ZoneID(n.Zone), Cell: placement.CellID(n.Cell), StartedAt: placement.Millis(n.StartedAt), FreeCores: n.FreeCores,
			FreeMemory: n.FreeMemory,
		}
	}
	return nodes
}

func encodeStep(s placement.Step) *tracepb.Step {
	return &tracepb.Step{
		Kind: uint32(s.Kind), Node: uint32(s.Node), Timeout: float64(s.Timeout), WakeAt: float64(s.WakeAt),
	}
}

func encodeMaintenance(c placement.Maintenance) *tracepb.Maintenance {
	e := &tracepb.Maintenance{Subscribe: c.Subscribe, NextAt: float64(c.NextAt)}
	for _, id := range c.Migrations {
		e.Migrations = append(e.Migrations, uint32(id))
	}
	for _, id := range c.HealthChecks {
		e.HealthChecks = append(e.HealthChecks, uint32(id))
	}
	return e
}

func encodeResult(id placement.WorkloadID, r placement.Result) *tracepb.StepResult {
	return &tracepb.StepResult{
		Workload: uint32(id), Kind: uint32(r.Kind), Reason: uint32(r.Reason), Final: r.Final, Load: encodeLoad(r.Load),
	}
}

func decodeResult(n *tracepb.StepResult) placement.Result {
	return placement.Result{
		Kind: placement.ResultKind(n.Kind), Reason: placement.Reason(n.Reason), Final: n.Final, Load: decodeLoad(n.Load),
	}
}
