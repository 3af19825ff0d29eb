// Package search plays generated scripts, looks for runs that break a rule, and reduces their scripts to minimal
// examples.
package search

import (
	"cmp"
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"grebeglade/internal/simulation"
)

// progressInterval is the number of runs between calls of the progress function.
const progressInterval = 100

// Search looks for runs that break a rule, and for those that place the smallest share of their workloads.
type Search struct {
	Seed       uint64
	MaxRuns    int           // 0 for no limit
	MaxTime    time.Duration // 0 for no limit
	Allocators int           // maximum per run
	Nodes      int           // maximum per run
	KeepWorst  int           // number of runs without a violation to report
	Mutant     simulation.Mutant
}

// outcome is one run of a search.
type outcome struct {
	index  int
	script *generated
	result *simulation.Result
}

// unplacedShare returns the share of the wanted workloads outside gangs that their first requests did not place.
func (o outcome) unplacedShare() float64 { return 1 - o.result.FirstPlaced }

// Run searches on all cores. The scripts depend only on the seed and the limits of the search; the limits and the
// context determine how many are played. If not nil, progress is called after every progressInterval runs with the
// numbers of runs and of runs with violations so far. The error is that of the first run that could not be played; the
// end of the context ends the search without an error.
func (s *Search) Run(ctx context.Context, progress func(runs, violations int)) (*Report, error) {
	if s.MaxTime > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.MaxTime)
		defer cancel()
	}
	began := time.Now()
	outcomes, failure := s.playAll(ctx)
	report := &Report{Faults: map[string]int{}, Findings: []Finding{}}
	var broken, worst []outcome
	for played := range outcomes {
		report.count(played)
		if len(played.result.Violations) > 0 {
			broken = append(broken, played)
		} else if s.KeepWorst > 0 {
			worst = s.insertWorst(worst, played)
		}
		if progress != nil && report.Runs%progressInterval == 0 {
			progress(report.Runs, len(broken))
		}
	}
	if err := failure(); err != nil {
		return nil, err
	}
	report.addViolations(broken, s.Mutant)
	report.addWorst(worst)
	report.Seconds = time.Since(began).Seconds()
	return report, nil
}

// playAll plays runs until the context ends or MaxRuns is reached, one per core at a time. The channel is closed after
// the last run; failure then returns the first error.
func (s *Search) playAll(ctx context.Context) (outcomes <-chan outcome, failure func() error) {
	indexes := make(chan int)
	played := make(chan outcome)
	var workers sync.WaitGroup
	var first firstError
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for index := range indexes {
				script := s.generate(index)
				result, err := script.play(s.Mutant)
				if err != nil {
					first.set(fmt.Errorf("run %d: %w\n%s", index, err, script.text()))
					continue
				}
				played <- outcome{
					index:  index,
					script: script,
					result: result,
				}
			}
		})
	}
	go func() {
		defer close(played)
		for index := 0; ctx.Err() == nil && (s.MaxRuns == 0 || index < s.MaxRuns); index++ {
			indexes <- index
		}
		close(indexes)
		workers.Wait()
	}()
	return played, first.get
}

// firstError keeps the first error that is set. It is safe for concurrent use.
type firstError struct {
	mu  sync.Mutex
	err error
}

func (f *firstError) set(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

func (f *firstError) get() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// insertWorst adds a run to the worst ones and returns the KeepWorst runs with the largest unplaced shares.
func (s *Search) insertWorst(worst []outcome, played outcome) []outcome {
	worst = append(worst, played)
	slices.SortFunc(worst, func(x, y outcome) int {
		return cmp.Or(cmp.Compare(y.unplacedShare(), x.unplacedShare()), x.index-y.index)
	})
	return worst[:min(len(worst), s.KeepWorst)]
}
