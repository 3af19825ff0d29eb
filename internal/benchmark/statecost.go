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

// measuredKeys are the numbers of keys whose recovery is measured.
var measuredKeys = []int{1000, 10000, 100000}

// StateCost is what durable state costs with one way of syncing, where every workload is at-most-once.
type StateCost struct {
	Sync   string  `json:"sync"` // a value of config.State.Sync, or "off" for no state
	Placed float64 `json:"placed_per_second"`
	Ratio  float64 `json:"ratio"`               // of Placed to that without state
	Median float64 `json:"ask_to_offer_p50_ms"` // at a quarter of the rate without state, or half of its own if that is less
	P99    float64 `json:"ask_to_offer_p99_ms"`
}

// StateRead is how long a start takes that recovers a number of keys.
type StateRead struct {
	Keys int     `json:"keys"`
	Ms   float64 `json:"ms"`
	MiB  float64 `json:"mib"` // size of the state directory
}

// StateResult is what a state directory costs.
type StateResult struct {
	Costs []StateCost `json:"costs"`
	Reads []StateRead `json:"reads"`
}

// MeasureState measures the cost of state in a directory, which should lie on the disk in question, and leaves it as it was. Each
// of the measurements takes length.
func MeasureState(dir string, f Fleet, length time.Duration) (result *StateResult, err error) {
	dir, err = os.MkdirTemp(dir, "state-bench-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	r := &StateResult{}
	baseline := 0.0 // placed a second without state
	for _, sync := range []string{noState, config.SyncNone, config.SyncGroup, config.SyncEach} {
		cost, err := measureState(dir, sync, f, length, baseline)
		if err != nil {
			return nil, err
		}
		if sync == noState {
			baseline = cost.Placed
		}
		r.Costs = append(r.Costs, cost)
	}
	for _, keys := range measuredKeys {
		read, err := measureRecovery(filepath.Join(dir, fmt.Sprint(keys)), keys)
		if err != nil {
			return nil, err
		}
		r.Reads = append(r.Reads, read)
	}
	return r, nil
}

// measureState measures one way of syncing. The baseline is what is placed a second without state, or 0 for a measurement
// that is itself the baseline.
func measureState(dir, sync string, f Fleet, length time.Duration, baseline float64) (cost StateCost, err error) {
	options := func(name string) clusterOptions {
		o := clusterOptions{atMostOnce: true}
		if sync != noState {
			o.state = config.State{Dir: filepath.Join(dir, name), Retention: stateRetention, MaxEntries: maxStateEntries, Sync: sync}
		}
		return o
	}
	var rates []float64
	for i := range rounds {
		rate, err := throughput(f, options(fmt.Sprint(sync, i)), length)
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
	l, err := measureLatency(f, options(sync+"-latency"), length, min(baseline/4, cost.Placed/2))
	cost.Median, cost.P99 = l.medianMs, l.p99Ms
	return cost, err
}

// measureRecovery measures how long a start takes on a directory with keys, and a history ten times as long.
func measureRecovery(path string, keys int) (r StateRead, err error) {
	d, err := storage.OpenDir(path)
	if err != nil {
		return r, err
	}
	if err := writeHistory(d, keys); err != nil {
		return r, err
	}
	if r.MiB, err = directoryMiB(path); err != nil {
		return r, err
	}
	start := time.Now()
	l, contents, err := storage.Open(d, &statepb.Incarnation{Number: 2}, storage.DefaultMaxLogSize, fixedClock)
	if err != nil {
		return r, err
	}
	registry := recovery.New(recovery.Settings{}, storage.RecoveredBinds(contents), 1)
	r.Keys, r.Ms = registry.Len(), float64(time.Since(start))/float64(time.Millisecond)
	return r, l.Close()
}

// writeHistory writes binds of ten times as many keys, and that all but the first ones are forgotten.
func writeHistory(d storage.Disk, keys int) error {
	const historyFactor, farFuture = 10, 1e15
	l, _, err := storage.Open(d, &statepb.Incarnation{Number: 1}, storage.DefaultMaxLogSize, fixedClock)
	if err != nil {
		return err
	}
	for i := range historyFactor * keys {
		b := recovery.Bind{Key: uint64(i), Group: groupName, Node: 1, Incarnation: 1, Workload: uint64(i), ExpiresAt: farFuture}
		entries := []*statepb.Entry{storage.BindEntry(b)}
		if i >= keys {
			entries = append(entries, storage.ForgetEntry(b.Key, 1, 0))
		}
		if err := l.Commit(entries, false); err != nil {
			return errors.Join(err, l.Close())
		}
	}
	return l.Close()
}

// fixedClock is a Unix time in ms at which nothing has expired.
func fixedClock() float64 { return 1 }

func directoryMiB(path string) (mib float64, err error) {
	files, err := os.ReadDir(path)
	if err != nil {
		return 0, err
	}
	for _, f := range files {
		info, err := f.Info()
		if err != nil {
			return 0, err
		}
		mib += float64(info.Size()) / (1 << 20)
	}
	return mib, nil
}
