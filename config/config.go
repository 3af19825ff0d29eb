// Package config reads an allocator's configuration file: HCL in which durations and sizes carry their units.
//
// A file is read to its end, and everything that is wrong with it is returned at once as a FileError, which has the
// file, line and fix of each problem. Durations are milliseconds once read.
package config

import "grebeglade/placement"

// Allocator is the configuration of one allocator. It has a field for each block, and for each argument of the block
// "allocator".
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

// Limits bound the memory that peers can make an allocator use.
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
	Format string // one of the LogFormat constants
}

// Values of Log.Format.
const (
	LogFormatText = "text"
	LogFormatJSON = "json"
)
