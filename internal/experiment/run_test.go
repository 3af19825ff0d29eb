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

func TestRun_SmallPlan_SameSeedsInEveryCell(t *testing.T) {
	dir := t.TempDir()
	plan := decodePlan(t, smallPlan)
	report := runPlan(t, plan, dir)
	assert.Equal(t, smallPlanRuns, report.Total)
	assert.Equal(t, smallPlanRuns, report.Done)
	assert.Zero(t, report.Failed+report.Broken)
	assert.Empty(t, report.StopReason)
	result := readResult(t, dir)
	for _, c := range plan.Cells() {
		assert.Equal(t, []uint64{1, 2, 3}, result.values(c, "core_time").seeds(), c.Name())
	}

	rows, err := parquet.ReadFile[Row](filepath.Join(dir, parquetFile))
	require.NoError(t, err)
	assert.Greater(t, len(rows), smallPlanRuns*8, "a row for each measure of each run")
}

func TestScenario_Cell_AppliesLevels(t *testing.T) {
	plan := decodePlan(t, smallPlan)
	script, err := plan.Scenario(plan.Cells()[cellMoreCrash])
	require.NoError(t, err)
	assert.Equal(t, 8, script.NodeCount())
	assert.Equal(t, "crash", string(script.Faults[0].Kind))
}

func TestRun_OtherNumberOfWorkers_SameRuns(t *testing.T) {
	withTwo := t.TempDir()
	withOne := t.TempDir()
	plan := decodePlan(t, smallPlan)
	runPlan(t, plan, withTwo)
	plan.Limits.Workers = 1
	runPlan(t, plan, withOne)
	assert.Equal(t, reproducible(readResult(t, withTwo)), reproducible(readResult(t, withOne)))
}

// A killed process leaves a runs file that ends anywhere, also within a line. From each such file, the experiment must
// end up with the same runs as without the kill.
func TestRun_KilledExperiment_Resumes(t *testing.T) {
	complete := t.TempDir()
	resumed := t.TempDir()
	plan := decodePlan(t, smallPlan)
	runPlan(t, plan, complete)
	lines, err := os.ReadFile(filepath.Join(complete, runsFile))
	require.NoError(t, err)
	for cut := 0; cut < len(lines); cut += len(lines)/7 + 1 {
		writeDirectory(t, resumed, lines[:cut])
		report := runPlan(t, plan, resumed)
		assert.Equal(t, bytes.Count(lines[:cut], []byte("\n")), report.Earlier)
		assert.Equal(t, smallPlanRuns, report.Done)
		assert.Equal(t, reproducible(readResult(t, complete)), reproducible(readResult(t, resumed)))
	}
	assert.Equal(t, smallPlanRuns, runPlan(t, plan, resumed).Earlier, "a complete experiment must execute no run")
}

func TestRun_DirectoryOfOtherPlan_ReturnsError(t *testing.T) {
	dir := t.TempDir()
	writeDirectory(t, dir, nil)
	_, err := decodePlan(t, smallPlan+"\n").Run(context.Background(), dir, nil)
	require.ErrorContains(t, err, "holds another experiment")
	require.ErrorIs(t, err, OtherExperimentError{Dir: dir})
}

func TestRun_MalformedRun_ReturnsErrorWithLine(t *testing.T) {
	dir := t.TempDir()
	writeDirectory(t, dir, []byte("{}x\n"))
	_, err := decodePlan(t, smallPlan).Run(context.Background(), dir, nil)
	require.ErrorContains(t, err, "runs.jsonl:1: malformed run")
	var malformed MalformedRunError
	require.ErrorAs(t, err, &malformed)
	assert.Equal(t, 1, malformed.Line)
}

func TestRun_OverBudget_Stops(t *testing.T) {
	plan := decodePlan(t, smallPlan)
	plan.Limits.Budget = 1
	report := runPlan(t, plan, t.TempDir())
	assert.Zero(t, report.Done)
	assert.Contains(t, report.StopReason, "budget")
}

func TestRun_Cancelled_StopsAndResumes(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	report, err := decodePlan(t, smallPlan).Run(ctx, dir, nil)
	require.NoError(t, err)
	assert.Contains(t, report.StopReason, "stopped")
	assert.Less(t, report.Done, smallPlanRuns)
	assert.Equal(t, smallPlanRuns, runPlan(t, decodePlan(t, smallPlan), dir).Done)
}

func TestRun_UnknownRevision_ReturnsError(t *testing.T) {
	plan := decodePlan(t, `
		factor "program" {
			level "now" {}
			level "then" {
				build = "no-such-revision"
			}
		}`)
	_, err := plan.Run(context.Background(), t.TempDir(), nil)
	require.ErrorContains(t, err, `level "then"`)
	assert.Less(t, plan.Limits.Timeout, time.Hour)
}

func TestRun_RunFileCannotBeWritten_ReturnsError(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.Symlink("/dev/full", filepath.Join(dir, runsFile)))
	report, err := decodePlan(t, smallPlan).Run(context.Background(), dir, nil)
	require.ErrorIs(t, err, syscall.ENOSPC)
	assert.Zero(t, report.Done, "a run that could not be written must not count as done")
}
