package simulator

import (
	"math"

	"grebeglade/placement"
)

// requestCode says what a record of a batch is.
type requestCode uint8

// Codes of the records that are known, with the protocol's names.
const (
	codeInstanceStart    requestCode = 1  // attach: an instance starts
	codeHealthCheckEnded requestCode = 2  // pong: a health check has ended
	codePeerMessage      requestCode = 3  // datagram: another instance has sent a message, which none does
	codePlaceRequest     requestCode = 4  // new task: a client requests a workload
	codeBindEnded        requestCode = 5  // settled: a bind has ended
	codeRunningWorkload  requestCode = 6  // standing: the instance adopts a workload that is running
	codeNodeList         requestCode = 7  // sheet: a numbered list of nodes, for all instances
	codeUsageReport      requestCode = 8  // hint: a report on a bind
	codeNodeUpdate       requestCode = 9  // directory: a report of node discovery
	codeWithdrawal       requestCode = 10 // dropped: a client has withdrawn its workload
	codeBindAccepted     requestCode = 11 // landed: a node has confirmed a bind
	codeInstanceStop     requestCode = 12 // power off: an instance is killed
	codeWakeup           requestCode = 13 // wakeup: a timer of the instance has fired
	lastKnownCode                    = codeWakeup
)

// known reports whether the code is of this version of the protocol.
func (c requestCode) known() bool { return c > 0 && c <= lastKnownCode }

// Values of the fields that are enumerations. Other values are skipped or have a default.
const (
	nodeReady    = 1
	nodeDraining = 2

	updateDelta  = 0
	updateFailed = 2
	updateCached = 3
	updateFull   = 4

	usageRunning = 1
	usageCores   = 2

	healthOK           = 0 // of a health check; the following are of a bind
	resultRejected     = 2
	resultTimedOut     = 3
	resultNotDelivered = 4
	resultNotAttempted = 7

	optionRetried = 16 // a bit: the workload was requested before, and was rejected, failed, migrated or lost
)

// Sizes of elements that are counted, and of fields that are skipped, in bytes.
const (
	nodeSize      = 30
	loadValueSize = 4

	timerNameSize  = 4
	durationSize   = 8
	nodeIDSize     = 4
	revisionSize   = 8 // of a list of nodes
	tenantSize     = 2
	requestKeySize = 8 // the identity that a workload keeps when it is requested again
	weightSize     = 4
)

// nanosPerMillis converts between the times of the protocol and those of the engine.
const nanosPerMillis = 1e6

// millis returns a time or duration of the protocol in ms.
func millis(nanos uint64) placement.Millis { return placement.Millis(float64(nanos) / nanosPerMillis) }

// nanos returns a time or duration of the engine in ns.
func nanos(t placement.Millis) uint64 { return uint64(math.Round(float64(t) * nanosPerMillis)) }
