package benchmark

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"grebeglade/config"
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage"
	"grebeglade/internal/storage/statepb"
)

// noState is the value of StateCost.Sync for an allocator without a state directory.
const noState = "off"

const (
	stateRetention  = 3600e3 // ms
	maxStateEntries = 1e7
)

// measuredKeys are the numbers of live keys for which recovery is measured.
var measuredKeys = []int{1000, 10000, 100000}

// StateCost is the cost of durable state with one sync setting, when every workload is at-most-once.
type StateCost struct {
	Sync   string  `json:"sync"` // value of config.State.Sync, or "off" for no state
	Placed float64 `json:"placed_per_second"`
	Ratio  float64 `json:"ratio"` // ratio of Placed to the rate without state
	// Median is the median time from a request's due time to the arrival of its bind at the node, at a quarter of the
	// rate without state, or at half of Placed if that is less.
	Median float64 `json:"ask_to_offer_p50_ms"`
	P99    float64 `json:"ask_to_offer_p99_ms"` // 99th percentile of the same
}

// StateRead is the duration of a start that recovers a number of keys.
type StateRead struct {
	Keys int     `json:"keys"`
	Ms   float64 `json:"ms"`
	MiB  float64 `json:"mib"` // size of the state directory
}

// StateResult is the cost of a state directory at run time and at the start.
type StateResult struct {
	Costs []StateCost `json:"costs"`
	Reads []StateRead `json:"reads"`
}

// MeasureState measures the cost of state on the disk of a directory. It uses a temporary subdirectory, which it
// removes. Each measurement over sockets takes length.
func MeasureState(dir string, fleet Fleet, length time.Duration) (result *StateResult, err error) {
	dir, err = os.MkdirTemp(dir, "state-bench-")
	if err != nil {
		return nil, fmt.Errorf("create a directory for state: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	measured := &StateResult{}
	baseline := 0.0 // workloads placed per second without state
	for _, sync := range []string{noState, config.SyncNone, config.SyncGroup, config.SyncEach} {
		cost, err := measureState(dir, sync, fleet, length, baseline)
		if err != nil {
			return nil, fmt.Errorf("measure the cost of state with sync %q: %w", sync, err)
		}
		if sync == noState {
			baseline = cost.Placed
		}
		measured.Costs = append(measured.Costs, cost)
	}
	for _, keys := range measuredKeys {
		read, err := measureRecovery(filepath.Join(dir, fmt.Sprint(keys)), keys)
		if err != nil {
			return nil, fmt.Errorf("measure the recovery of %d keys: %w", keys, err)
		}
		measured.Reads = append(measured.Reads, read)
	}
	return measured, nil
}

// measureState measures the cost with one sync setting. The baseline is the number of workloads placed per second
// without state, or 0 for the measurement of the baseline itself.
func measureState(dir, sync string, fleet Fleet, length time.Duration, baseline float64) (cost StateCost, err error) {
	var rates []float64
	for i := range rounds {
		rate, err := throughput(fleet, stateOptions(dir, fmt.Sprint(sync, i), sync), length)
		if err != nil {
			return cost, err
		}
		rates = append(rates, rate)
	}
	cost = StateCost{Sync: sync, Placed: median(rates)}
	if baseline == 0 {
		baseline = cost.Placed
	}
	cost.Ratio = cost.Placed / baseline
	rate := min(baseline/4, cost.Placed/2)
	latency, err := measureLatency(fleet, stateOptions(dir, sync+"-latency", sync), length, rate)
	cost.Median = latency.medianMs
	cost.P99 = latency.p99Ms
	return cost, err
}

// stateOptions returns the options of a cluster that persists its state in the subdirectory name of dir, or has no
// state if sync is noState.
func stateOptions(dir, name, sync string) clusterOptions {
	options := clusterOptions{atMostOnce: true}
	if sync != noState {
		options.state = config.State{
			Dir:        filepath.Join(dir, name),
			Retention:  stateRetention,
			MaxEntries: maxStateEntries,
			Sync:       sync,
		}
	}
	return options
}

// measureRecovery measures the duration of a start on a directory with a number of live keys, and a history of ten
// times as many binds.
func measureRecovery(path string, keys int) (read StateRead, err error) {
	disk, err := storage.OpenDir(path)
	if err != nil {
		return read, err
	}
	if err := writeHistory(disk, keys); err != nil {
		return read, err
	}
	if read.MiB, err = directoryMiB(path); err != nil {
		return read, err
	}
	start := time.Now()
	log, contents, err := storage.Open(disk, &statepb.Incarnation{Number: 2}, storage.DefaultMaxLogSize, fixedClock)
	if err != nil {
		return read, err
	}
	registry := recovery.New(recovery.Settings{}, storage.RecoveredBinds(contents), 1)
	read.Keys = registry.Len()
	read.Ms = float64(time.Since(start)) / float64(time.Millisecond)
	return read, log.Close()
}

// writeHistory writes the binds of ten times the number of keys, and entries that forget all but the first keys.
func writeHistory(disk storage.Disk, keys int) error {
	const (
		historyFactor = 10
		farFuture     = 1e15 // ms
	)
	log, _, err := storage.Open(disk, &statepb.Incarnation{Number: 1}, storage.DefaultMaxLogSize, fixedClock)
	if err != nil {
		return err
	}
	for i := range historyFactor * keys {
		bind := recovery.Bind{
			Key:         uint64(i),
			Group:       groupName,
			Node:        1,
			Incarnation: 1,
			Workload:    uint64(i),
			ExpiresAt:   farFuture,
		}
		entries := []*statepb.Entry{storage.BindEntry(bind)}
		if i >= keys {
			entries = append(entries, storage.ForgetEntry(bind.Key, 1, 0))
		}
		if err := log.Commit(entries, false); err != nil {
			return errors.Join(err, log.Close())
		}
	}
	return log.Close()
}

// fixedClock returns a Unix time in ms at which no entry has expired.
func fixedClock() float64 { return 1 }

// directoryMiB returns the total size of the files in a directory in MiB.
func directoryMiB(path string) (mib float64, err error) {
	const bytesPerMiB = 1 << 20
	files, err := os.ReadDir(path)
	if err != nil {
		return 0, fmt.Errorf("list the state files: %w", err)
	}
	for _, file := range files {
		info, err := file.Info()
		if err != nil {
			return 0, fmt.Errorf("read the size of a state file: %w", err)
		}
		mib += float64(info.Size()) / bytesPerMiB
	}
	return mib, nil
}
