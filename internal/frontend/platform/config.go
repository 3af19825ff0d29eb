package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"strconv"

	"grebeglade/internal/settings"
)

// Config is what the platform tells an allocator at its start.
type Config struct {
	Name             string
	Listen           string
	DiscoveryAddress string // address of the journal service
	Seed             uint64
	Limits           Limits
	Told             *settings.Received
	Known            []json.RawMessage // the journal's events up to Pos
	Pos              uint64
}

// Limits are those of the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// leastSockets leaves a dozen descriptors for nodes beside the owners' share and what is kept.
const leastSockets = 64

// ReadConfig reads the file that the platform gives. Listen, where given, is the address that the environment names.
func ReadConfig(file, listen string) (*Config, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the platform's configuration: %w", err)
	}
	var raw struct {
		Name, Listen, Seed, Journal string
		Limits                      Limits
		Known                       struct {
			Pos     uint64
			Entries []json.RawMessage
		}
		Settings json.RawMessage
	}
	if err := json.Unmarshal(b, &raw); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	c := &Config{
		Name: raw.Name, Listen: raw.Listen, DiscoveryAddress: raw.Journal, Limits: raw.Limits, Known: raw.Known.Entries,
		Pos: raw.Known.Pos,
	}
	if listen != "" {
		c.Listen = listen
	}
	if c.Told, err = settings.FromJSON(raw.Settings); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		h := fnv.New64a()
		h.Write([]byte(raw.Seed))
		c.Seed = h.Sum64()
	}
	switch {
	case c.Listen == "":
		return nil, fmt.Errorf("%s: listen is missing; give the address that clients connect to", file)
	case c.DiscoveryAddress == "":
		return nil, fmt.Errorf("%s: journal is missing; give the journal service's address", file)
	case c.Limits.Sockets < leastSockets:
		return nil, fmt.Errorf("%s: limits.sockets is %d; an allocator needs %d or more", file, c.Limits.Sockets, leastSockets)
	case c.Limits.MemoryMB <= 0:
		return nil, fmt.Errorf("%s: limits.memory_mb is %d; it must be above 0", file, c.Limits.MemoryMB)
	}
	return c, nil
}
