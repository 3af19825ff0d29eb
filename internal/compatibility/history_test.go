package compatibility_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// storedHistories are files in testdata, each with the arguments of the 'lab play' that wrote it.
var storedHistories = []struct {
	file string
	args []string
	code int // exit code of 'lab play' and of 'lab check'
}{
	{
		file: "gang-mixed.jsonl",
		args: []string{"gang-mixed", "--for", "1s", "--nodes", "3", "--allocators", "1", "--rate", "4"},
		code: 0,
	},
	{
		file: "two-binds.jsonl",
		args: []string{
			"quiet", "--break", "two-binds", "--for", "1500ms", "--nodes", "3", "--allocators", "1", "--rate", "4",
		},
		code: 1,
	},
}

func TestHistory_Written_AsStored(t *testing.T) {
	for _, h := range storedHistories {
		t.Run(h.file, func(t *testing.T) {
			written := filepath.Join(t.TempDir(), "history.jsonl")
			args := []string{"lab", "play", "--virtual", "--seed", "1", "--history", written}
			code, _, stderr := runCommand(append(args, h.args...)...)
			require.Equal(t, h.code, code, stderr)
			got, err := os.ReadFile(written)
			require.NoError(t, err)
			want, err := os.ReadFile(filepath.Join("testdata", "history", h.file))
			require.NoError(t, err)
			assert.True(t, bytes.Equal(want, got), "%s must be written with the same bytes", h.file)
		})
	}
}

func TestHistory_StoredFile_CheckedAsStored(t *testing.T) {
	for _, h := range storedHistories {
		t.Run(h.file, func(t *testing.T) {
			code, out, stderr := runCommand("lab", "check", filepath.Join("testdata", "history", h.file), "--json")
			require.Equal(t, h.code, code, stderr)
			compareWithStored(t, "json/lab-check-"+h.file+".json", stableJSON(t, out))
		})
	}
}

// costMeasure is the name of the measure that depends on wall time.
const costMeasure = "cost"

// comparedMeasures compares the two cells of an experiment, and returns the differences in all measures but the cost.
func comparedMeasures(t *testing.T, dir string) (compared []any) {
	t.Helper()
	_, out, stderr := runCommand("lab", "compare", dir+":none", dir+":crash", "--json")
	require.Empty(t, stderr)
	measures, ok := roundNumbers(parseDocument(t, out)).([]any)
	require.True(t, ok)
	for _, element := range measures {
		if measure, ok := element.(map[string]any); ok && measure["measure"] != costMeasure {
			compared = append(compared, element)
		}
	}
	require.Len(t, compared, len(measures)-1)
	return compared
}

// reproducibleRuns returns the JSON documents of the runs in an experiment's directory, without wall times.
func reproducibleRuns(t *testing.T, dir string) (runs []any) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "runs.jsonl"))
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		run, ok := roundNumbers(parseDocument(t, line)).(map[string]any)
		require.True(t, ok)
		values, ok := run["values"].(map[string]any)
		require.True(t, ok)
		require.Contains(t, run, "seconds")
		require.Contains(t, values, costMeasure)
		delete(run, "seconds")
		delete(values, costMeasure)
		runs = append(runs, run)
	}
	return runs
}

func TestExperimentJSON_AsStored(t *testing.T) {
	stored := filepath.Join("testdata", "experiment", "stored")
	_, out, stderr := runCommand("lab", "compare", stored+":none", stored+":crash", "--json")
	require.Empty(t, stderr)
	compareWithStored(t, "json/lab-compare.json", stableJSON(t, out))

	repeated := filepath.Join(t.TempDir(), "repeated")
	out = mustRun(t, "lab", "run", filepath.Join("testdata", "experiment", "small.hcl"), "-o", repeated, "--json")
	compareWithStored(t, "json/lab-run.json", stableJSON(t, out, "seconds"))

	assert.Equal(t, comparedMeasures(t, stored), comparedMeasures(t, repeated), "the results must not change")
	assert.ElementsMatch(t, reproducibleRuns(t, stored), reproducibleRuns(t, repeated),
		"the documents of the runs must not change")
}

func TestExperiment_StoredRuns_Resumed(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "experiment")
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "experiment", "stored"))))
	out := mustRun(t, "lab", "run", filepath.Join("testdata", "experiment", "small.hcl"), "-o", dir, "--json")
	assert.Contains(t, out, `"earlier": 4`, "stored runs must not be executed again")
}

func TestConfigCheckJSON_AsStored(t *testing.T) {
	out := mustRun(t, "config", "check", filepath.Join("testdata", "allocator.hcl"), "--json")
	compareWithStored(t, "json/config-check.json", stableJSON(t, out))
}
