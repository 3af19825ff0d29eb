package experiment

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"image/png"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const small = `
about   = "a small one"
script  = "quiet"
repeats = 3
workers = 2

factor "size" {
  level "few" {
    nodes  = 4
    length = "2s"
  }
  level "more" {
    nodes  = 8
    length = "2s"
  }
}

factor "fault" {
  level "none" {}
  level "crash" {
    day {
      fault "crash" {
        at   = "500ms"
        for  = "1s"
        part = 1
      }
    }
  }
}
`

func plan(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := Decode("small.hcl", []byte(text))
	require.NoError(t, err)
	return p
}

func do(t *testing.T, p *Plan, dir string) *Report {
	t.Helper()
	r, err := p.Do(context.Background(), dir, nil)
	require.NoError(t, err)
	return r
}

func read(t *testing.T, dir string) *Result {
	t.Helper()
	r, err := Read(dir)
	require.NoError(t, err)
	return r
}

// same takes out of runs what differs from run to run: the time that they took.
func same(r *Result) string {
	var b strings.Builder
	for _, run := range r.Runs {
		delete(run.Values, "cost")
		fmt.Fprintln(&b, run.Cell, run.Seed, run.Digest, run.Error, run.Values)
	}
	return b.String()
}

func TestEveryCrossingIsPlayedWithTheSameSeeds(t *testing.T) {
	dir := t.TempDir()
	p := plan(t, small)
	r := do(t, p, dir)
	assert.Equal(t, 12, r.Of)
	assert.Equal(t, 12, r.Done)
	assert.Zero(t, r.Failed+r.Broken)
	assert.Empty(t, r.Why)
	got := read(t, dir)
	for _, c := range p.Cells() {
		assert.Len(t, got.values(c.No, "core_time"), 3, c.Name())
	}
	day, err := p.Day(p.Cells()[3])
	require.NoError(t, err)
	assert.Equal(t, 8, day.NodeCount())
	assert.Equal(t, "crash", string(day.Faults[0].Kind))
	rows, err := parquet.ReadFile[Row](filepath.Join(dir, parquetFile))
	require.NoError(t, err)
	assert.Greater(t, len(rows), 12*8)

	// Whoever plays it, on however many cores, finds the same.
	other := t.TempDir()
	p.Workers = 1
	do(t, p, other)
	assert.Equal(t, same(got), same(read(t, other)))
}

// An experiment that is killed leaves runs and perhaps half a line; what it then plays is what it had not.
func TestAnExperimentGoesOnWhereItWasKilled(t *testing.T) {
	whole, dir := t.TempDir(), t.TempDir()
	p := plan(t, small)
	do(t, p, whole)
	lines, err := os.ReadFile(filepath.Join(whole, runsFile))
	require.NoError(t, err)
	for cut := 0; cut < len(lines); cut += len(lines)/7 + 1 {
		require.NoError(t, os.WriteFile(filepath.Join(dir, planFile), []byte(small), 0o644))
		require.NoError(t, os.WriteFile(filepath.Join(dir, runsFile), lines[:cut], 0o644))
		r := do(t, p, dir)
		assert.Equal(t, bytes.Count(lines[:cut], []byte("\n")), r.Earlier)
		assert.Equal(t, 12, r.Done)
		assert.Equal(t, same(read(t, whole)), same(read(t, dir)))
	}
	assert.Equal(t, 12, do(t, p, dir).Earlier, "a complete one plays nothing")
	_, err = plan(t, small+"\n").Do(context.Background(), dir, nil)
	assert.ErrorContains(t, err, "holds another experiment")
	require.NoError(t, os.WriteFile(filepath.Join(dir, runsFile), []byte("{}x\n"), 0o644))
	_, err = p.Do(context.Background(), dir, nil)
	assert.ErrorContains(t, err, "runs.jsonl:1: no run")
}

