// Package replay stands between an engine and the module: Tap writes down every call and what came of it, Run
// feeds the calls of a trace to a module again and compares every step.
//
// Times are milliseconds. Taps and runs belong to one goroutine.
package replay

import (
	"grebeglade/placement"
	"grebeglade/trace/tracepb"
)

func encodeSettings(s placement.Settings) *tracepb.Settings {
	e := &tracepb.Settings{
		Allocators: int64(s.Allocators), Ordinal: int64(s.Ordinal), ColdFor: float64(s.ColdFor),
		ColdFrom: s.ColdFrom, ColdBears: s.ColdBears, OverloadFor: float64(s.OverloadFor), MustAsk: s.MustAsk,
		AskWithin: float64(s.AskWithin), ConfirmsRunning: s.ConfirmsRunning, ReportsUse: s.ReportsUse,
		RoomInList: s.RoomInList, MaxBinds: int64(s.MaxBinds), MayProbe: s.MayProbe,
	}
	for _, k := range s.Kinds {
		e.Kinds = append(e.Kinds, &tracepb.Size{Cores: k.Cores, Memory: k.Memory})
	}
	for _, g := range s.Groups {
		e.Groups = append(e.Groups, &tracepb.Group{
			Target: float64(g.Target), Utility: g.Utility, Effect: uint32(g.Effect), DedupScope: uint32(g.DedupScope),
			DedupWindow: float64(g.DedupWindow), Spread: uint32(g.Spread), SpreadMost: int64(g.SpreadMost), Calm: g.Calm,
			Fade: g.Fade, Kind: int64(g.Kind),
		})
	}
	return e
}

func decodeSettings(e *tracepb.Settings) placement.Settings {
	s := placement.Settings{
		Allocators: int(e.GetAllocators()), Ordinal: int(e.GetOrdinal()),
		ColdFor: placement.Millis(e.GetColdFor()), ColdFrom: e.GetColdFrom(), ColdBears: e.GetColdBears(),
		OverloadFor: placement.Millis(e.GetOverloadFor()), MustAsk: e.GetMustAsk(), AskWithin: placement.Millis(e.GetAskWithin()),
		ConfirmsRunning: e.GetConfirmsRunning(), ReportsUse: e.GetReportsUse(), RoomInList: e.GetRoomInList(),
		MaxBinds: int(e.GetMaxBinds()), MayProbe: e.GetMayProbe(),
	}
	for _, k := range e.GetKinds() {
		s.Kinds = append(s.Kinds, placement.Kind{Cores: k.Cores, Memory: k.Memory})
	}
	for _, g := range e.GetGroups() {
		s.Groups = append(s.Groups, placement.Group{
			Target: placement.Millis(g.Target), Utility: g.Utility, Effect: placement.Effect(g.Effect),
			DedupScope: placement.Scope(g.DedupScope), DedupWindow: placement.Millis(g.DedupWindow), Spread: placement.Scope(g.Spread),
			SpreadMost: int(g.SpreadMost), Calm: g.Calm, Fade: g.Fade, Kind: int(g.Kind),
		})
	}
	return s
}

func encodeWorkload(w placement.Workload) *tracepb.Workload {
	return &tracepb.Workload{
		Id: uint32(w.ID), Service: uint64(w.Service), Group: uint32(w.Group), Cores: w.Cores, Memory: w.Memory,
		Left: float64(w.Left), Again: w.Again,
	}
}

func decodeWorkload(e *tracepb.Workload) placement.Workload {
	return placement.Workload{
		ID: placement.WorkloadID(e.GetId()), Service: placement.ServiceID(e.GetService()), Group: placement.GroupID(e.GetGroup()),
		Cores: e.GetCores(), Memory: e.GetMemory(), Left: placement.Millis(e.GetLeft()), Again: e.GetAgain(),
	}
}

func encodeLoad(l *placement.Load) *tracepb.Load {
	if l == nil {
		return nil
	}
	return &tracepb.Load{
		SpareCores: l.SpareCores, SpareMemory: l.SpareMemory, Backlog: l.Backlog, Utilization: l.Utilization,
	}
}

func decodeLoad(e *tracepb.Load) *placement.Load {
	if e == nil {
		return nil
	}
	return &placement.Load{
		SpareCores: e.SpareCores, SpareMemory: e.SpareMemory, Backlog: e.Backlog, Utilization: e.Utilization,
	}
}

func encodeNodes(nodes []placement.Node) []*tracepb.Node {
	all := make([]*tracepb.Node, len(nodes))
	for i, n := range nodes {
		all[i] = &tracepb.Node{
			Id: uint32(n.ID), State: uint32(n.State), Kind: uint32(n.Kind), Zone: uint32(n.Zone), Cell: uint32(n.Cell),
			Born: float64(n.Born), FreeCores: n.FreeCores, FreeMemory: n.FreeMemory,
		}
	}
	return all
}

func decodeNodes(all []*tracepb.Node) []placement.Node {
	nodes := make([]placement.Node, len(all))
	for i, n := range all {
		nodes[i] = placement.Node{
			ID: placement.NodeID(n.Id), State: placement.NodeState(n.State), Kind: placement.KindID(n.Kind),
			Zone: placement.ZoneID(n.Zone), Cell: placement.CellID(n.Cell), Born: placement.Millis(n.Born), FreeCores: n.FreeCores,
			FreeMemory: n.FreeMemory,
		}
	}
	return nodes
}

func encodeStep(s placement.Step) *tracepb.Step {
	return &tracepb.Step{
		Kind: uint32(s.Kind), Node: uint32(s.Node), Timeout: float64(s.Timeout), Until: float64(s.Until),
	}
}

func encodeChores(c placement.Chores) *tracepb.Chores {
	e := &tracepb.Chores{Watch: c.Watch, Again: float64(c.Again)}
	for _, id := range c.Moves {
		e.Moves = append(e.Moves, uint32(id))
	}
	for _, id := range c.Probes {
		e.Probes = append(e.Probes, uint32(id))
	}
	return e
}
