package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startCommand starts a command line as a process of its own, and waits until it prints a line with that text.
func startCommand(t *testing.T, line, ready string) *exec.Cmd {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), commandLine+"="+line)
	read, write, err := os.Pipe()
	require.NoError(t, err)
	c.Stdout, c.Stderr = write, write
	require.NoError(t, c.Start())
	require.NoError(t, write.Close())
	t.Cleanup(func() { _ = c.Process.Kill() }) // it may have exited
	lines := bufio.NewReader(read)
	for printed := ""; !strings.Contains(printed, ready); {
		printed, err = lines.ReadString('\n')
		require.NoError(t, err, "%s ended before it was ready", line)
	}
	go func() { _, _ = io.Copy(io.Discard, lines) }()
	return c
}

const fleetNodes = 4

// startAllocator starts a fleet and an allocator with state directory and trace, and waits until every node is connected.
// Groups are those of the fleet's scenario.
func startAllocator(t *testing.T, dir string) (allocator *exec.Cmd, address string) {
	t.Helper()
	discovery := freeAddress(t)
	startCommand(t, fmt.Sprintf("lab fleet --nodes %d --list %s", fleetNodes, discovery), "nodes run")
	address = freeAddress(t)
	file := filepath.Join(dir, "a.hcl")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `
allocator {
  listen = %q
  list   = %q
}
state {
  dir = %q
}
kind "small" {}
kind "large" {}
group "serve" {}
group "trace" {
  effect = "run-once"
}
`, address, discovery, filepath.Join(dir, "state")), 0o600))
	allocator = startCommand(t, fmt.Sprintf("serve --config %s --trace %s", file, filepath.Join(dir, "trace")), "serving")
	require.Eventually(t, func() bool {
		_, out, _ := run("nodes", "--to", address)
		return strings.Count(out, "open") == fleetNodes
	}, replyLimit, 20*time.Millisecond, "every node is connected")
	return allocator, address
}

// runJSON runs a command line that must succeed and decodes its output.
func runJSON(t *testing.T, line string) map[string]any {
	t.Helper()
	code, out, stderr := run(strings.Fields(line + " --json")...)
	require.Equal(t, exitOK, code, out+stderr)
	var document map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &document), out)
	return document
}

func TestServe_SubmittedWorkloadsAreListedAndRecorded(t *testing.T) {
	dir := t.TempDir()
	allocator, address := startAllocator(t, dir)
	to := " --to " + address

	placed := runJSON(t, "submit --group trace --cores 1 --memory 1 --key 11 --runs-for 60s"+to)
	assert.Equal(t, "placed", placed["verdict"])
	assert.InDelta(t, 11, placed["key"], 0)
	assert.NotZero(t, placed["node"])
	ended := runJSON(t, "submit --group serve --cores 1 --memory 1 --runs-for 100ms --wait"+to)
	assert.Equal(t, "FINISHED", ended["ended"])

	code, out, _ := run(strings.Fields("submit --group serve --cores 5000 --memory 1 --pending 300ms" + to)...)
	assert.Equal(t, exitProblem, code)
	assert.Contains(t, out, "rejected after")

	gang := filepath.Join(dir, "gang.hcl")
	require.NoError(t, os.WriteFile(gang, []byte("part {\n  group = \"serve\"\n  count = 2\n  runs_for = \"60s\"\n}\n"), 0o600))
	group := runJSON(t, "submit --gang "+gang+to)
	assert.Equal(t, "placed", group["verdict"])
	assert.Len(t, group["nodes"], 2)

	assert.Len(t, runJSON(t, "workloads"+to)["workloads"], 3, "the one that ended is gone")
	assert.Len(t, runJSON(t, "nodes"+to)["nodes"], fleetNodes)
	assert.Len(t, runJSON(t, "gangs"+to)["gangs"], 1)
	code, out, stderr := run(strings.Fields("workloads --most 1" + to)...)
	assert.Equal(t, exitOK, code)
	assert.Len(t, strings.Split(strings.TrimSpace(out), "\n"), 2, "a header and a row")
	assert.Contains(t, stderr, "2 more are left out; --most lists more")

	require.NoError(t, allocator.Process.Signal(syscall.SIGTERM))
	require.NoError(t, allocator.Wait(), "it exits with 0")

	code, out, _ = run("state", "show", filepath.Join(dir, "state"))
	assert.Equal(t, exitOK, code)
	assert.Contains(t, out, "\n11  ", "the key of the run-once workload")
	summary := runJSON(t, "trace summary "+filepath.Join(dir, "trace"))
	assert.Len(t, summary["groups"], 2)
	code, out, _ = run("trace", "replay", filepath.Join(dir, "trace"))
	assert.Equal(t, exitOK, code)
	assert.Contains(t, out, "identical")
}

func TestLabLoad_MeasuresRunningAllocator(t *testing.T) {
	_, address := startAllocator(t, t.TempDir())
	_, out, stderr := run(strings.Fields("lab load --rate 20 --for 500ms --life 100ms --target " + address)...)
	assert.Contains(t, out, "requests were due and")
	assert.Contains(t, out, "unanswered 0, answered late 0")
	assert.NotContains(t, out, "WRONG")
	assert.NotContains(t, stderr, "grebeglade:")
}
