package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/parquet-go/parquet-go"

	"grebeglade/internal/simulation"
)

// Files of an experiment's directory.
const (
	planFile    = "experiment.hcl"
	runsFile    = "runs.jsonl"
	parquetFile = "runs.parquet"
)

// Run is one day that was played, or was begun and came to nothing.
type Run struct {
	Plan    string             `json:"plan"` // digest of the plan's text
	Cell    int                `json:"cell"`
	Levels  []string           `json:"levels"`
	Seed    uint64             `json:"seed"`
	Error   string             `json:"error,omitempty"`
	Seconds float64            `json:"seconds"`
	Digest  string             `json:"digest,omitempty"` // of the allocators' records: the same plan and seed give the same
	Values  map[string]float64 `json:"values,omitempty"`
}

// Row is one figure of one run, as Parquet holds it.
type Row struct {
	Cell    int32   `parquet:"cell"`
	Levels  string  `parquet:"levels,dict"`
	Seed    uint64  `parquet:"seed"`
	Measure string  `parquet:"measure,dict"`
	Value   float64 `parquet:"value"`
	Error   string  `parquet:"error,dict"`
	Digest  string  `parquet:"digest,dict"`
	Seconds float64 `parquet:"seconds"`
}

// Report is how far a run of the experiment came.
type Report struct {
	Of      int     `json:"of"`
	Done    int     `json:"done"` // earlier runs of a resumed experiment too
	Earlier int     `json:"earlier"`
	Failed  int     `json:"failed"`
	Broken  int     `json:"days_that_broke_a_rule"`
	Seconds float64 `json:"seconds"`
	Why     string  `json:"stopped,omitempty"`
}

func (p *Plan) digest() string { return fmt.Sprintf("%016x", xxhash.Sum64(p.src)) }

// job is a day to be played.
type job struct {
	cell Cell
	seed uint64
}

// Do plays what the directory does not hold yet. Every finished day is written at once: an experiment that is killed
// goes on where it was. Days are played repeat by repeat, so that what is there is balanced whenever it stops.
func (p *Plan) Do(ctx context.Context, dir string, told func(r Run, done, of int)) (*Report, error) {
	began := time.Now()
	kept, err := p.claim(dir)
	if err != nil {
		return nil, err
	}
	builds, err := p.builds(ctx)
	defer builds.remove()
	if err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(dir, runsFile), os.O_APPEND|os.O_WRONLY|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	report := &Report{}
	have := map[string]bool{}
	for _, r := range kept {
		have[fmt.Sprint(r.Cell, " ", r.Seed)] = true
		report.count(r)
	}
	report.Earlier = report.Done
	var jobs []job
	for i := range p.Repeats {
		for _, c := range p.Cells() {
			report.Of++
			if seed := p.Seed + uint64(i); !have[fmt.Sprint(c.No, " ", seed)] {
				jobs = append(jobs, job{c, seed})
			}
		}
	}
	next, results := make(chan job), make(chan Run)
	stop := ctx.Done()
	go func() {
		defer close(next)
		for _, j := range jobs {
			if time.Since(began) > p.Budget || ctx.Err() != nil {
				return
			}
			select {
			case next <- j:
			case <-stop:
				return
			}
		}
	}()
	var wg sync.WaitGroup
	for range p.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range next {
				results <- p.play(ctx, j, builds)
			}
		}()
	}
	go func() {
		wg.Wait()
		close(results)
	}()
	for r := range results {
		if ctx.Err() != nil && r.Error != "" {
			continue // it was cut short with the experiment, and is played when that is resumed
		}
		line, merr := json.Marshal(r)
		if merr == nil {
			_, merr = out.Write(append(line, '\n'))
		}
		if merr != nil {
			err = errors.Join(err, merr)
			continue
		}
		kept = append(kept, r)
		report.count(r)
		if told != nil {
			told(r, report.Done, report.Of)
		}
	}
	switch {
	case report.Done == report.Of:
	case ctx.Err() != nil:
		report.Why = "it was stopped; the same command goes on"
	default:
		report.Why = fmt.Sprintf("its budget of %s is over; the same command goes on", p.Budget)
	}
	report.Seconds = time.Since(began).Seconds()
	return report, errors.Join(err, writeParquet(filepath.Join(dir, parquetFile), kept))
}

