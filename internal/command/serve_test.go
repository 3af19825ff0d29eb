package command

import (
	"fmt"
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

const (
	fleetNodes = 4
	runOnceKey = 11 // idempotency key of the run-once workload
)

// allocatorProcess is a process of "grebeglade serve" with a separate fleet, a state directory and a trace.
type allocatorProcess struct {
	*exec.Cmd
	address  string
	stateDir string
	traceDir string
}

// startAllocator starts a fleet and an allocator, and waits until every node is connected.
func startAllocator(t *testing.T) *allocatorProcess {
	t.Helper()
	discovery := freeAddress(t)
	startCommand(t, fmt.Sprintf("lab fleet --nodes %d --list %s", fleetNodes, discovery), "nodes run")
	dir := t.TempDir()
	allocator := &allocatorProcess{
		address:  freeAddress(t),
		stateDir: filepath.Join(dir, "state"),
		traceDir: filepath.Join(dir, "trace"),
	}
	file := filepath.Join(dir, "a.hcl")
	allocator.writeConfig(t, file, discovery)
	line := fmt.Sprintf("serve --config %s --trace %s", file, allocator.traceDir)
	allocator.Cmd = startCommand(t, line, "serving")
	require.Eventually(t, func() bool {
		nodes := runCommand("nodes" + allocator.to()).stdout
		return strings.Count(nodes, "open") == fleetNodes
	}, waitLimit, 20*time.Millisecond, "every node is connected")
	return allocator
}

// writeConfig writes the allocator's configuration, with the groups of the fleet's scenario, into a file.
func (a *allocatorProcess) writeConfig(t *testing.T, file, discovery string) {
	t.Helper()
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
`, a.address, discovery, a.stateDir), 0o600))
}

// to returns the flag --to with the allocator's address, for the end of a command line.
func (a *allocatorProcess) to() string { return " --to " + a.address }

// query runs a command line against the allocator, which must succeed, and decodes its JSON.
func (a *allocatorProcess) query(t *testing.T, line string) map[string]any {
	t.Helper()
	var document map[string]any
	runJSON(t, line+a.to(), &document)
	return document
}

// The subtests share one allocator and run in order: later ones list the workloads that the first one submits, and read
// them from the allocator's files.
func TestServe_SubmittedWorkloadsAreListedAndRecorded(t *testing.T) {
	allocator := startAllocator(t)
	t.Run("submit", func(t *testing.T) { checkSubmit(t, allocator) })
	t.Run("lists", func(t *testing.T) { checkLists(t, allocator) })
	t.Run("drain", func(t *testing.T) {
		require.NoError(t, allocator.Process.Signal(syscall.SIGTERM))
		require.NoError(t, allocator.Wait(), "the exit code is 0")
	})
	t.Run("files", func(t *testing.T) { checkFiles(t, allocator) })
}

// checkSubmit submits a workload and a gang that are still running afterwards, a workload that ends, and one that fits
// on no node.
func checkSubmit(t *testing.T, allocator *allocatorProcess) {
	t.Helper()
	line := fmt.Sprintf("submit --group trace --cores 1 --memory 1 --key %d --runs-for 60s", runOnceKey)
	placed := allocator.query(t, line)
	assert.Equal(t, "placed", placed["verdict"])
	assert.InDelta(t, runOnceKey, placed["key"], 0)
	assert.NotZero(t, placed["node"])
	ended := allocator.query(t, "submit --group serve --cores 1 --memory 1 --runs-for 100ms --wait")
	assert.Equal(t, "FINISHED", ended["ended"])

	rejected := runCommand("submit --group serve --cores 5000 --memory 1 --pending 300ms" + allocator.to())
	assert.Equal(t, exitProblem, rejected.code)
	assert.Contains(t, rejected.stdout, "rejected after")

	file := filepath.Join(t.TempDir(), "gang.hcl")
	content := "part {\n  group = \"serve\"\n  count = 2\n  runs_for = \"60s\"\n}\n"
	require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
	gang := allocator.query(t, "submit --gang "+file)
	assert.Equal(t, "placed", gang["verdict"])
	assert.Len(t, gang["nodes"], 2)
}

// checkLists checks the allocator's lists after checkSubmit.
func checkLists(t *testing.T, allocator *allocatorProcess) {
	t.Helper()
	assert.Len(t, allocator.query(t, "workloads")["workloads"], 3, "the workload that has ended is not listed")
	assert.Len(t, allocator.query(t, "nodes")["nodes"], fleetNodes)
	assert.Len(t, allocator.query(t, "gangs")["gangs"], 1)
	limited := runCommand("workloads --most 1" + allocator.to())
	assert.Equal(t, exitOK, limited.code)
	assert.Len(t, strings.Split(strings.TrimSpace(limited.stdout), "\n"), 2, "a header and a row")
	assert.Contains(t, limited.stderr, "2 more are left out; --most lists more")
}

// checkFiles checks the allocator's state directory and trace after it has exited.
func checkFiles(t *testing.T, allocator *allocatorProcess) {
	t.Helper()
	state := runCommand("state show " + allocator.stateDir)
	assert.Equal(t, exitOK, state.code)
	assert.Contains(t, state.stdout, fmt.Sprintf("\n%d  ", runOnceKey), "the key of the run-once workload")
	var summary map[string]any
	runJSON(t, "trace summary "+allocator.traceDir, &summary)
	assert.Len(t, summary["groups"], 2)
	replayed := runCommand("trace replay " + allocator.traceDir)
	assert.Equal(t, exitOK, replayed.code)
	assert.Contains(t, replayed.stdout, "identical")
}

func TestLabLoad_MeasuresRunningAllocator(t *testing.T) {
	allocator := startAllocator(t)
	result := runCommand("lab load --rate 20 --for 500ms --life 100ms --target " + allocator.address)
	assert.Contains(t, result.stdout, "requests were due and")
	assert.Contains(t, result.stdout, "unanswered 0, answered late 0")
	assert.NotContains(t, result.stdout, "WRONG")
	assert.NotContains(t, result.stderr, "grebeglade:")
}
