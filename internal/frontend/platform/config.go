package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"strconv"

	"grebeglade/internal/settings"
)

// Config is the configuration that the platform gives an allocator at its start.
type Config struct {
	Name             string
	Listen           string // address that clients connect to
	DiscoveryAddress string
	Seed             uint64 // of the placement module and of the jitter
	Limits           Limits
	Settings         *settings.Received
	KnownEvents      []json.RawMessage // the discovery service's events up to Revision
	Revision         uint64
}

// Limits are the resources that the process may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// minSockets leaves a dozen descriptors for nodes beside the clients' share and the reserve.
const minSockets = 64

// configFile is the file that the platform writes. Keys match without regard to case.
type configFile struct {
	Name    string
	Listen  string
	Seed    string
	Journal string // address of the discovery service
	Limits  Limits
	Known   struct {
		Pos     uint64 // revision of the last entry
		Entries []json.RawMessage
	}
	Settings json.RawMessage
}

// ReadConfig reads the file that the platform writes. Listen, unless empty, takes the place of the file's address.
func ReadConfig(file, listen string) (*Config, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the platform's configuration: %w", err)
	}
	var raw configFile
	if err := json.Unmarshal(content, &raw); err != nil {
		return nil, fmt.Errorf("decode the platform's configuration %s: %w", file, err)
	}
	received, err := settings.FromJSON(raw.Settings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	config := &Config{
		Name:             raw.Name,
		Listen:           cmp.Or(listen, raw.Listen),
		DiscoveryAddress: raw.Journal,
		Seed:             parseSeed(raw.Seed),
		Limits:           raw.Limits,
		Settings:         received,
		KnownEvents:      raw.Known.Entries,
		Revision:         raw.Known.Pos,
	}
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return config, nil
}

// parseSeed reads a seed in hexadecimal digits. Any other text is hashed.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return hash.Sum64()
}

// validate checks the values that the settings do not cover. An error names the key and the remedy.
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
