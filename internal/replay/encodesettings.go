package replay

import (
	"grebeglade/placement"
	"grebeglade/trace/tracepb"
)

// encodeSettings converts a module's settings to their encoding in the Start record of a trace.
func encodeSettings(settings placement.Settings) *tracepb.Settings {
	encoded := &tracepb.Settings{
		Allocators:           int64(settings.Allocators),
		Ordinal:              int64(settings.Ordinal),
		WarmUpDuration:       float64(settings.WarmUpDuration),
		InitialRate:          settings.InitialRate,
		WarmUpBudget:         settings.WarmUpBudget,
		OverloadWindow:       float64(settings.OverloadWindow),
		PolledDiscovery:      settings.PolledDiscovery,
		PollInterval:         float64(settings.PollInterval),
		ConfirmsRunning:      settings.ConfirmsRunning,
		ReportsUsage:         settings.ReportsUsage,
		EntriesCarryCapacity: settings.EntriesCarryCapacity,
		MaxBinds:             int64(settings.MaxBinds),
		HealthChecksAllowed:  settings.HealthChecksAllowed,
	}
	for _, kind := range settings.NodeKinds {
		encoded.NodeKinds = append(encoded.NodeKinds, &tracepb.NodeKind{Cores: kind.Cores, Memory: kind.Memory})
	}
	for _, group := range settings.Groups {
		encoded.Groups = append(encoded.Groups, encodeGroup(group))
	}
	return encoded
}

// encodeGroup converts a priority group to its encoding in a trace.
func encodeGroup(g placement.Group) *tracepb.Group {
	return &tracepb.Group{
		LatencyObjective:       float64(g.LatencyObjective),
		PriorityWeight:         g.PriorityWeight,
		Idempotency:            uint32(g.Idempotency),
		KeyScope:               uint32(g.KeyScope),
		KeyWindow:              float64(g.KeyWindow),
		SpreadScope:            uint32(g.SpreadScope),
		MaxPerScope:            int64(g.MaxPerScope),
		FullServiceUtilization: g.FullServiceUtilization,
		DegradationRange:       g.DegradationRange,
		RequiredKind:           int64(g.RequiredKind),
	}
}

// decodeSettings converts recorded settings to those of a module that replays the trace.
func decodeSettings(encoded *tracepb.Settings) placement.Settings {
	settings := placement.Settings{
		Allocators:           int(encoded.GetAllocators()),
		Ordinal:              int(encoded.GetOrdinal()),
		WarmUpDuration:       placement.Millis(encoded.GetWarmUpDuration()),
		InitialRate:          encoded.GetInitialRate(),
		WarmUpBudget:         encoded.GetWarmUpBudget(),
		OverloadWindow:       placement.Millis(encoded.GetOverloadWindow()),
		PolledDiscovery:      encoded.GetPolledDiscovery(),
		PollInterval:         placement.Millis(encoded.GetPollInterval()),
		ConfirmsRunning:      encoded.GetConfirmsRunning(),
		ReportsUsage:         encoded.GetReportsUsage(),
		EntriesCarryCapacity: encoded.GetEntriesCarryCapacity(),
		MaxBinds:             int(encoded.GetMaxBinds()),
		HealthChecksAllowed:  encoded.GetHealthChecksAllowed(),
	}
	for _, kind := range encoded.GetNodeKinds() {
		settings.NodeKinds = append(settings.NodeKinds, placement.NodeKind{Cores: kind.Cores, Memory: kind.Memory})
	}
	for _, group := range encoded.GetGroups() {
		settings.Groups = append(settings.Groups, decodeGroup(group))
	}
	return settings
}

// decodeGroup converts a recorded priority group.
func decodeGroup(g *tracepb.Group) placement.Group {
	return placement.Group{
		LatencyObjective:       placement.Millis(g.LatencyObjective),
		PriorityWeight:         g.PriorityWeight,
		Idempotency:            placement.Idempotency(g.Idempotency),
		KeyScope:               placement.Scope(g.KeyScope),
		KeyWindow:              placement.Millis(g.KeyWindow),
		SpreadScope:            placement.Scope(g.SpreadScope),
		MaxPerScope:            int(g.MaxPerScope),
		FullServiceUtilization: g.FullServiceUtilization,
		DegradationRange:       g.DegradationRange,
		RequiredKind:           int(g.RequiredKind),
	}
}
