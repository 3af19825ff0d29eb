// Package config reads an allocator's configuration file: HCL in which durations and sizes carry their units.
//
// A file is read to its end, and everything that is wrong with it is returned at once as Problems, each with its file,
// line and fix. Durations are milliseconds once read.
package config

import (
	"fmt"
	"math"
	"net"
	"os"

	"grebeglade/placement"
)

// Defaults that are too large to be read as numbers in their place.
const (
	defaultRetention     = placement.Millis(24 * 3600e3)
	defaultMaxEntries    = 1_000_000
	defaultMaxFileAge    = placement.Millis(3600e3)
	defaultMaxFileBytes  = 64 << 20
	defaultMaxTotalBytes = 1 << 30

	maxAllocators = 100_000
)

// Allocator is the configuration of one allocator.
type Allocator struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string // of the discovery service
	Zone             string
	Settings         placement.Settings
	GroupNames       []string // in the order of Settings.Groups
	KindNames        []string // in the order of Settings.NodeKinds
	Limits           Limits
	Log              Log
	State            State
	Trace            Trace
}

// Limits bound what peers can make an allocator hold.
type Limits struct {
	MaxWorkloads   int   // pending and placed
	MaxConnections int   // accepted ones
	MaxFrameBytes  int64 // of one message
	MaxWriteBuffer int64 // bytes that wait to be written to one peer
}

// State configures the durable record of binds that must be known after a crash.
type State struct {
	Dir        string           `json:"dir"` // "" for no durable state
	Retention  placement.Millis `json:"keep_ms"`
	MaxEntries int              `json:"most"`
	Sync       string           `json:"sync"` // one of the Sync constants
}

// Values of State.Sync: when an entry counts as durable.
const (
	SyncGroup = "group" // after one sync for all entries that wait
	SyncEach  = "each"  // after a sync of its own
	SyncNone  = "none"  // without a sync; lost if the machine fails
)

// Trace configures the recording of calls and decisions.
type Trace struct {
	Dir           string           // "" for no trace
	MaxFileBytes  int64            // largest size of one file
	MaxFileAge    placement.Millis // longest time that one file is written to
	MaxTotalBytes int64            // largest size of all files
}

// Log configures logging.
type Log struct {
	Level  string // "debug", "info", "warn" or "error"
	Format string // "text" or "json"
}

// Load reads an allocator's configuration file.
func Load(file string) (*Allocator, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, src)
}

// Decode reads an allocator's configuration from a file's text. Besides the error, which is Problems if the file is
// wrong, it returns what could be read.
func Decode(file string, src []byte) (*Allocator, error) {
	root, err := Parse(file, src)
	if err != nil {
		return nil, err
	}
	a := &Allocator{}
	a.readOwn(root.Block("allocator"))
	a.Limits = ReadLimits(root.Block("limits"))
	a.Log = readLog(root.Block("log"))
	a.State = readState(root.Block("state"))
	a.Trace = readTrace(root.Block("trace"))
	ReadPlacement(root, &a.Settings, &a.KindNames, &a.GroupNames)
	return a, root.Finish()
}

// readOwn reads what distinguishes one allocator from the others.
func (a *Allocator) readOwn(b *Block) {
	a.Name = b.String("name", "allocator")
	a.ListenAddress = b.String("listen", "127.0.0.1:7070")
	a.DiscoveryAddress = b.String("list", "127.0.0.1:7071")
	a.Zone = b.String("zone", "")
	a.Settings.Allocators = b.Int("allocators", 1, 1, maxAllocators)
	a.Settings.Ordinal = b.Int("number", 0, 0, maxAllocators-1)
	if a.Settings.Ordinal >= a.Settings.Allocators {
		b.AddProblem("number", fmt.Sprintf("number is %d of %d allocators", a.Settings.Ordinal, a.Settings.Allocators),
			fmt.Sprintf("write one from 0 to %d, each allocator another", a.Settings.Allocators-1))
	}
	if a.Name == "" {
		b.AddProblem("name", "name is empty", "give each allocator a name of its own")
	}
	checkLoopback(b, "listen", a.ListenAddress)
	checkLoopback(b, "list", a.DiscoveryAddress)
}

// ReadLimits reads a limits block.
func ReadLimits(b *Block) Limits {
	return Limits{
		MaxWorkloads:   b.Int("workloads", 200_000, 1, math.MaxInt32),
		MaxConnections: b.Int("connections", 4096, 1, 1<<20),
		MaxFrameBytes:  b.ByteSize("frame", 1<<20),
		MaxWriteBuffer: b.ByteSize("waiting", 4<<20),
	}
}

func readLog(b *Block) Log {
	return Log{
		Level:  b.OneOf("level", "info", "debug", "info", "warn", "error"),
		Format: b.OneOf("format", "text", "text", "json"),
	}
}

func readState(b *Block) State {
	s := State{
		Dir:        b.String("dir", ""),
		Retention:  b.Duration("keep", defaultRetention),
		MaxEntries: b.Int("most", defaultMaxEntries, 1, 1e8),
		Sync:       b.OneOf("sync", SyncGroup, SyncGroup, SyncEach, SyncNone),
	}
	if s.Retention <= 0 {
		b.AddProblem("keep", "keep is no time", `write one such as "24h", longer than any client may retry after`)
	}
	return s
}

func readTrace(b *Block) Trace {
	t := Trace{
		Dir:           b.String("dir", ""),
		MaxFileBytes:  b.ByteSize("file", defaultMaxFileBytes),
		MaxFileAge:    b.Duration("age", defaultMaxFileAge),
		MaxTotalBytes: b.ByteSize("total", defaultMaxTotalBytes),
	}
	if t.MaxTotalBytes < t.MaxFileBytes {
		b.AddProblem("total", "total is less than one file may be", "write a larger total, or a smaller file")
	}
	return t
}

// checkLoopback rejects addresses that are not on the loopback interface: connections are not encrypted.
func checkLoopback(b *Block, name, address string) {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	switch {
	case err != nil:
		b.AddProblem(name, fmt.Sprintf("%s is %q, no address with a port", name, address), `write one such as "127.0.0.1:7070"`)
	case host != "localhost" && (ip == nil || !ip.IsLoopback()):
		b.AddProblem(name, fmt.Sprintf("%s is %q, which is not a loopback address", name, address),
			`write a loopback address such as "127.0.0.1:7070": connections are not encrypted yet`)
	}
}
