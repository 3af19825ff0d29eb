package config

import (
	"encoding/json"

	"grebeglade/placement"
)

// The types below are an Allocator as JSON shows it. Their field names are what scripts read from
// "grebeglade config check --json", so they stay as they are whatever the settings' own fields are named.
type (
	allocatorJSON struct {
		Name, Listen, List, Zone string
		Settings                 settingsJSON
		Groups, Kinds            []string
		Limits                   limitsJSON
		Log                      Log
		State                    State `json:"state"`
		Trace                    traceJSON
	}

	settingsJSON struct {
		Allocators, Ordinal int
		Groups              []groupJSON
		Kinds               []kindJSON
		ColdFor             float64
		ColdFrom, ColdBears float64
		OverloadFor         float64
		MustAsk             bool
		AskWithin           float64
		ConfirmsRunning     bool
		ReportsUse          bool
		RoomInList          bool
		MaxBinds            int
		MayProbe            bool
	}

	groupJSON struct {
		Target, Utility float64
		Effect          uint8
		DedupScope      uint8
		DedupWindow     float64
		Spread          uint8
		SpreadMost      int
		Calm, Fade      float64
		Kind            int
	}

	kindJSON struct{ Cores, Memory float64 }

	limitsJSON struct {
		Workloads, Connections int
		Frame, Waiting         int64
	}

	traceJSON struct {
		Dir   string
		File  int64
		Age   float64
		Total int64
	}
)

// MarshalJSON returns the allocator's settings under the names that "grebeglade config check --json" prints.
func (a Allocator) MarshalJSON() ([]byte, error) {
	return json.Marshal(allocatorJSON{
		Name: a.Name, Listen: a.ListenAddress, List: a.DiscoveryAddress, Zone: a.Zone,
		Settings: newSettingsJSON(&a.Settings), Groups: a.GroupNames, Kinds: a.KindNames,
		Limits: limitsJSON{
			Workloads: a.Limits.MaxWorkloads, Connections: a.Limits.MaxConnections,
			Frame: a.Limits.MaxFrameBytes, Waiting: a.Limits.MaxWriteBuffer,
		},
		Log: a.Log, State: a.State,
		Trace: traceJSON{Dir: a.Trace.Dir, File: a.Trace.MaxFileBytes, Age: float64(a.Trace.MaxFileAge), Total: a.Trace.MaxTotalBytes},
	})
}

func newSettingsJSON(s *placement.Settings) settingsJSON {
	out := settingsJSON{
		Allocators: s.Allocators, Ordinal: s.Ordinal, ColdFor: float64(s.WarmUpDuration), ColdFrom: s.InitialRate,
		ColdBears: s.WarmUpBudget, OverloadFor: float64(s.OverloadWindow), MustAsk: s.PolledDiscovery,
		AskWithin: float64(s.PollInterval), ConfirmsRunning: s.ConfirmsRunning, ReportsUse: s.ReportsUsage,
		RoomInList: s.EntriesCarryCapacity, MaxBinds: s.MaxBinds, MayProbe: s.HealthChecksAllowed,
	}
	for _, g := range s.Groups {
		out.Groups = append(out.Groups, groupJSON{
			Target: float64(g.LatencyObjective), Utility: g.PriorityWeight, Effect: uint8(g.Idempotency), DedupScope: uint8(g.KeyScope),
			DedupWindow: float64(g.KeyWindow), Spread: uint8(g.SpreadScope), SpreadMost: g.MaxPerScope,
			Calm: g.FullServiceUtilization, Fade: g.DegradationRange, Kind: g.RequiredKind,
		})
	}
	for _, k := range s.NodeKinds {
		out.Kinds = append(out.Kinds, kindJSON{Cores: k.Cores, Memory: k.Memory})
	}
	return out
}