func TestAnExperimentStopsWhenItIsToldOrItsBudgetIsOver(t *testing.T) {
	p := plan(t, small)
	p.Budget = 1
	r := do(t, p, t.TempDir())
	assert.Zero(t, r.Done)
	assert.Contains(t, r.Why, "budget")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	dir := t.TempDir()
	r, err := plan(t, small).Do(ctx, dir, nil)
	require.NoError(t, err)
	assert.Contains(t, r.Why, "stopped")
	assert.Less(t, r.Done, 12)
	assert.Equal(t, 12, do(t, plan(t, small), dir).Done)
}

func TestAReportSaysWhatCrashedAndLeavesItOut(t *testing.T) {
	dir := t.TempDir()
	p := plan(t, small)
	p.Each = 1 // every day is given up
	r := do(t, p, dir)
	assert.Equal(t, 12, r.Failed)
	path, err := read(t, dir).WriteReport()
	require.NoError(t, err)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Contains(t, string(text), "Days that came to nothing")
	assert.Contains(t, string(text), "took too long")
	assert.NotContains(t, string(text), "<img")
}

func TestAReportIsOnePageWithItsPlots(t *testing.T) {
	dir := t.TempDir()
	do(t, plan(t, strings.Replace(small, "repeats = 3", "repeats = 8", 1)), dir)
	path, err := read(t, dir).WriteReport()
	require.NoError(t, err)
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	text := strings.ReplaceAll(string(page), "&#43;", "+")
	assert.False(t, strings.Contains(text, "http://"))
	assert.False(t, strings.Contains(text, "https://"))
	for _, m := range []string{"core_time", "wait_p99", "list_entries", "probes"} {
		assert.True(t, strings.Contains(text, "<h2>"+m), m)
		f, err := os.ReadFile(filepath.Join(dir, "plots", m+".png"))
		require.NoError(t, err)
		_, err = png.Decode(bytes.NewReader(f))
		require.NoError(t, err)
		assert.True(t, strings.Contains(text, base64.StdEncoding.EncodeToString(f)), m)
	}
	assert.True(t, strings.Contains(text, "more / crash"), "cells are named")
	assert.True(t, strings.Contains(text, "fault &#34;crash&#34; against &#34;none&#34;"), "what a factor did is said")
}

func TestCellsAreComparedInPairs(t *testing.T) {
	dir := t.TempDir()
	p := plan(t, strings.Replace(small, "repeats = 3", "repeats = 8", 1))
	do(t, p, dir)
	a, err := OpenSide(dir + ":more/none")
	require.NoError(t, err)
	b, err := OpenSide(dir + ":more/crash")
	require.NoError(t, err)
	all, err := Compare(a, b)
	require.NoError(t, err)
	found := map[string]Difference{}
	for _, d := range all {
		found[d.Measure] = d
	}
	assert.Equal(t, 8, found["core_time"].More.N)
	assert.Equal(t, "worse", found["core_time"].Verdict)
	assert.Less(t, found["core_time"].More.High, 0.0)
	self, err := Compare(a, a)
	require.NoError(t, err)
	for _, d := range self {
		assert.Equal(t, "the same in every pair", d.Verdict, d.Measure)
	}
	_, err = OpenSide(dir + ":more/flood")
	assert.ErrorContains(t, err, "known are few/none, few/crash, more/none, more/crash")
	_, err = OpenSide(t.TempDir())
	assert.ErrorContains(t, err, "holds no experiment")
	all2, err := OpenSide(dir)
	require.NoError(t, err)
	_, err = Compare(a, all2)
	assert.ErrorContains(t, err, "name a cell on both")
}

// The interval must hold the true mean about as often as it says, and the smallest difference seen must be one that
// is seen about four times of five.
func TestIntervalsHoldWhatTheySay(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const times = 4000
	held, seen := 0, 0
	for range times {
		values := make([]float64, 8)
		for i := range values {
			values[i] = 5 + rng.NormFloat64()
		}
		if e := estimate(values); e.Low <= 5 && 5 <= e.High {
			held++
		}
		// A true difference as large as that for a deviation of 1 and 8 values.
		shift := 1.15
		for i := range values {
			values[i] = shift + rng.NormFloat64()
		}
		if e := estimate(values); e.P < 0.05 {
			seen++
		}
	}
	assert.InDelta(t, 0.95, float64(held)/times, 0.015)
	assert.InDelta(t, 0.8, float64(seen)/times, 0.05)
	e := estimate([]float64{-1, 1, -1, 1, -1, 1, -1, 1})
	assert.InDelta(t, 1.15, e.Sees, 0.15)
}