func (r *Report) count(run Run) {
	r.Done++
	if run.Error != "" {
		r.Failed++
	}
	if run.Values["broken"] > 0 {
		r.Broken++
	}
}

// claim makes the directory, or reads what an earlier run of the same plan left in it.
func (p *Plan) claim(dir string) ([]Run, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, planFile)
	src, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, os.WriteFile(path, p.src, 0o644)
	case err != nil:
		return nil, err
	case !bytes.Equal(src, p.src):
		return nil, fmt.Errorf("%s holds another experiment, or an earlier text of this one; give another directory, or remove it", dir)
	}
	return readRuns(filepath.Join(dir, runsFile), true)
}

// readRuns reads runs line by line. A last line that was cut off as its writer died is dropped, and its day is played
// again; with mend it is taken off the file, so that what is added begins a line of its own.
func readRuns(path string, mend bool) ([]Run, error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var runs []Run
	in := bufio.NewReader(f)
	whole := int64(0)
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			if len(line) > 0 && mend {
				return runs, os.Truncate(path, whole)
			}
			return runs, nil
		}
		if err != nil {
			return nil, err
		}
		var r Run
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("%s:%d: no run: %w; remove the line, and its day is played again", path, n, err)
		}
		runs = append(runs, r)
		whole += int64(len(line))
	}
}

// play plays a day; whatever goes wrong becomes the run's error.
func (p *Plan) play(ctx context.Context, j job, b *builds) (run Run) {
	began := time.Now()
	run = Run{Plan: p.digest(), Cell: j.cell.No, Seed: j.seed}
	build := ""
	for _, l := range j.cell.Levels {
		run.Levels = append(run.Levels, l.Name)
		if l.Build != "" {
			build = l.Build
		}
	}
	defer func() {
		if r := recover(); r != nil {
			run.Error = fmt.Sprintf("it crashed: %v\n%s", r, firstLines(string(debug.Stack()), 30))
		}
		run.Seconds = time.Since(began).Seconds()
	}()
	s, err := p.Day(j.cell)
	if err != nil {
		run.Error = err.Error()
		return run
	}
	var result *simulation.Result
	if build != "" {
		result, err = b.play(ctx, build, p, j)
	} else {
		until := began.Add(p.Each)
		if deadline, ok := ctx.Deadline(); ok && deadline.Before(until) {
			until = deadline
		}
		result, err = simulation.PlayVirtual(s, simulation.Options{Seed: j.seed, Oracle: p.Oracle, Deadline: until, Cancelled: ctx.Err})
	}
	if err != nil {
		run.Error = err.Error()
		return run
	}
	run.Digest, run.Values = result.Digest, map[string]float64{}
	for _, m := range Measures {
		if v, ok := m.of(result); ok {
			run.Values[m.Name] = v
		}
	}
	return run
}

func firstLines(s string, n int) string {
	lines := strings.SplitN(s, "\n", n+1)
	return strings.Join(lines[:min(n, len(lines))], "\n")
}

func writeParquet(path string, runs []Run) error {
	var rows []Row
	for _, r := range runs {
		row := Row{
			Cell: int32(r.Cell), Levels: strings.Join(r.Levels, " / "), Seed: r.Seed, Error: r.Error, Digest: r.Digest, Seconds: r.Seconds,
		}
		if r.Error != "" {
			rows = append(rows, row)
		}
		for _, m := range Measures {
			if v, ok := r.Values[m.Name]; ok {
				row.Measure, row.Value = m.Name, v
				rows = append(rows, row)
			}
		}
	}
	return parquet.WriteFile(path, rows)
}

