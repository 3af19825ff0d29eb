package compatibility_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"grebeglade/trace"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// storedTraces are directories of testdata with what 'lab play --trace' wrote.
var storedTraces = []string{"gang-mixed", "rough", "state-death"}

func traceFiles(t *testing.T, name string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", "trace", name, "*", "*.gbt"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files
}

func TestStoredTraces_CommandsPrintAsStored(t *testing.T) {
	for _, name := range storedTraces {
		dir := filepath.Join("testdata", "trace", name)
		for _, c := range []struct {
			file string
			args []string
		}{
			{"summary.txt", []string{"trace", "summary", dir}},
			{"summary.json", []string{"trace", "summary", dir, "--json"}},
			{"verify.json", []string{"trace", "verify", dir, "--json"}},
			{"replay.txt", []string{"trace", "replay", dir}},
			{"replay.json", []string{"trace", "replay", dir, "--json"}},
			{"show.json", []string{"trace", "show", dir, "--json", "--most", "60"}},
		} {
			t.Run(name+"/"+c.file, func(t *testing.T) {
				out := mustRun(t, c.args...)
				if filepath.Ext(c.file) == ".json" {
					out = stableJSON(t, out)
				}
				compareWithStored(t, filepath.Join("trace", name, c.file), out)
			})
		}
	}
}

func TestStoredTraces_ReplayIsIdentical(t *testing.T) {
	for _, name := range storedTraces {
		out := mustRun(t, "trace", "replay", filepath.Join("testdata", "trace", name))
		assert.Contains(t, out, ": identical, ", name)
		assert.NotContains(t, out, "DIFFERS", name)
	}
}

func TestStoredTraces_RecordsEncodeToTheSameBytes(t *testing.T) {
	for _, name := range storedTraces {
		for _, file := range traceFiles(t, name) {
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			r, err := trace.Open(file)
			require.NoError(t, err)
			var got bytes.Buffer
			w, err := trace.NewWriter(&got, r.Header)
			require.NoError(t, err)
			for record, err := range r.Records(trace.Span{}) {
				require.NoError(t, err)
				require.NoError(t, w.Append(record))
			}
			require.NoError(t, w.Close())
			require.NoError(t, r.Close())
			assert.True(t, bytes.Equal(want, got.Bytes()), "%s is encoded otherwise", file)
		}
	}
}

func TestVirtualScenario_RecordsTheStoredTrace(t *testing.T) {
	dir := t.TempDir()
	mustRun(t, "lab", "play", "gang-mixed", "--virtual", "--seed", "1", "--for", "4s", "--nodes", "6", "--allocators", "2", "--trace", dir)
	for _, file := range traceFiles(t, "gang-mixed") {
		made := filepath.Join(dir, filepath.Base(filepath.Dir(file)), filepath.Base(file))
		want, got := mustRun(t, "trace", "show", file, "--json"), mustRun(t, "trace", "show", made, "--json")
		assert.Equal(t, want, got, file)
	}
}

func TestTraceMergeJSON_AsStored(t *testing.T) {
	out := mustRun(t, "trace", "merge", filepath.Join("testdata", "trace", "gang-mixed"), "-o", filepath.Join(t.TempDir(), "merged.gbt"), "--json")
	compareWithStored(t, "json/trace-merge.json", stableJSON(t, out))
}
