package command

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// run runs a command line in this process.
func run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(args, &out, &errs)
	return code, out.String(), errs.String()
}

func TestRun_ExitCode(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.hcl")
	require.NoError(t, os.WriteFile(bad, []byte("kind \"k\" {\n  cores = -1\n}\n"), 0o600))
	good, wrong := filepath.Join(t.TempDir(), "good"), filepath.Join(t.TempDir(), "wrong")
	for _, c := range []struct {
		args   string
		code   int
		stderr string // what it contains
	}{
		{"lab play quiet --virtual", exitOK, ""},
		{"lab play quiet --virtual --history " + good, exitOK, ""},
		{"lab play quiet --virtual --break two-binds --history " + wrong, exitProblem, ""},
		{"lab check " + good, exitOK, ""},
		{"lab check " + good + " " + wrong, exitProblem, ""},
		{"lab check " + bad, exitBadInput, "bad.hcl:1: invalid character"},
		{"lab check nowhere", exitBadInput, "no such file"},
		{"lab play quiet --virtual --break nothing", exitBadInput, `--break "nothing" is not known; known are [binds-more`},
		{"lab play nothing --virtual", exitBadInput, `no script is named "nothing"`},
		{"lab play quiet --nodes -1", exitBadInput, "must not be below 0"},
		{"lab play", exitBadInput, "accepts 1 arg(s)"},
		{"nothing", exitBadInput, `unknown command "nothing"`},
		{"demo --for 1ms", exitBadInput, "too short"},
		{"demo --fro 1s", exitBadInput, "unknown flag: --fro"},
		{"serve", exitBadInput, `required flag(s) "config" not set`},
		{"serve --config nowhere.hcl", exitBadInput, "no such file"},
		{"config check " + bad, exitBadInput, "bad.hcl:2: cores is -1; write a number from 0.001"},
		{"nodes --to 127.0.0.1:1", exitProblem, "no allocator at 127.0.0.1:1"},
		{"submit --cores 1", exitBadInput, "--group is missing"},
		{"submit --gang " + bad, exitBadInput, "bad.hcl:1: no part; write at least one"},
	} {
		t.Run(c.args, func(t *testing.T) {
			code, _, stderr := run(strings.Fields(c.args)...)
			assert.Equal(t, c.code, code, c.args)
			assert.Contains(t, stderr, c.stderr, c.args)
		})
	}
}

func TestRun_HelpIsSuggestedOnlyForMistakesInTheCommandLine(t *testing.T) {
	for args, suggested := range map[string]bool{
		"demo --fro 1s":              true,
		"nothing":                    true,
		"serve":                      true,
		"serve --config flag.hcl":    false, // the name of the file is no matter of flags
		"lab play quiet --nodes -1":  false,
		"nodes --to 127.0.0.1:1":     false,
		"lab check unknown.history":  false,
		"state check unknown":        false,
		"trace summary --json a.gbt": false,
	} {
		t.Run(args, func(t *testing.T) {
			_, _, stderr := run(strings.Fields(args)...)
			assert.Contains(t, stderr, "grebeglade: ")
			assert.Equal(t, suggested, strings.Contains(stderr, "See 'grebeglade --help'."), stderr)
		})
	}
}

func TestRun_JSONIsOneDocumentWithStableNames(t *testing.T) {
	line := strings.Fields("lab play rough --virtual --seed 3 --allocators 3 --nodes 12 --json")
	code, out, _ := run(line...)
	require.Zero(t, code)
	var first map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &first))
	for _, name := range []string{
		"name", "seed", "virtual", "allocators", "nodes", "workloads", "placed", "rejected", "unschedulable", "unanswered",
		"binds", "moves", "digest", "broken",
	} {
		assert.Contains(t, first, name)
	}
	assert.Equal(t, []any{3.0, 12.0, true}, []any{first["allocators"], first["nodes"], first["virtual"]})
	_, out, _ = run(line...)
	var second map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &second))
	assert.Equal(t, first["digest"], second["digest"])

	code, out, _ = run("lab", "list", "--json")
	require.Zero(t, code)
	var names []string
	require.NoError(t, json.Unmarshal([]byte(out), &names))
	assert.Subset(t, names, []string{"rough", "quiet"})
}
