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

const maxStackLines = 30 // lines of the stack trace in the error of a run that panicked

// job is a run that has not been executed.
type job struct {
	cell Cell
	seed uint64
}

// execution is the state of an experiment that is being executed.
type execution struct {
	plan     *Plan
	builds   *builds
	start    time.Time
	progress ProgressFunc // nil for none
	runs     []Run        // completed runs, including those of earlier executions
	report   Report
}

// pendingJobs sets the report's numbers of all runs and of earlier runs, and returns the jobs that are not done.
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

// countEarlierRuns adds the runs of earlier executions to the report, and returns their keys.
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

// execute executes the jobs and appends their runs to a file. After a write error it continues with the other runs, and
// returns the error at the end.
func (e *execution) execute(ctx context.Context, file string, jobs []job) (err error) {
	out, err := openRunFile(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	for run := range e.executeJobs(ctx, e.feed(ctx, jobs)) {
		if ctx.Err() != nil && run.Error != "" {
			continue // aborted together with the experiment; executed again when the experiment is resumed
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

// executeJobs executes jobs concurrently until the channel is closed.
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

// executeJob executes a job. An error or a panic is recorded in the run's Error.
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

// simulate runs the scenario of a job, in this process or in a process of another build.
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

// stopReason returns why the experiment is incomplete, or "" if it is complete.
func (e *execution) stopReason(ctx context.Context) string {
	switch {
	case e.report.Done == e.report.Total:
		return ""
	case ctx.Err() != nil:
		return "it was stopped; the same command goes on"
	}
	return fmt.Sprintf("its budget of %s is over; the same command goes on", e.plan.Limits.Budget)
}
