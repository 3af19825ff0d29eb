package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDo_RunsEveryCellWithTheSameSeeds(t *testing.T) {
	dir := t.TempDir()
	p := decodePlan(t, smallPlan)
	r := doPlan(t, p, dir)
	assert.Equal(t, 12, r.Total)
	assert.Equal(t, 12, r.Done)
	assert.Zero(t, r.Failed+r.Broken)
	assert.Empty(t, r.StopReason)
	got := readResult(t, dir)
	for _, c := range p.Cells() {
		assert.Len(t, got.values(c, "core_time"), 3, c.Name())
	}
	scenario, err := p.Scenario(p.Cells()[3])
	require.NoError(t, err)
	assert.Equal(t, 8, scenario.NodeCount())
	assert.Equal(t, "crash", string(scenario.Faults[0].Kind))
	rows, err := parquet.ReadFile[Row](filepath.Join(dir, parquetFile))
	require.NoError(t, err)
	assert.Greater(t, len(rows), 12*8)

	// The number of workers makes no difference.
	other := t.TempDir()
	p.Workers = 1
	doPlan(t, p, other)
	assert.Equal(t, reproducible(got), reproducible(readResult(t, other)))
}

// An experiment that is killed leaves runs, and perhaps an incomplete line.
func TestDo_KilledExperiment_Resumes(t *testing.T) {
	complete, dir := t.TempDir(), t.TempDir()
	p := decodePlan(t, smallPlan)
	doPlan(t, p, complete)
	lines, err := os.ReadFile(filepath.Join(complete, runsFile))
	require.NoError(t, err)
	for cut := 0; cut < len(lines); cut += len(lines)/7 + 1 {
		require.NoError(t, os.WriteFile(filepath.Join(dir, planFile), []byte(smallPlan), 0o644))
		require.NoError(t, os.WriteFile(filepath.Join(dir, runsFile), lines[:cut], 0o644))
		r := doPlan(t, p, dir)
		assert.Equal(t, bytes.Count(lines[:cut], []byte("\n")), r.Earlier)
		assert.Equal(t, 12, r.Done)
		assert.Equal(t, reproducible(readResult(t, complete)), reproducible(readResult(t, dir)))
	}
	assert.Equal(t, 12, doPlan(t, p, dir).Earlier, "a complete experiment makes no run")
	_, err = decodePlan(t, smallPlan+"\n").Run(context.Background(), dir, nil)
	require.ErrorContains(t, err, "holds another experiment")
	require.ErrorIs(t, err, OtherExperimentError{Dir: dir})
	require.NoError(t, os.WriteFile(filepath.Join(dir, runsFile), []byte("{}x\n"), 0o644))
	_, err = p.Run(context.Background(), dir, nil)
	require.ErrorContains(t, err, "runs.jsonl:1: no run")
	var malformed MalformedRunError
	require.ErrorAs(t, err, &malformed)
	assert.Equal(t, 1, malformed.Line)
}

func TestDo_CancelledOrOverBudget_Stops(t *testing.T) {
	p := decodePlan(t, smallPlan)
	p.Budget = 1
	r := doPlan(t, p, t.TempDir())
	assert.Zero(t, r.Done)
	assert.Contains(t, r.StopReason, "budget")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	dir := t.TempDir()
	r, err := decodePlan(t, smallPlan).Run(ctx, dir, nil)
	require.NoError(t, err)
	assert.Contains(t, r.StopReason, "stopped")
	assert.Less(t, r.Done, 12)
	assert.Equal(t, 12, doPlan(t, decodePlan(t, smallPlan), dir).Done)
}

func TestDo_UnknownRevision_ReturnsError(t *testing.T) {
	p := decodePlan(t, "factor \"program\" {\n level \"now\" {}\n level \"then\" {\n build = \"no-such-revision\"\n }\n}")
	_, err := p.Run(context.Background(), t.TempDir(), nil)
	require.ErrorContains(t, err, `level "then"`)
	assert.Less(t, p.Timeout, time.Hour)
}

func TestDo_RunFileCannotBeWritten_ReturnsError(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.Symlink("/dev/full", filepath.Join(dir, runsFile)))
	r, err := decodePlan(t, smallPlan).Run(context.Background(), dir, nil)
	require.ErrorIs(t, err, syscall.ENOSPC)
	assert.Zero(t, r.Done, "a run that is not written is not done")
}
