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

func run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(args, &out, &errs)
	return code, out.String(), errs.String()
}

func TestExitCodesTellWellWrongAndBadInput(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.hcl")
	require.NoError(t, os.WriteFile(bad, []byte("kind \"k\" {\n  cores = -1\n}\n"), 0o600))
	good, wrong := filepath.Join(t.TempDir(), "good"), filepath.Join(t.TempDir(), "wrong")
	for _, c := range []struct {
		args string
		code int
		says string
	}{
		{"lab play quiet --virtual", 0, ""},
		{"lab play quiet --virtual --history " + good, 0, ""},
		{"lab play quiet --virtual --break two-binds --history " + wrong, 1, ""},
		{"lab check " + good, 0, ""},
		{"lab check " + good + " " + wrong, 1, ""},
		{"lab check " + bad, 2, "bad.hcl:1: invalid character"},
		{"lab check nowhere", 2, "no such file"},
		{"lab play quiet --virtual --break nothing", 2, `--break "nothing" is not known; known are [binds-more`},
		{"lab play nothing --virtual", 2, `no script is named "nothing"`},
		{"lab play quiet --nodes -1", 2, "must not be below 0"},
		{"lab play", 2, "accepts 1 arg(s)"},
		{"nothing", 2, `unknown command "nothing"`},
		{"demo --for 1ms", 2, "too short"},
		{"demo --fro 1s", 2, "unknown flag: --fro"},
		{"serve", 2, `required flag(s) "config" not set`},
		{"serve --config nowhere.hcl", 2, "no such file"},
		{"config check " + bad, 2, "bad.hcl:2: cores is -1; write a number from 0.001"},
		{"nodes --to 127.0.0.1:1", 1, "no allocator at 127.0.0.1:1"},
		{"submit --cores 1", 2, "--group is missing"},
		{"submit --gang " + bad, 2, "bad.hcl:1: no part; write at least one"},
	} {
		code, _, errs := run(strings.Fields(c.args)...)
		assert.Equal(t, c.code, code, c.args)
		assert.Contains(t, errs, c.says, c.args)
	}
}

func TestJSONIsOneDocumentWithTheNamesThatScriptsRelyOn(t *testing.T) {
	code, out, _ := run("lab", "play", "rough", "--virtual", "--seed", "3", "--allocators", "3", "--nodes", "12", "--json")
	require.Zero(t, code)
	var day map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &day))
	for _, name := range []string{
		"name", "seed", "virtual", "allocators", "nodes", "workloads", "placed", "rejected", "unschedulable", "unanswered",
		"binds", "moves", "digest", "broken",
	} {
		assert.Contains(t, day, name)
	}
	assert.Equal(t, []any{3.0, 12.0, true}, []any{day["allocators"], day["nodes"], day["virtual"]})
	_, again, _ := run("lab", "play", "rough", "--virtual", "--seed", "3", "--allocators", "3", "--nodes", "12", "--json")
	var second map[string]any
	require.NoError(t, json.Unmarshal([]byte(again), &second))
	assert.Equal(t, day["digest"], second["digest"])
	code, out, _ = run("lab", "list", "--json")
	require.Zero(t, code)
	var names []string
	require.NoError(t, json.Unmarshal([]byte(out), &names))
	assert.Subset(t, names, []string{"rough", "quiet"})
}
