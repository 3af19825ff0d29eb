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
		Name: a.Name, Listen: a.Listen, List: a.List, Zone: a.Zone,
		Settings: newSettingsJSON(&a.Settings), Groups: a.Groups, Kinds: a.Kinds,
		Limits: limitsJSON{
			Workloads: a.Limits.Workloads, Connections: a.Limits.Connections,
			Frame: a.Limits.Frame, Waiting: a.Limits.Waiting,
		},
		Log: a.Log, State: a.State,
		Trace: traceJSON{Dir: a.Trace.Dir, File: a.Trace.File, Age: float64(a.Trace.Age), Total: a.Trace.Total},
	})
}

func newSettingsJSON(s *placement.Settings) settingsJSON {
	out := settingsJSON{
		Allocators: s.Allocators, Ordinal: s.Ordinal, ColdFor: float64(s.ColdFor), ColdFrom: s.ColdFrom,
		ColdBears: s.ColdBears, OverloadFor: float64(s.OverloadFor), MustAsk: s.MustAsk,
		AskWithin: float64(s.AskWithin), ConfirmsRunning: s.ConfirmsRunning, ReportsUse: s.ReportsUse,
		RoomInList: s.RoomInList, MaxBinds: s.MaxBinds, MayProbe: s.MayProbe,
	}
	for _, g := range s.Groups {
		out.Groups = append(out.Groups, groupJSON{
			Target: float64(g.Target), Utility: g.Utility, Effect: uint8(g.Effect), DedupScope: uint8(g.DedupScope),
			DedupWindow: float64(g.DedupWindow), Spread: uint8(g.Spread), SpreadMost: g.SpreadMost,
			Calm: g.Calm, Fade: g.Fade, Kind: g.Kind,
		})
	}
	for _, k := range s.Kinds {
		out.Kinds = append(out.Kinds, kindJSON{Cores: k.Cores, Memory: k.Memory})
	}
	return out
}
