package experiment

import (
	"cmp"
	"errors"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
)

// Result is the content of an experiment's directory.
type Result struct {
	Plan *Plan
	Dir  string
	Runs []Run // sorted by cell, then by seed
}

// Read reads a directory that Plan.Run has written, whether or not the experiment is complete.
func Read(dir string) (*Result, error) {
	path := filepath.Join(dir, planFile)
	text, err := readPlanText(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, NoExperimentError{Dir: dir}
	}
	if err != nil {
		return nil, err
	}
	plan, err := Decode(path, text)
	if err != nil {
		return nil, err
	}
	runs, _, err := readRuns(filepath.Join(dir, runsFile))
	if err != nil {
		return nil, err
	}
	cellCount := len(plan.Cells())
	for i := range runs {
		r := &runs[i]
		if r.Plan != plan.digest() || r.Cell < 0 || r.Cell >= cellCount {
			return nil, ForeignRunError{
				Dir:  dir,
				Cell: r.Cell,
				Seed: r.Seed,
			}
		}
	}
	slices.SortStableFunc(runs, func(x, y Run) int {
		return cmp.Or(cmp.Compare(x.Cell, y.Cell), cmp.Compare(x.Seed, y.Seed))
	})
	plan.Name = filepath.Base(dir)
	return &Result{
		Plan: plan,
		Dir:  dir,
		Runs: runs,
	}, nil
}

// seedValues are values of a measure by seed.
type seedValues map[uint64]float64

func (v seedValues) seeds() []uint64 { return slices.Sorted(maps.Keys(v)) }

// inOrder returns the values in the order of their seeds.
func (v seedValues) inOrder() []float64 {
	values := make([]float64, 0, len(v))
	for _, seed := range v.seeds() {
		values = append(values, v[seed])
	}
	return values
}

// values returns a measure's values in the successful runs of a cell.
func (r *Result) values(cell Cell, measure string) seedValues {
	found := seedValues{}
	for i := range r.Runs {
		run := &r.Runs[i]
		if v, ok := run.Values[measure]; ok && run.Cell == cell.Index && run.Error == "" {
			found[run.Seed] = v
		}
	}
	return found
}

// Estimate returns the estimate of a measure in a cell.
func (r *Result) Estimate(cell Cell, measure string) Estimate {
	return newEstimate(r.values(cell, measure).inOrder())
}
