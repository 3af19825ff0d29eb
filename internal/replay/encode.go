// Package replay stands between an engine and the module: Tap writes down every call and what came of it, Run
// feeds the calls of a trace to a module again and compares every step.
//
// Times are milliseconds. Taps and runs belong to one goroutine.
package replay

import (
	"grebeglade/choice"
	"grebeglade/trace/tracepb"
)

func encodeSettings(s choice.Settings) *tracepb.Settings {
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

func decodeSettings(e *tracepb.Settings) choice.Settings {
	s := choice.Settings{
		Allocators: int(e.GetAllocators()), Ordinal: int(e.GetOrdinal()),
		ColdFor: choice.Millis(e.GetColdFor()), ColdFrom: e.GetColdFrom(), ColdBears: e.GetColdBears(),
		OverloadFor: choice.Millis(e.GetOverloadFor()), MustAsk: e.GetMustAsk(), AskWithin: choice.Millis(e.GetAskWithin()),
		ConfirmsRunning: e.GetConfirmsRunning(), ReportsUse: e.GetReportsUse(), RoomInList: e.GetRoomInList(),
		MaxBinds: int(e.GetMaxBinds()), MayProbe: e.GetMayProbe(),
	}
	for _, k := range e.GetKinds() {
		s.Kinds = append(s.Kinds, choice.Kind{Cores: k.Cores, Memory: k.Memory})
	}
	for _, g := range e.GetGroups() {
		s.Groups = append(s.Groups, choice.Group{
			Target: choice.Millis(g.Target), Utility: g.Utility, Effect: choice.Effect(g.Effect),
			DedupScope: choice.Scope(g.DedupScope), DedupWindow: choice.Millis(g.DedupWindow), Spread: choice.Scope(g.Spread),
			SpreadMost: int(g.SpreadMost), Calm: g.Calm, Fade: g.Fade, Kind: int(g.Kind),
		})
	}
	return s
}

func encodeWorkload(w choice.Workload) *tracepb.Workload {
	return &tracepb.Workload{
		Id: uint32(w.ID), Service: uint64(w.Service), Group: uint32(w.Group), Cores: w.Cores, Memory: w.Memory,
		Left: float64(w.Left), Again: w.Again,
	}
}

func decodeWorkload(e *tracepb.Workload) choice.Workload {
	return choice.Workload{
		ID: choice.WorkloadID(e.GetId()), Service: choice.ServiceID(e.GetService()), Group: choice.GroupID(e.GetGroup()),
		Cores: e.GetCores(), Memory: e.GetMemory(), Left: choice.Millis(e.GetLeft()), Again: e.GetAgain(),
	}
}

func encodeLoad(l *choice.Load) *tracepb.Load {
	if l == nil {
		return nil
	}
	return &tracepb.Load{
		SpareCores: l.SpareCores, SpareMemory: l.SpareMemory, Backlog: l.Backlog, Utilization: l.Utilization,
	}
}

func decodeLoad(e *tracepb.Load) *choice.Load {
	if e == nil {
		return nil
	}
	return &choice.Load{
		SpareCores: e.SpareCores, SpareMemory: e.SpareMemory, Backlog: e.Backlog, Utilization: e.Utilization,
	}
}

func encodeNodes(nodes []choice.Node) []*tracepb.Node {
	all := make([]*tracepb.Node, len(nodes))
	for i, n := range nodes {
		all[i] = &tracepb.Node{
			Id: uint32(n.ID), State: uint32(n.State), Kind: uint32(n.Kind), Zone: uint32(n.Zone), Cell: uint32(n.Cell),
			Born: float64(n.Born), FreeCores: n.FreeCores, FreeMemory: n.FreeMemory,
		}
	}
	return all
}

func decodeNodes(all []*tracepb.Node) []choice.Node {
	nodes := make([]choice.Node, len(all))
	for i, n := range all {
		nodes[i] = choice.Node{
			ID: choice.NodeID(n.Id), State: choice.NodeState(n.State), Kind: choice.KindID(n.Kind),
			Zone: choice.ZoneID(n.Zone), Cell: choice.CellID(n.Cell), Born: choice.Millis(n.Born), FreeCores: n.FreeCores,
			FreeMemory: n.FreeMemory,
		}
	}
	return nodes
}

func encodeStep(s choice.Step) *tracepb.Step {
	return &tracepb.Step{
		Kind: uint32(s.Kind), Node: uint32(s.Node), Timeout: float64(s.Timeout), Until: float64(s.Until),
	}
}

func encodeChores(c choice.Chores) *tracepb.Chores {
	e := &tracepb.Chores{Watch: c.Watch, Again: float64(c.Again)}
	for _, id := range c.Moves {
		e.Moves = append(e.Moves, uint32(id))
	}
	for _, id := range c.Probes {
		e.Probes = append(e.Probes, uint32(id))
	}
	return e
}
