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
	Error   string             `json:"error,omitempty"` // why there are no values
	Seconds float64            `json:"seconds"`
	Digest  string             `json:"digest,omitempty"` // of the allocators' decisions; a function of plan and seed
	Values  map[string]float64 `json:"values,omitempty"` // by the names of measures
}

func (r *Run) brokeRule() bool { return r.Values[brokenMeasure] > 0 }

// Report is the progress of an experiment.
type Report struct {
	Total      int     `json:"of"`      // runs of the experiment
	Done       int     `json:"done"`    // runs that are done, including the earlier ones
	Earlier    int     `json:"earlier"` // runs that the directory held at the start
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

// ProgressFunc is called after a run, with the number of runs that are done and that of all runs.
type ProgressFunc func(r Run, done, total int)

// Run executes the runs that a directory does not hold yet, and calls progress, if it is not nil, after each. Every run
// is written to the directory at once, so that an experiment that was stopped or killed can be resumed. Runs are
// executed seed by seed, so that all cells have about as many runs whenever the experiment stops.
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
