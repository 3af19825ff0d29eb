package benchmark

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	conf "grebeglade/config"
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage"
	"grebeglade/internal/storage/statepb"
)

// StateCost is what durable state costs with one way of syncing, where every workload is run-once.
type StateCost struct {
	Sync   string  `json:"sync"` // "off" for none
	Placed float64 `json:"placed_per_second"`
	Ratio  float64 `json:"ratio"` // to that without state, in the same run
	Median float64 `json:"ask_to_offer_p50_ms"`
	P99    float64 `json:"ask_to_offer_p99_ms"` // at a quarter of the rate without state, or half of its own where that is less
}

// StateRead is what a start takes with so many keys known.
type StateRead struct {
	Keys int     `json:"keys"`
	Ms   float64 `json:"ms"`
	MiB  float64 `json:"mib"`
}

// StateResult is what a state directory costs, in one run.
type StateResult struct {
	Costs []StateCost `json:"costs"`
	Reads []StateRead `json:"reads"`
}

// State measures in a directory, which should lie on the disk that is meant, and leaves it as it was.
func State(dir string, f Fleet, long time.Duration) (*StateResult, error) {
	dir, err := os.MkdirTemp(dir, "state-bench-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &StateResult{}
	f.once = true
	base := 0.0
	for n, sync := range []string{"off", "none", "group", "each"} {
		f.state = conf.State{}
		var rates []float64
		for i := range rounds {
			if sync != "off" {
				f.state = conf.State{Dir: filepath.Join(dir, fmt.Sprint(sync, i)), Retention: 3600e3, MaxEntries: 1e7, Sync: sync}
			}
			rate, err := f.sockets(long)
			if err != nil {
				return nil, err
			}
			rates = append(rates, rate)
		}
		slices.Sort(rates)
		c := StateCost{Sync: sync, Placed: rates[len(rates)/2]}
		if n == 0 {
			base = c.Placed
		}
		c.Ratio = c.Placed / base
		if sync != "off" {
			f.state.Dir = filepath.Join(dir, sync+"-latency")
		}
		l, _, err := f.latency(long, min(base/4, c.Placed/2))
		if err != nil {
			return nil, err
		}
		c.Median, c.P99 = l.median, l.p99
		r.Costs = append(r.Costs, c)
	}
	for _, keys := range []int{1000, 10000, 100000} {
		read, err := stateRead(filepath.Join(dir, fmt.Sprint(keys)), keys)
		if err != nil {
			return nil, err
		}
		r.Reads = append(r.Reads, read)
	}
	return r, nil
}

// stateRead fills a directory behind a history ten times as long, and measures the next start.
func stateRead(path string, keys int) (r StateRead, err error) {
	d, err := storage.OpenDir(path)
	if err != nil {
		return r, err
	}
	now := func() float64 { return 1 }
	l, _, err := storage.Open(d, &statepb.Incarnation{Number: 1}, storage.DefaultMaxLogSize, now)
	if err != nil {
		return r, err
	}
	for i := range 10 * keys {
		b := recovery.Bind{Key: uint64(i), Group: "g", Node: 1, Incarnation: 1, Workload: uint64(i), ExpiresAt: 1e15}
		entries := []*statepb.Entry{storage.BindEntry(b)}
		if i >= keys {
			entries = append(entries, storage.ForgetEntry(b.Key, 1, 0))
		}
		if err := l.Commit(entries, false); err != nil {
			return r, err
		}
	}
	if err := l.Close(); err != nil {
		return r, err
	}
	files, err := os.ReadDir(path)
	if err != nil {
		return r, err
	}
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			r.MiB += float64(info.Size()) / (1 << 20)
		}
	}
	began := time.Now()
	l, found, err := storage.Open(d, &statepb.Incarnation{Number: 2}, storage.DefaultMaxLogSize, now)
	if err != nil {
		return r, err
	}
	book := recovery.New(recovery.Settings{}, storage.RecoveredBinds(found), 1)
	r.Keys, r.Ms = book.Len(), float64(time.Since(began))/1e6
	return r, l.Close()
}
