package experiment

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWriteReport_AllRunsFailed_ListsThem(t *testing.T) {
	dir := t.TempDir()
	plan := decodePlan(t, smallPlan)
	plan.Limits.Timeout = 1 // every run is aborted
	assert.Equal(t, smallPlanRuns, runPlan(t, plan, dir).Failed)
	text := writeReport(t, readResult(t, dir))
	assert.Contains(t, text, "Runs that failed")
	assert.Contains(t, text, "took too long")
	assert.NotContains(t, text, "<img")
}

func TestWriteReport_OnePageWithPlots(t *testing.T) {
	dir := t.TempDir()
	runPlan(t, eightSeedsPlan(t), dir)
	page := writeReport(t, readResult(t, dir))
	text := strings.ReplaceAll(page, "&#43;", "+") // base64 as the template escapes it
	assert.NotContains(t, text, "http://")
	assert.NotContains(t, text, "https://")
	for _, measure := range []string{"core_time", "wait_p99", "list_entries", "probes"} {
		assert.Contains(t, text, "<h2>"+measure)
		plot, err := os.ReadFile(filepath.Join(dir, plotsDirectory, measure+plotExtension))
		require.NoError(t, err)
		_, err = png.Decode(bytes.NewReader(plot))
		require.NoError(t, err)
		assert.Contains(t, text, base64.StdEncoding.EncodeToString(plot), measure)
	}
	assert.Contains(t, text, "more / crash", "name of a cell")
	assert.Contains(t, text, "fault &#34;crash&#34; against &#34;none&#34;", "effect of a level")
}

func TestWriteReport_SomeRunsFailed_CountsTheOthers(t *testing.T) {
	dir := t.TempDir()
	plan := decodePlan(t, smallPlan)
	crashed := Run{
		Plan:   plan.digest(),
		Cell:   cellFewNone,
		Levels: []string{"few", "none"},
		Seed:   2,
		Error:  "it crashed: index out of range",
	}
	line, err := json.Marshal(crashed)
	require.NoError(t, err)
	writeDirectory(t, dir, append(line, '\n'))
	assert.Equal(t, 1, runPlan(t, plan, dir).Failed)
	result := readResult(t, dir)
	assert.Equal(t, plan.Repeats-1, result.Estimate(plan.Cells()[cellFewNone], "core_time").N)
	text := writeReport(t, result)
	assert.Contains(t, text, "seed 2: it crashed: index out of range")
	assert.Contains(t, text, "<h2>core_time")
}
