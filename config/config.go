// Package config reads an allocator's configuration file: HCL in which durations and sizes have units.
//
// Reading continues after a problem, and all problems of a file are returned together as a FileError, each with its
// file, line and fix. Durations are converted to milliseconds.
package config

import "grebeglade/placement"

// Allocator is the configuration of one allocator: the arguments of its "allocator" block, and the other blocks.
type Allocator struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string // address of the discovery service, with its port
	Zone             string
	Settings         placement.Settings
	GroupNames       []string // names of the priority groups, parallel to Settings.Groups
	KindNames        []string // names of the node kinds, parallel to Settings.NodeKinds
	Limits           Limits
	Log              Log
	State            State
	Trace            Trace
}

// Limits bound the memory that peers can make an allocator use.
type Limits struct {
	MaxWorkloads   int   // workloads, pending and placed together
	MaxConnections int   // accepted connections
	MaxFrameBytes  int64 // size of one message
	MaxWriteBuffer int64 // unsent bytes buffered for one peer
}

// State configures the state directory, which stores the binds that an allocator needs again after a crash.
type State struct {
	Dir        string           `json:"dir"`     // path of the state directory, "" for no durable state
	Retention  placement.Millis `json:"keep_ms"` // time for which the last bind of a run-once workload is kept
	MaxEntries int              `json:"most"`    // maximum number of idempotency keys kept at a time
	Sync       string           `json:"sync"`    // one of the Sync constants
}

// Values of State.Sync: when an entry counts as durable.
const (
	SyncGroup = "group" // one sync for all queued entries
	SyncEach  = "each"  // a separate sync for each entry
	SyncNone  = "none"  // no sync; entries can be lost if the machine fails
)

// Trace configures the recording of calls and decisions.
type Trace struct {
	Dir           string           // directory of the trace files, "" for no trace
	MaxFileBytes  int64            // size above which a new file is started
	MaxFileAge    placement.Millis // age above which a new file is started
	MaxTotalBytes int64            // total size above which the oldest files are removed
}

// Log configures logging.
type Log struct {
	Level  string // "debug", "info", "warn" or "error"
	Format string // one of the LogFormat constants
}

// Values of Log.Format.
const (
	LogFormatText = "text"
	LogFormatJSON = "json"
)
