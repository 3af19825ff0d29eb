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

// storedHistories are files of testdata with the arguments of 'lab play' that wrote them, and the exit code then and of 'lab check'.
var storedHistories = []struct {
	file string
	args []string
	code int
}{
	{"gang-mixed.jsonl", []string{"gang-mixed", "--for", "1s", "--nodes", "3", "--allocators", "1", "--rate", "4"}, 0},
	{"two-binds.jsonl", []string{"quiet", "--break", "two-binds", "--for", "1500ms", "--nodes", "3", "--allocators", "1", "--rate", "4"}, 1},
}

func TestHistories_AreWrittenAsStored(t *testing.T) {
	for _, h := range storedHistories {
		t.Run(h.file, func(t *testing.T) {
			made := filepath.Join(t.TempDir(), "history.jsonl")
			code, _, stderr := runCommand(append([]string{"lab", "play", "--virtual", "--seed", "1", "--history", made}, h.args...)...)
			require.Equal(t, h.code, code, stderr)
			got, err := os.ReadFile(made)
			require.NoError(t, err)
			want, err := os.ReadFile(filepath.Join("testdata", "history", h.file))
			require.NoError(t, err)
			assert.True(t, bytes.Equal(want, got), "%s is written otherwise", h.file)
		})
	}
}

func TestHistories_StoredFilesAreJudgedAsStored(t *testing.T) {
	for _, h := range storedHistories {
		t.Run(h.file, func(t *testing.T) {
			code, out, stderr := runCommand("lab", "check", filepath.Join("testdata", "history", h.file), "--json")
			require.Equal(t, h.code, code, stderr)
			compareWithStored(t, "json/lab-check-"+h.file+".json", stableJSON(t, out))
		})
	}
}

// figures are what an experiment's comparison says of all measures but the cost, which is wall time.
func figures(t *testing.T, dir string) (all []any) {
	t.Helper()
	_, out, stderr := runCommand("lab", "compare", dir+":none", dir+":crash", "--json")
	require.Empty(t, stderr)
	measures, ok := roundNumbers(parseDocument(t, out)).([]any)
	require.True(t, ok)
	for _, m := range measures {
		if measure, ok := m.(map[string]any); ok && measure["measure"] != "cost" {
			all = append(all, m)
		}
	}
	require.Len(t, all, len(measures)-1)
	return all
}

// runs are the documents that an experiment's directory holds, without what is wall time.
func runs(t *testing.T, dir string) (all []any) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "runs.jsonl"))
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		run, ok := roundNumbers(parseDocument(t, line)).(map[string]any)
		require.True(t, ok)
		values, ok := run["values"].(map[string]any)
		require.True(t, ok)
		require.Contains(t, run, "seconds")
		require.Contains(t, values, "cost")
		delete(run, "seconds")
		delete(values, "cost")
		all = append(all, run)
	}
	return all
}

func TestExperimentJSON_AsStored(t *testing.T) {
	stored := filepath.Join("testdata", "experiment", "stored")
	_, out, stderr := runCommand("lab", "compare", stored+":none", stored+":crash", "--json")
	require.Empty(t, stderr)
	compareWithStored(t, "json/lab-compare.json", stableJSON(t, out))

	made := filepath.Join(t.TempDir(), "made")
	out = mustRun(t, "lab", "run", filepath.Join("testdata", "experiment", "small.hcl"), "-o", made, "--json")
	compareWithStored(t, "json/lab-run.json", stableJSON(t, out, "seconds"))

	assert.Equal(t, figures(t, stored), figures(t, made), "the scenarios came out otherwise")
	assert.ElementsMatch(t, runs(t, stored), runs(t, made), "the runs are written otherwise")
}

func TestExperiment_StoredRunsAreContinued(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "experiment")
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "experiment", "stored"))))
	out := mustRun(t, "lab", "run", filepath.Join("testdata", "experiment", "small.hcl"), "-o", dir, "--json")
	assert.Contains(t, out, `"earlier": 4`, "the stored runs are not recognised")
}

func TestConfigCheckJSON_AsStored(t *testing.T) {
	out := mustRun(t, "config", "check", filepath.Join("testdata", "allocator.hcl"), "--json")
	compareWithStored(t, "json/config-check.json", stableJSON(t, out))
}
