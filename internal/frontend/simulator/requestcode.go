package simulator

import (
	"math"

	"grebeglade/placement"
)

// requestCode is the type of a record of a batch.
type requestCode uint8

// Codes of the supported records of a batch. Each comment begins with the protocol's name of the record.
const (
	codeInstanceStart    requestCode = 1  // attach: an instance starts
	codeHealthCheckEnded requestCode = 2  // pong: a health check ended
	codePeerMessage      requestCode = 3  // datagram: a message from another instance; ignored, since instances send none
	codePlaceRequest     requestCode = 4  // new task: a client requests a workload
	codeBindEnded        requestCode = 5  // settled: a bind ended
	codeRunningWorkload  requestCode = 6  // standing: the instance must adopt a running workload
	codeNodeList         requestCode = 7  // sheet: a numbered node list, shared by all instances
	codeUsageReport      requestCode = 8  // hint: a usage report of a running workload
	codeNodeUpdate       requestCode = 9  // directory: an update from node discovery
	codeWithdrawal       requestCode = 10 // dropped: a client withdrew its workload
	codeBindAccepted     requestCode = 11 // landed: a node accepted a bind
	codeInstanceStop     requestCode = 12 // power off: an instance is terminated
	codeWakeup           requestCode = 13 // wakeup: a timer of the instance expired
	lastCode                         = codeWakeup
)

// supported reports whether the code is defined in this version of the protocol.
func (c requestCode) supported() bool { return c > 0 && c <= lastCode }

// Values of enumeration fields. Unknown values are ignored or converted to a default.
const (
	nodeReady    = 1
	nodeDraining = 2

	updateDelta  = 0
	updateFailed = 2
	updateCached = 3
	updateFull   = 4

	usageRunning = 1
	usageCores   = 2

	healthOK           = 0 // result of a health check; the following are results of a bind
	resultRejected     = 2
	resultTimedOut     = 3
	resultNotDelivered = 4
	resultNotAttempted = 7

	optionRetried = 16 // bit: an earlier request for the workload was rejected or failed, or it was migrated or lost
)

// Sizes, in bytes, of list elements and of skipped fields.
const (
	nodeSize      = 30
	loadValueSize = 4

	timerNameSize  = 4
	durationSize   = 8
	nodeIDSize     = 4
	revisionSize   = 8 // revision of a node list
	tenantSize     = 2
	requestKeySize = 8 // key that stays the same when a workload is requested again
	weightSize     = 4
)

// nanosPerMillis converts between the protocol's times, in ns, and the engine's, in ms.
const nanosPerMillis = 1e6

// millis converts a time or duration of the protocol to the engine's unit.
func millis(nanos uint64) placement.Millis { return placement.Millis(float64(nanos) / nanosPerMillis) }

// nanos converts a time or duration of the engine to the protocol's unit.
func nanos(t placement.Millis) uint64 { return uint64(math.Round(float64(t) * nanosPerMillis)) }
