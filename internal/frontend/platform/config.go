package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"strconv"

	"grebeglade/internal/settings"
)

// Config is what the platform gives an allocator at its start.
type Config struct {
	Name             string
	Listen           string // address that clients connect to
	DiscoveryAddress string
	Seed             uint64
	Limits           Limits
	Settings         *settings.Received
	KnownEvents      []json.RawMessage // the discovery service's events up to Revision
	Revision         uint64
}

// Limits are those of the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// minSockets leaves a dozen descriptors for nodes beside the clients' share and the reserve.
const minSockets = 64

// ReadConfig reads the file that the platform writes. Listen, unless empty, takes the place of the file's address.
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
		Name:             raw.Name,
		Listen:           raw.Listen,
		DiscoveryAddress: raw.Journal,
		Seed:             parseSeed(raw.Seed),
		Limits:           raw.Limits,
		KnownEvents:      raw.Known.Entries,
		Revision:         raw.Known.Pos,
	}
	if listen != "" {
		c.Listen = listen
	}
	if c.Settings, err = settings.FromJSON(raw.Settings); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return c, nil
}

// parseSeed reads a seed in hexadecimal digits. Any other text is hashed.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

func (c *Config) validate() error {
	switch {
	case c.Listen == "":
		return fmt.Errorf("listen is missing; give the address that clients connect to")
	case c.DiscoveryAddress == "":
		return fmt.Errorf("journal is missing; give the journal service's address")
	case c.Limits.Sockets < minSockets:
		return fmt.Errorf("limits.sockets is %d; an allocator needs %d or more", c.Limits.Sockets, minSockets)
	case c.Limits.MemoryMB <= 0:
		return fmt.Errorf("limits.memory_mb is %d; it must be above 0", c.Limits.MemoryMB)
	}
	return nil
}
