package config

import (
	"encoding/json"
	"fmt"

	"grebeglade/placement"
)

// The types below are the JSON form of an Allocator. Scripts read their field names as the keys of
// "grebeglade config check --json", so a field must keep its name even when the field of Allocator is renamed.
type (
	allocatorJSON struct {
		Name     string
		Listen   string
		List     string
		Zone     string
		Settings placement.Settings // defines its keys by struct tags
		Groups   []string
		Kinds    []string
		Limits   limitsJSON
		Log      Log
		State    State `json:"state"`
		Trace    traceJSON
	}

	limitsJSON struct {
		Workloads   int
		Connections int
		Frame       int64
		Waiting     int64
	}

	traceJSON struct {
		Dir   string
		File  int64
		Age   float64
		Total int64
	}
)

// MarshalJSON returns the allocator's configuration with the keys that "grebeglade config check --json" prints.
func (a Allocator) MarshalJSON() ([]byte, error) {
	encoded, err := json.Marshal(allocatorJSON{
		Name:     a.Name,
		Listen:   a.ListenAddress,
		List:     a.DiscoveryAddress,
		Zone:     a.Zone,
		Settings: a.Settings,
		Groups:   a.GroupNames,
		Kinds:    a.KindNames,
		Limits: limitsJSON{
			Workloads:   a.Limits.MaxWorkloads,
			Connections: a.Limits.MaxConnections,
			Frame:       a.Limits.MaxFrameBytes,
			Waiting:     a.Limits.MaxWriteBuffer,
		},
		Log:   a.Log,
		State: a.State,
		Trace: traceJSON{
			Dir:   a.Trace.Dir,
			File:  a.Trace.MaxFileBytes,
			Age:   float64(a.Trace.MaxFileAge),
			Total: a.Trace.MaxTotalBytes,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("encode the configuration: %w", err)
	}
	return encoded, nil
}