// builds are programs of other revisions of this repository, each built once.
type builds struct {
	dir  string
	bins map[string]string
}

func (b *builds) remove() {
	if b != nil && b.dir != "" {
		os.RemoveAll(b.dir)
	}
}

// builds checks the revisions out, beside the repository that the command runs in, and builds them.
func (p *Plan) builds(ctx context.Context) (*builds, error) {
	b := &builds{bins: map[string]string{}}
	for _, f := range p.Factors {
		for _, l := range f.Levels {
			if l.Build == "" || b.bins[l.Build] != "" {
				continue
			}
			if b.dir == "" {
				dir, err := os.MkdirTemp("", "grebeglade-build-")
				if err != nil {
					return b, err
				}
				b.dir = dir
			}
			bin, err := build(ctx, b.dir, l.Build, len(b.bins))
			if err != nil {
				return b, fmt.Errorf("level %q: %w", l.Name, err)
			}
			b.bins[l.Build] = bin
		}
	}
	return b, nil
}

func build(ctx context.Context, dir, revision string, no int) (string, error) {
	if strings.HasPrefix(revision, "-") {
		return "", fmt.Errorf("%q is no revision", revision)
	}
	src, bin := filepath.Join(dir, fmt.Sprint("src", no)), filepath.Join(dir, fmt.Sprint("grebeglade", no))
	if err := os.MkdirAll(src, 0o755); err != nil {
		return "", err
	}
	archive := filepath.Join(dir, fmt.Sprint("src", no, ".tar"))
	top, err := output(ctx, "", "git", "rev-parse", "--show-toplevel")
	if err != nil {
		return "", fmt.Errorf("a build of a revision needs the repository around it: %w", err)
	}
	for _, step := range []struct {
		in   string
		args []string
	}{
		{strings.TrimSpace(top), []string{"git", "archive", "--format=tar", "--output", archive, revision}},
		{src, []string{"tar", "-xf", archive}},
		{src, []string{"go", "build", "-o", bin, "./cmd/grebeglade"}},
	} {
		if _, err := output(ctx, step.in, step.args...); err != nil {
			return "", err
		}
	}
	return bin, nil
}

func output(ctx context.Context, dir string, args ...string) (string, error) {
	c := exec.CommandContext(ctx, args[0], args[1:]...)
	c.Dir = dir
	var complaint bytes.Buffer
	c.Stderr = &complaint
	out, err := c.Output()
	if err != nil {
		return string(out), fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, firstLines(strings.TrimSpace(complaint.String()), 10))
	}
	return string(out), nil
}

// play has another build play a cell's day, by its own command. What a level sets besides size and load the other
// build would have to understand in the same words, so it is handed a script that names what differs.
func (b *builds) play(ctx context.Context, build string, p *Plan, j job) (*simulation.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Each)
	defer cancel()
	args := []string{b.bins[build], "lab", "play", p.Script, "--virtual", "--json", "--seed", fmt.Sprint(j.seed)}
	for _, l := range j.cell.Levels {
		if l.Script != "" {
			args[3] = l.Script
		}
		for flag, v := range map[string]float64{
			"--nodes": float64(l.Nodes), "--allocators": float64(l.Allocators), "--rate": l.Rate, "--load": l.Load,
		} {
			if v > 0 {
				args = append(args, flag, fmt.Sprint(v))
			}
		}
		if l.Length > 0 {
			args = append(args, "--for", toDuration(l.Length).String())
		}
	}
	out, err := output(ctx, "", args...)
	var r simulation.Result
	if jerr := json.Unmarshal([]byte(out), &r); jerr != nil {
		if err == nil {
			err = jerr
		}
		return nil, fmt.Errorf("build %s: %w", build, err)
	}
	return &r, nil // with exit status 1 a rule broke, and the result says which
}
