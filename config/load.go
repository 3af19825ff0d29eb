package config

import (
	"fmt"
	"math"
	"net"
	"os"

	"grebeglade/placement"
)

// Defaults of the state and trace blocks.
const (
	defaultRetention     = placement.Millis(24 * 3600e3) // 24 h
	defaultMaxEntries    = 1_000_000
	defaultMaxFileAge    = placement.Millis(3600e3) // 1 h
	defaultMaxFileBytes  = 64 << 20
	defaultMaxTotalBytes = 1 << 30

	maxAllocators = 100_000 // allocators that share a fleet
)

// Load reads an allocator's configuration file. The error is a FileError if the file's content is invalid.
func Load(file string) (*Allocator, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	return Decode(file, src)
}

// Decode reads an allocator's configuration from src, the content of a file; file is its name in errors. If the syntax
// is valid but values are not, Decode returns both a FileError and the configuration as read, in which an invalid value
// is either kept or replaced by its default.
func Decode(file string, src []byte) (*Allocator, error) {
	root, err := Parse(file, src)
	if err != nil {
		return nil, err
	}
	a := &Allocator{}
	a.readAllocator(root.Block("allocator"))
	a.Limits = ReadLimits(root.Block("limits"))
	a.Log = readLog(root.Block("log"))
	a.State = readState(root.Block("state"))
	a.Trace = readTrace(root.Block("trace"))
	ReadPlacement(root, &a.Settings, &a.KindNames, &a.GroupNames)
	return a, root.Finish()
}

// readAllocator reads the allocator block: name, addresses, zone, and the ordinal among all allocators.
func (a *Allocator) readAllocator(b *Block) {
	a.Name = b.String("name", "allocator")
	a.ListenAddress = b.String("listen", "127.0.0.1:7070")
	a.DiscoveryAddress = b.String("list", "127.0.0.1:7071")
	a.Zone = b.String("zone", "")
	a.Settings.Allocators = b.Int("allocators", 1, 1, maxAllocators)
	a.Settings.Ordinal = b.Int("number", 0, 0, maxAllocators-1)
	if a.Settings.Ordinal >= a.Settings.Allocators {
		problem := fmt.Sprintf("number is %d of %d allocators", a.Settings.Ordinal, a.Settings.Allocators)
		fix := fmt.Sprintf("write one from 0 to %d, different for each allocator", a.Settings.Allocators-1)
		b.AddProblem("number", problem, fix)
	}
	if a.Name == "" {
		b.AddProblem("name", "name is empty", "give each allocator a name of its own")
	}
	checkLoopback(b, "listen", a.ListenAddress)
	checkLoopback(b, "list", a.DiscoveryAddress)
}

// ReadLimits reads a limits block. Problems are recorded in the block.
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
		Format: b.OneOf("format", LogFormatText, LogFormatText, LogFormatJSON),
	}
}

func readState(b *Block) State {
	state := State{
		Dir:        b.String("dir", ""),
		Retention:  b.Duration("keep", defaultRetention),
		MaxEntries: b.Int("most", defaultMaxEntries, 1, 1e8),
		Sync:       b.OneOf("sync", SyncGroup, SyncGroup, SyncEach, SyncNone),
	}
	if state.Retention <= 0 {
		b.AddProblem("keep", "keep is not positive", `write a time such as "24h", after which no client retries`)
	}
	return state
}

func readTrace(b *Block) Trace {
	trace := Trace{
		Dir:           b.String("dir", ""),
		MaxFileBytes:  b.ByteSize("file", defaultMaxFileBytes),
		MaxFileAge:    b.Duration("age", defaultMaxFileAge),
		MaxTotalBytes: b.ByteSize("total", defaultMaxTotalBytes),
	}
	if trace.MaxTotalBytes < trace.MaxFileBytes {
		b.AddProblem("total", "total is less than one file may have", "write a larger total, or a smaller file")
	}
	return trace
}

// checkLoopback rejects addresses that are not on the loopback interface: connections are not encrypted.
func checkLoopback(b *Block, name, address string) {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	switch {
	case err != nil:
		problem := fmt.Sprintf("%s is %q, which is not an address with a port", name, address)
		b.AddProblem(name, problem, `write one such as "127.0.0.1:7070"`)
	case host != "localhost" && (ip == nil || !ip.IsLoopback()):
		problem := fmt.Sprintf("%s is %q, which is not a loopback address", name, address)
		const fix = `write a loopback address such as "127.0.0.1:7070": connections are not encrypted yet`
		b.AddProblem(name, problem, fix)
	}
}
