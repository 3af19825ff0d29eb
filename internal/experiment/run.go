package experiment

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"grebeglade/internal/simulation"
)

// Run is the outcome of one scenario run.
type Run struct {
	Plan    string             `json:"plan"` // digest of the plan's text
	Cell    int                `json:"cell"`
	Levels  []string           `json:"levels"`
	Seed    uint64             `json:"seed"`
	Error   string             `json:"error,omitempty"` // why there are no values
	Seconds float64            `json:"seconds"`
	Digest  string             `json:"digest,omitempty"` // of the allocators' decisions: the same for the same plan and seed
	Values  map[string]float64 `json:"values,omitempty"` // by the names of measures
}

func (r *Run) brokeRule() bool { return r.Values[brokenMeasure] > 0 }

// Report is how far an experiment has come.
type Report struct {
	Total      int     `json:"of"`   // runs of the experiment
	Done       int     `json:"done"` // runs that are done, with the earlier ones
	Earlier    int     `json:"earlier"`
	Failed     int     `json:"failed"`
	Broken     int     `json:"days_that_broke_a_rule"`
	Seconds    float64 `json:"seconds"`
	StopReason string  `json:"stopped,omitempty"` // why it is not complete
}

func (r *Report) count(run *Run) {
	r.Done++
	if run.Error != "" {
		r.Failed++
	}
	if run.brokeRule() {
		r.Broken++
	}
}

// Run makes the runs that a directory does not hold yet, and calls progress, if it is not nil, after each. Every run is
// written to the directory at once, so that an experiment that was stopped or killed is resumed. Runs are made seed by
// seed, so that the cells have equally many whenever it stops.
func (p *Plan) Run(ctx context.Context, dir string, progress func(r Run, done, of int)) (report *Report, err error) {
	start := time.Now()
	earlier, err := p.claim(dir)
	if err != nil {
		return nil, err
	}
	builds, err := p.makeBuilds(ctx)
	defer func() { err = errors.Join(err, builds.remove()) }()
	if err != nil {
		return nil, err
	}
	e := &execution{plan: p, builds: builds, start: start, progress: progress, runs: earlier}
	jobs := e.resume()
	err = e.execute(ctx, filepath.Join(dir, runsFile), jobs)
	e.report.StopReason = e.whyIncomplete(ctx)
	e.report.Seconds = time.Since(start).Seconds()
	return &e.report, errors.Join(err, writeParquet(filepath.Join(dir, parquetFile), e.runs))
}

// job is a run to be made.
type job struct {
	cell Cell
	seed uint64
}

// execution is an experiment that is being done.
type execution struct {
	plan     *Plan
	builds   *builds
	start    time.Time
	progress func(r Run, done, of int)
	runs     []Run
	report   Report
}

// resume counts the earlier runs, and returns the jobs that are left.
func (e *execution) resume() (jobs []job) {
	type key struct {
		cell int
		seed uint64
	}
	done := map[key]bool{}
	for i := range e.runs {
		r := &e.runs[i]
		done[key{r.Cell, r.Seed}] = true
		e.report.count(r)
	}
	e.report.Earlier = e.report.Done
	cells := e.plan.Cells()
	for i := range e.plan.Repeats {
		seed := e.plan.Seed + uint64(i)
		for _, c := range cells {
			e.report.Total++
			if !done[key{c.Index, seed}] {
				jobs = append(jobs, job{c, seed})
			}
		}
	}
	return jobs
}

// execute makes the runs and appends them to a file. After an error of the file it goes on with what can be written.
func (e *execution) execute(ctx context.Context, file string, jobs []job) (err error) {
	out, err := openRunFile(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	for r := range e.makeRuns(ctx, e.feed(ctx, jobs)) {
		if ctx.Err() != nil && r.Error != "" {
			continue // it was aborted with the experiment, and is made when that is resumed
		}
		if writeErr := appendRun(out, &r); writeErr != nil {
			err = errors.Join(err, writeErr)
			continue
		}
		e.runs = append(e.runs, r)
		e.report.count(&r)
		if e.progress != nil {
			e.progress(r, e.report.Done, e.report.Total)
		}
	}
	return err
}

// feed sends jobs until the budget is used up or the context ends.
func (e *execution) feed(ctx context.Context, jobs []job) <-chan job {
	next := make(chan job)
	go func() {
		defer close(next)
		for _, j := range jobs {
			if time.Since(e.start) > e.plan.Budget || ctx.Err() != nil {
				return
			}
			select {
			case next <- j:
			case <-ctx.Done():
				return
			}
		}
	}()
	return next
}

// makeRuns makes runs concurrently until there are no more jobs.
func (e *execution) makeRuns(ctx context.Context, jobs <-chan job) <-chan Run {
	runs := make(chan Run)
	var workers sync.WaitGroup
	for range e.plan.Workers {
		workers.Go(func() {
			for j := range jobs {
				runs <- e.makeRun(ctx, j)
			}
		})
	}
	go func() {
		workers.Wait()
		close(runs)
	}()
	return runs
}

// makeRun makes a run. Whatever goes wrong, a crash too, becomes the run's error.
func (e *execution) makeRun(ctx context.Context, j job) (run Run) {
	start := time.Now()
	run = Run{Plan: e.plan.digest(), Cell: j.cell.Index, Levels: j.cell.levelNames(), Seed: j.seed}
	defer func() {
		if r := recover(); r != nil {
			run.Error = fmt.Sprintf("it crashed: %v\n%s", r, firstLines(string(debug.Stack()), maxStackLines))
		}
		run.Seconds = time.Since(start).Seconds()
	}()
	result, err := e.simulate(ctx, j)
	if err != nil {
		run.Error = err.Error()
		return run
	}
	run.Digest, run.Values = result.Digest, measure(result)
	return run
}

// simulate runs the scenario of a job, in this process or in that of another build.
func (e *execution) simulate(ctx context.Context, j job) (*simulation.Result, error) {
	s, err := e.plan.Scenario(j.cell)
	if err != nil {
		return nil, err
	}
	if revision := j.cell.build(); revision != "" {
		return e.builds.simulate(ctx, revision, e.plan, j)
	}
	deadline := time.Now().Add(e.plan.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	return simulation.PlayVirtual(s, simulation.Options{Seed: j.seed, Oracle: e.plan.Oracle, Deadline: deadline, Cancelled: ctx.Err})
}

func (e *execution) whyIncomplete(ctx context.Context) string {
	switch {
	case e.report.Done == e.report.Total:
		return ""
	case ctx.Err() != nil:
		return "it was stopped; the same command goes on"
	}
	return fmt.Sprintf("its budget of %s is over; the same command goes on", e.plan.Budget)
}

const maxStackLines = 30

func firstLines(s string, n int) string {
	lines := strings.SplitN(s, "\n", n+1)
	return strings.Join(lines[:min(n, len(lines))], "\n")
}
