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

// commandResult is the exit code and output of a command line.
type commandResult struct {
	code   int
	stdout string
	stderr string
}

// runCommand runs a command line in this process. Its arguments are separated by spaces.
func runCommand(line string) commandResult {
	var stdout, stderr bytes.Buffer
	code := Run(strings.Fields(line), &stdout, &stderr)
	return commandResult{
		code:   code,
		stdout: stdout.String(),
		stderr: stderr.String(),
	}
}

// runJSON runs a command line with --json, which must succeed, and decodes its output into document.
func runJSON(t *testing.T, line string, document any) {
	t.Helper()
	result := runCommand(line + " --json")
	require.Equal(t, exitOK, result.code, result.stdout+result.stderr)
	require.NoError(t, json.Unmarshal([]byte(result.stdout), document), result.stdout)
}

// unknownMutant is the beginning of the error for an unknown value of --break.
const unknownMutant = `unknown value "nothing" for --break; expected one of [binds-more`

func TestRun_ExitCode(t *testing.T) {
	invalidFile := filepath.Join(t.TempDir(), "bad.hcl")
	require.NoError(t, os.WriteFile(invalidFile, []byte("kind \"k\" {\n  cores = -1\n}\n"), 0o600))
	validHistory := filepath.Join(t.TempDir(), "good")
	brokenHistory := filepath.Join(t.TempDir(), "wrong")
	for _, test := range []struct {
		line   string
		code   int
		stderr string // expected part of standard error
	}{
		{"lab play quiet --virtual", exitOK, ""},
		{"lab play quiet --virtual --history " + validHistory, exitOK, ""},
		{"lab play quiet --virtual --break two-binds --history " + brokenHistory, exitProblem, ""},
		{"lab check " + validHistory, exitOK, ""},
		{"lab check " + validHistory + " " + brokenHistory, exitProblem, ""},
		{"lab check " + invalidFile, exitBadInput, "bad.hcl:1: invalid character"},
		{"lab check nowhere", exitBadInput, "no such file"},
		{"lab play quiet --virtual --break nothing", exitBadInput, unknownMutant},
		{"lab play nothing --virtual", exitBadInput, `no script is named "nothing"`},
		{"lab play quiet --nodes -1", exitBadInput, "must not be below 0"},
		{"lab play", exitBadInput, "accepts 1 arg(s)"},
		{"nothing", exitBadInput, `unknown command "nothing"`},
		{"demo --for 1ms", exitBadInput, "too short"},
		{"demo --fro 1s", exitBadInput, "unknown flag: --fro"},
		{"serve", exitBadInput, `required flag(s) "config" not set`},
		{"serve --config nowhere.hcl", exitBadInput, "no such file"},
		{"config check " + invalidFile, exitBadInput, "bad.hcl:2: cores is -1; write a number from 0.001"},
		{"nodes --to 127.0.0.1:1", exitProblem, "no allocator at 127.0.0.1:1"},
		{"submit --cores 1", exitBadInput, "--group is missing"},
		{"submit --gang " + invalidFile, exitBadInput, "bad.hcl:1: no part; write at least one"},
	} {
		t.Run(test.line, func(t *testing.T) {
			result := runCommand(test.line)
			assert.Equal(t, test.code, result.code)
			assert.Contains(t, result.stderr, test.stderr)
		})
	}
}

func TestRun_SuggestsHelpOnlyForCommandLineErrors(t *testing.T) {
	for line, suggested := range map[string]bool{
		"demo --fro 1s":              true,
		"nothing":                    true,
		"serve":                      true,
		"serve --config flag.hcl":    false, // the flag is set, but the file does not exist
		"lab play quiet --nodes -1":  false,
		"nodes --to 127.0.0.1:1":     false,
		"lab check unknown.history":  false,
		"state check unknown":        false,
		"trace summary --json a.gbt": false,
	} {
		t.Run(line, func(t *testing.T) {
			stderr := runCommand(line).stderr
			assert.Contains(t, stderr, "grebeglade: ")
			assert.Equal(t, suggested, strings.Contains(stderr, "See 'grebeglade --help'."), stderr)
		})
	}
}

func TestLabPlay_SameSeed_HasSameJSONKeysAndDigest(t *testing.T) {
	const line = "lab play rough --virtual --seed 3 --allocators 3 --nodes 12"
	var first map[string]any
	runJSON(t, line, &first)
	for _, key := range []string{
		"name", "seed", "virtual", "allocators", "nodes", "workloads", "placed", "rejected", "unschedulable",
		"unanswered", "binds", "moves", "digest", "broken",
	} {
		assert.Contains(t, first, key)
	}
	assert.Equal(t, []any{3.0, 12.0, true}, []any{first["allocators"], first["nodes"], first["virtual"]})

	var second map[string]any
	runJSON(t, line, &second)
	assert.Equal(t, first["digest"], second["digest"])
}

func TestLabList_JSONHasScenarioNames(t *testing.T) {
	var names []string
	runJSON(t, "lab list", &names)
	assert.Subset(t, names, []string{"rough", "quiet"})
}
