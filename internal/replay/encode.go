package replay

import (
	"grebeglade/placement"
	"grebeglade/trace/tracepb"
)

// The functions below convert between the module's types and those of a trace. Every value is kept exactly.

func encodeSettings(s placement.Settings) *tracepb.Settings {
	e := &tracepb.Settings{
		Allocators: int64(s.Allocators), Ordinal: int64(s.Ordinal), ColdFor: float64(s.WarmUpDuration),
		ColdFrom: s.InitialRate, ColdBears: s.WarmUpBudget, OverloadFor: float64(s.OverloadWindow), MustAsk: s.PolledDiscovery,
		AskWithin: float64(s.PollInterval), ConfirmsRunning: s.ConfirmsRunning, ReportsUse: s.ReportsUsage,
		RoomInList: s.EntriesCarryCapacity, MaxBinds: int64(s.MaxBinds), MayProbe: s.HealthChecksAllowed,
	}
	for _, k := range s.NodeKinds {
		e.Kinds = append(e.Kinds, &tracepb.Size{Cores: k.Cores, Memory: k.Memory})
	}
	for _, g := range s.Groups {
		e.Groups = append(e.Groups, &tracepb.Group{
			Target: float64(g.LatencyObjective), Utility: g.PriorityWeight, Effect: uint32(g.Idempotency), DedupScope: uint32(g.KeyScope),
			DedupWindow: float64(g.KeyWindow), Spread: uint32(g.SpreadScope), SpreadMost: int64(g.MaxPerScope), Calm: g.FullServiceUtilization,
			Fade: g.DegradationRange, Kind: int64(g.RequiredKind),
		})
	}
	return e
}

func decodeSettings(e *tracepb.Settings) placement.Settings {
	s := placement.Settings{
		Allocators: int(e.GetAllocators()), Ordinal: int(e.GetOrdinal()),
		WarmUpDuration: placement.Millis(e.GetColdFor()), InitialRate: e.GetColdFrom(), WarmUpBudget: e.GetColdBears(),
		OverloadWindow: placement.Millis(e.GetOverloadFor()), PolledDiscovery: e.GetMustAsk(), PollInterval: placement.Millis(e.GetAskWithin()),
		ConfirmsRunning: e.GetConfirmsRunning(), ReportsUsage: e.GetReportsUse(), EntriesCarryCapacity: e.GetRoomInList(),
		MaxBinds: int(e.GetMaxBinds()), HealthChecksAllowed: e.GetMayProbe(),
	}
	for _, k := range e.GetKinds() {
		s.NodeKinds = append(s.NodeKinds, placement.NodeKind{Cores: k.Cores, Memory: k.Memory})
	}
	for _, g := range e.GetGroups() {
		s.Groups = append(s.Groups, placement.Group{
			LatencyObjective: placement.Millis(g.Target), PriorityWeight: g.Utility, Idempotency: placement.Idempotency(g.Effect),
			KeyScope: placement.Scope(g.DedupScope), KeyWindow: placement.Millis(g.DedupWindow), SpreadScope: placement.Scope(g.Spread),
			MaxPerScope: int(g.SpreadMost), FullServiceUtilization: g.Calm, DegradationRange: g.Fade, RequiredKind: int(g.Kind),
		})
	}
	return s
}

func encodeWorkload(w placement.Workload) *tracepb.Workload {
	return &tracepb.Workload{
		Id: uint32(w.ID), Service: uint64(w.Service), Group: uint32(w.Group), Cores: w.Cores, Memory: w.Memory,
		Left: float64(w.PendingTimeout), Again: w.Retried,
	}
}

func decodeWorkload(e *tracepb.Workload) placement.Workload {
	return placement.Workload{
		ID: placement.WorkloadID(e.GetId()), Service: placement.ServiceID(e.GetService()), Group: placement.GroupID(e.GetGroup()),
		Cores: e.GetCores(), Memory: e.GetMemory(), PendingTimeout: placement.Millis(e.GetLeft()), Retried: e.GetAgain(),
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
			Born: float64(n.StartedAt), FreeCores: n.FreeCores, FreeMemory: n.FreeMemory,
		}
	}
	return all
}

func decodeNodes(all []*tracepb.Node) []placement.Node {
	nodes := make([]placement.Node, len(all))
	for i, n := range all {
		nodes[i] = placement.Node{
			ID: placement.NodeID(n.Id), State: placement.NodeState(n.State), Kind: placement.KindID(n.Kind),
			Zone: placement.ZoneID(n.Zone), Cell: placement.CellID(n.Cell), StartedAt: placement.Millis(n.Born), FreeCores: n.FreeCores,
			FreeMemory: n.FreeMemory,
		}
	}
	return nodes
}

func encodeStep(s placement.Step) *tracepb.Step {
	return &tracepb.Step{
		Kind: uint32(s.Kind), Node: uint32(s.Node), Timeout: float64(s.Timeout), Until: float64(s.WakeAt),
	}
}

func encodeMaintenance(c placement.Maintenance) *tracepb.Chores {
	e := &tracepb.Chores{Watch: c.Subscribe, Again: float64(c.NextAt)}
	for _, id := range c.Migrations {
		e.Moves = append(e.Moves, uint32(id))
	}
	for _, id := range c.HealthChecks {
		e.Probes = append(e.Probes, uint32(id))
	}
	return e
}

func encodeResult(id placement.WorkloadID, r placement.Result) *tracepb.Next {
	return &tracepb.Next{
		Workload: uint32(id), Kind: uint32(r.Kind), Reason: uint32(r.Reason), Over: r.Final, Load: encodeLoad(r.Load),
	}
}

func decodeResult(n *tracepb.Next) placement.Result {
	return placement.Result{
		Kind: placement.ResultKind(n.Kind), Reason: placement.Reason(n.Reason), Final: n.Over, Load: decodeLoad(n.Load),
	}
}
