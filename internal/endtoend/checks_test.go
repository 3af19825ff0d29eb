package endtoend_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cpuTime returns the processor time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	const ticksPerSecond = 100
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(t, err)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// dials returns the number of connections that nodes have accepted.
func dials(nodes []*node) (count int) {
	for _, n := range nodes {
		n.mu.Lock()
		count += n.dials
		n.mu.Unlock()
	}
	return count
}

// Guards the price of noticing silent nodes: at most one connection a second for each node that runs workloads, and
// none for a fleet without any.
func TestNodes_ThatRunWorkloads_CheckedAtMostOnceASecond(t *testing.T) {
	t.Parallel()
	const seconds = 5
	nodes := startNodes(t, 100)
	a := startAllocator(t, startDiscovery(t, nodes...))
	time.Sleep(2 * time.Second)
	assert.Zero(t, dials(nodes), "no node runs a workload")
	cs := newClients(a)
	c := cs.connect(t)
	for range 3 * len(nodes) {
		c.request()
	}
	time.Sleep(2 * time.Second)
	busy := 0
	for _, n := range nodes {
		if len(n.running()) > 0 {
			busy++
		}
	}
	require.Greater(t, busy, len(nodes)/2)
	before, cpuBefore := dials(nodes), cpuTime(t, a.process.Process.Pid)
	time.Sleep(seconds * time.Second)
	checks := dials(nodes) - before
	assert.LessOrEqual(t, checks, busy*(seconds+1))
	assert.Greater(t, checks, busy*(seconds-2))
	t.Logf("%d checks of %d nodes in %d s took %v of a core", checks, busy, seconds,
		cpuTime(t, a.process.Process.Pid)-cpuBefore)
	for _, n := range nodes {
		for _, tag := range n.running() {
			n.end(tag)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	before = dials(nodes)
	time.Sleep(2 * time.Second)
	assert.Equal(t, before, dials(nodes), "no node runs a workload any more")
}
