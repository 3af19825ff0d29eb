package experiment

import (
	"context"
	"errors"
	"path/filepath"
	"time"
)

// Run is the outcome of one scenario run.
type Run struct {
	Plan    string             `json:"plan"` // digest of the plan's text
	Cell    int                `json:"cell"`
	Levels  []string           `json:"levels"`
	Seed    uint64             `json:"seed"`
	Error   string             `json:"error,omitempty"` // reason why there are no values
	Seconds float64            `json:"seconds"`
	Digest  string             `json:"digest,omitempty"` // hash of allocators' decisions; same for equal plan, cell, seed
	Values  map[string]float64 `json:"values,omitempty"` // key: measure name
}

func (r *Run) brokeRule() bool { return r.Values[brokenMeasure] > 0 }

// Report is the progress of an experiment.
type Report struct {
	Total      int     `json:"of"`      // all runs of the experiment
	Done       int     `json:"done"`    // completed runs, including failed and earlier ones
	Earlier    int     `json:"earlier"` // runs found in the directory at the start
	Failed     int     `json:"failed"`
	Broken     int     `json:"days_that_broke_a_rule"`
	Seconds    float64 `json:"seconds"`
	StopReason string  `json:"stopped,omitempty"` // reason why the experiment is incomplete
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

// ProgressFunc is called after each run, with the numbers of completed runs and of all runs.
type ProgressFunc func(r Run, done, total int)

// Run executes the runs that are missing in a directory, and calls progress after each, unless it is nil. Every run is
// written to the directory as soon as it ends, so that an experiment that was stopped or killed can be resumed. Runs
// are executed seed by seed, so that all cells have about the same number of runs whenever the experiment stops.
func (p *Plan) Run(ctx context.Context, dir string, progress ProgressFunc) (report *Report, err error) {
	start := time.Now()
	earlier, err := p.prepareDirectory(dir)
	if err != nil {
		return nil, err
	}
	builds, err := p.makeBuilds(ctx)
	defer func() { err = errors.Join(err, builds.remove()) }()
	if err != nil {
		return nil, err
	}
	e := &execution{
		plan:     p,
		builds:   builds,
		start:    start,
		progress: progress,
		runs:     earlier,
	}
	err = e.execute(ctx, filepath.Join(dir, runsFile), e.pendingJobs())
	e.report.StopReason = e.stopReason(ctx)
	e.report.Seconds = time.Since(start).Seconds()
	return &e.report, errors.Join(err, writeParquet(filepath.Join(dir, parquetFile), e.runs))
}
