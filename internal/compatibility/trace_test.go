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

// storedTraces are directories in testdata that were written by 'lab play --trace'.
var storedTraces = []string{"gang-mixed", "rough", "state-death"}

func traceFiles(t *testing.T, name string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", "trace", name, "*", "*.gbt"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	return files
}

func TestTrace_StoredFiles_PrintedAsStored(t *testing.T) {
	for _, name := range storedTraces {
		dir := filepath.Join("testdata", "trace", name)
		for _, command := range []struct {
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
			t.Run(name+"/"+command.file, func(t *testing.T) {
				out := mustRun(t, command.args...)
				if filepath.Ext(command.file) == ".json" {
					out = stableJSON(t, out)
				}
				compareWithStored(t, filepath.Join("trace", name, command.file), out)
			})
		}
	}
}

func TestTrace_StoredFiles_ReplayedIdentically(t *testing.T) {
	for _, name := range storedTraces {
		out := mustRun(t, "trace", "replay", filepath.Join("testdata", "trace", name))
		assert.Contains(t, out, ": identical, ", name)
		assert.NotContains(t, out, "DIFFERS", name)
	}
}

func TestTrace_StoredRecords_EncodeToSameBytes(t *testing.T) {
	for _, name := range storedTraces {
		for _, file := range traceFiles(t, name) {
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			assert.True(t, bytes.Equal(want, encodeAgain(t, file)), "%s must be encoded to the same bytes", file)
		}
	}
}

// encodeAgain decodes the records of a trace file, and returns their encoding as a trace file.
func encodeAgain(t *testing.T, file string) []byte {
	t.Helper()
	reader, err := trace.Open(file)
	require.NoError(t, err)
	var encoded bytes.Buffer
	writer, err := trace.NewWriter(&encoded, reader.Header)
	require.NoError(t, err)
	for record, err := range reader.Records(trace.Span{}) {
		require.NoError(t, err)
		require.NoError(t, writer.Append(record))
	}
	require.NoError(t, writer.Close())
	require.NoError(t, reader.Close())
	return encoded.Bytes()
}

func TestTrace_VirtualScenario_RecordedAsStored(t *testing.T) {
	dir := t.TempDir()
	mustRun(t, "lab", "play", "gang-mixed", "--virtual", "--seed", "1", "--for", "4s",
		"--nodes", "6", "--allocators", "2", "--trace", dir)
	for _, file := range traceFiles(t, "gang-mixed") {
		recorded := filepath.Join(dir, filepath.Base(filepath.Dir(file)), filepath.Base(file))
		want := mustRun(t, "trace", "show", file, "--json")
		got := mustRun(t, "trace", "show", recorded, "--json")
		assert.Equal(t, want, got, file)
	}
}

func TestTraceMergeJSON_AsStored(t *testing.T) {
	stored := filepath.Join("testdata", "trace", "gang-mixed")
	merged := filepath.Join(t.TempDir(), "merged.gbt")
	out := mustRun(t, "trace", "merge", stored, "-o", merged, "--json")
	compareWithStored(t, "json/trace-merge.json", stableJSON(t, out))
}