func TestFewValuesClaimNothing(t *testing.T) {
	assert.True(t, math.IsNaN(estimate(nil).Mean))
	one := estimate([]float64{3})
	assert.True(t, math.IsInf(one.Low, -1) && math.IsInf(one.High, 1))
	assert.Equal(t, 1.0, one.P)
	alike := estimate([]float64{2, 2, 2})
	assert.Equal(t, 2.0, alike.Low)
	assert.True(t, alike.Alike)
}

// Of twenty comparisons of nothing one shows something by chance; counted in, it is none.
func TestManyComparisonsAreCountedIn(t *testing.T) {
	all := make([]Difference, 20)
	for i := range all {
		all[i] = Difference{Measure: "rejected", More: Estimate{Mean: 1, P: 0.5, N: 9, Sees: 2}}
	}
	all[3].More.P = 0.04
	judge(all)
	assert.False(t, all[3].Sure)
	assert.Contains(t, all[3].Verdict, "perhaps")
	assert.Contains(t, all[0].Verdict, "one under 2.00 would not have been")
	all[3].More.P = 1e-4
	judge(all)
	assert.Equal(t, "worse", all[3].Verdict)
}

func TestAWrongPlanIsNamedWithItsLine(t *testing.T) {
	for text, want := range map[string]string{
		"repeats = 0":     "x.hcl:1: repeats is 0",
		"factor \"f\" {}": `x.hcl:1: factor "f" has no level`,
		"factor \"f\" {\n level \"a\" {\n nodez = 3\n }\n}": "x.hcl:3: nodez is not a known argument; did you mean nodes?",
		"script = \"ruogh\"": `no script is named "ruogh"`,
		"factor \"f\" {\n level \"a\" {\n day {\n lod {}\n}\n}\n}":                                                "x.hcl:4: lod is not a known block",
		"factor \"f\" {\n level \"a\" {\n day {\n fault \"flood\" {}\n}\n}\n}":                                    `x.hcl:4: a fault of kind "flood" is not known`,
		"factor \"f\" {\n level \"a\" {\n build = \"HEAD\"\n}\n level \"b\" {\n day {\n length = \"3s\"\n}\n}\n}": "x.hcl:6: a day block beside a level with a build",
	} {
		_, err := Decode("x.hcl", []byte(text))
		assert.ErrorContains(t, err, want, text)
	}
}

func TestABuildThatIsNoneIsSaidBeforeAnythingIsPlayed(t *testing.T) {
	p := plan(t, "factor \"program\" {\n level \"now\" {}\n level \"then\" {\n build = \"no-such-revision\"\n }\n}")
	_, err := p.Do(context.Background(), t.TempDir(), nil)
	assert.ErrorContains(t, err, `level "then"`)
	assert.Less(t, p.Each, time.Hour)
}

// Some days crashed: they are named, and the rest is reported without them.
func TestAReportCountsWhatDidNotCrash(t *testing.T) {
	dir := t.TempDir()
	p := plan(t, small)
	crashed := Run{Plan: p.digest(), Cell: 0, Levels: []string{"few", "none"}, Seed: 2, Error: "it crashed: index out of range"}
	line, err := json.Marshal(crashed)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, planFile), []byte(small), 0o644))
	require.NoError(t, os.WriteFile(filepath.Join(dir, runsFile), append(line, '\n'), 0o644))
	r := do(t, p, dir)
	assert.Equal(t, 1, r.Failed)
	got := read(t, dir)
	assert.Equal(t, 2, got.Of(0, "core_time").N)
	path, err := got.WriteReport()
	require.NoError(t, err)
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.True(t, strings.Contains(string(page), "seed 2: it crashed: index out of range"))
	assert.True(t, strings.Contains(string(page), "<h2>core_time"))
}
