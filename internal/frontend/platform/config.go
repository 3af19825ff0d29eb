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

// Config is the configuration that the platform passes to an allocator at its start.
type Config struct {
	Name             string
	Listen           string // address that clients connect to
	DiscoveryAddress string
	Seed             uint64 // seed of the placement module and of the retry jitter
	Limits           Limits
	Settings         *settings.Received
	KnownEvents      []json.RawMessage // discovery events published up to Revision; the first is a snapshot
	Revision         uint64            // revision after which the subscription begins
}

// Limits are the resource limits of the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// minSockets is the minimum number of file descriptors. It leaves a dozen for nodes besides clientSocketShare,
// extraClientConns and reservedSockets.
const minSockets = 64

// configFile is the JSON of the platform's configuration file. Keys are matched case-insensitively.
type configFile struct {
	Name    string
	Listen  string
	Seed    string // see parseSeed
	Journal string // address of the discovery service
	Limits  Limits
	Known   struct {
		Pos     uint64 // revision of the last entry
		Entries []json.RawMessage
	}
	Settings json.RawMessage
}

// ReadConfig reads and validates the platform's configuration file. If listen is not empty, it overrides the file's
// listen address.
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

// parseSeed parses a seed in hexadecimal digits. For any other text it returns a hash of the text.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return hash.Sum64()
}

// validate checks the values that package settings does not check. An error states the key and the valid values.
func (c *Config) validate() error {
	switch {
	case c.Listen == "":
		return fmt.Errorf("listen is missing; set it to the address that clients connect to")
	case c.DiscoveryAddress == "":
		return fmt.Errorf("journal is missing; set it to the address of the discovery service")
	case c.Limits.Sockets < minSockets:
		return fmt.Errorf("limits.sockets is %d; it must be at least %d", c.Limits.Sockets, minSockets)
	case c.Limits.MemoryMB <= 0:
		return fmt.Errorf("limits.memory_mb is %d; it must be above 0", c.Limits.MemoryMB)
	}
	return nil
}
