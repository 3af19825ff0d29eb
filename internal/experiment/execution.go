package experiment

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"grebeglade/internal/simulation"
)

const maxStackLines = 30 // of a run that panicked

// job is a run to be executed.
type job struct {
	cell Cell
	seed uint64
}

// execution is an experiment that is being executed.
type execution struct {
	plan     *Plan
	builds   *builds
	start    time.Time
	progress ProgressFunc // nil for none
	runs     []Run        // those that are done, including the earlier ones
	report   Report
}

// pendingJobs counts all runs and the earlier ones, and returns the jobs that are not done.
func (e *execution) pendingJobs() (jobs []job) {
	done := e.countEarlierRuns()
	cells := e.plan.Cells()
	for i := range e.plan.Repeats {
		seed := e.plan.Seed + uint64(i)
		for _, c := range cells {
			e.report.Total++
			if !done[runKey{cell: c.Index, seed: seed}] {
				jobs = append(jobs, job{cell: c, seed: seed})
			}
		}
	}
	return jobs
}

// runKey identifies a run of a plan.
type runKey struct {
	cell int
	seed uint64
}

// countEarlierRuns counts the earlier runs, and returns which they are.
func (e *execution) countEarlierRuns() map[runKey]bool {
	done := map[runKey]bool{}
	for i := range e.runs {
		run := &e.runs[i]
		done[runKey{cell: run.Cell, seed: run.Seed}] = true
		e.report.count(run)
	}
	e.report.Earlier = e.report.Done
	return done
}

// execute executes the jobs and appends their runs to a file. After a failed write it continues with the other runs.
func (e *execution) execute(ctx context.Context, file string, jobs []job) (err error) {
	out, err := openRunFile(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	for run := range e.executeJobs(ctx, e.feed(ctx, jobs)) {
		if ctx.Err() != nil && run.Error != "" {
			continue // it was aborted with the experiment, and is executed when that is resumed
		}
		if writeErr := appendRun(out, &run); writeErr != nil {
			err = errors.Join(err, writeErr)
			continue
		}
		e.runs = append(e.runs, run)
		e.report.count(&run)
		if e.progress != nil {
			e.progress(run, e.report.Done, e.report.Total)
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
			if time.Since(e.start) > e.plan.Limits.Budget || ctx.Err() != nil {
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

// executeJobs executes jobs concurrently until there are no more.
func (e *execution) executeJobs(ctx context.Context, jobs <-chan job) <-chan Run {
	runs := make(chan Run)
	var workers sync.WaitGroup
	for range e.plan.Limits.Workers {
		workers.Go(func() {
			for j := range jobs {
				runs <- e.executeJob(ctx, j)
			}
		})
	}
	go func() {
		workers.Wait()
		close(runs)
	}()
	return runs
}

// executeJob executes a job. Every error of it, a panic too, becomes the run's error.
func (e *execution) executeJob(ctx context.Context, assigned job) (run Run) {
	start := time.Now()
	run = Run{
		Plan:   e.plan.digest(),
		Cell:   assigned.cell.Index,
		Levels: assigned.cell.levelNames(),
		Seed:   assigned.seed,
	}
	defer func() {
		if cause := recover(); cause != nil {
			run.Error = fmt.Sprintf("it crashed: %v\n%s", cause, firstLines(string(debug.Stack()), maxStackLines))
		}
		run.Seconds = time.Since(start).Seconds()
	}()
	result, err := e.simulate(ctx, assigned)
	if err != nil {
		run.Error = err.Error()
		return run
	}
	run.Digest = result.Digest
	run.Values = measureAll(result)
	return run
}

// simulate runs the scenario of a job, in this process or in that of another build.
func (e *execution) simulate(ctx context.Context, assigned job) (*simulation.Result, error) {
	script, err := e.plan.Scenario(assigned.cell)
	if err != nil {
		return nil, err
	}
	if revision := assigned.cell.build(); revision != "" {
		return e.builds.simulate(ctx, revision, e.plan, assigned)
	}
	deadline := time.Now().Add(e.plan.Limits.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	return simulation.PlayVirtual(script, simulation.Options{
		Seed:      assigned.seed,
		Oracle:    e.plan.Oracle,
		Deadline:  deadline,
		Cancelled: ctx.Err,
	})
}

// stopReason returns why the experiment is not complete, or "" if it is.
func (e *execution) stopReason(ctx context.Context) string {
	switch {
	case e.report.Done == e.report.Total:
		return ""
	case ctx.Err() != nil:
		return "it was stopped; the same command goes on"
	}
	return fmt.Sprintf("its budget of %s is over; the same command goes on", e.plan.Limits.Budget)
}
