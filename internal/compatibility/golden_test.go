package compatibility_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"grebeglade/internal/command"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the text files in testdata with the current output")

// compareWithStored checks that got equals the content of a file in testdata, or rewrites the file with -update.
func compareWithStored(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.Empty(t, os.Getenv("CI"), "-update must not be used in CI")
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
		return
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), got, "%s differs", path)
}

// runCommand runs a command line in this process, and returns its exit code.
func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = command.Run(args, &out, &errs)
	return code, out.String(), errs.String()
}

// mustRun runs a command line, which must succeed, and returns its standard output.
func mustRun(t *testing.T, args ...string) string {
	t.Helper()
	code, stdout, stderr := runCommand(args...)
	require.Zero(t, code, "%v: %s", args, stderr)
	return stdout
}

// storedLines returns the lines of a text file in testdata.
func storedLines(t *testing.T, name string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}
