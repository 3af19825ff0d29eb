package native

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Guards against one number for cells with the same name, such as rack 1, in two zones. A workload that may run in the
// cell of one zone would be offered again in the cell of the other, which does not deduplicate its idempotency key.
func TestCells_SameNameInTwoZones_NumberedApart(t *testing.T) {
	harness := newHarness(t)
	harness.publishSnapshot(
		listEntry(1, "x", "rack-1"),
		listEntry(2, "y", "rack-1"),
		listEntry(3, "y", "rack-1"),
	)
	cell := func(i int) placement.CellID { return harness.nodes.sorted[i].entry.Cell }
	assert.NotEqual(t, cell(0), cell(1))
	assert.Equal(t, cell(1), cell(2))
}

// Guards against duplicate cell numbers: if numbers are not freed, the assignment wraps around after 65,536 cells, and
// two cells in use have the same number.
func TestCells_NumbersReused_NeverTwiceAtATime(t *testing.T) {
	harness := newHarness(t)
	const fleet = 50
	for generation := range 1500 { // 75,000 cells
		var entries []*pb.NodeEntry
		for i := range fleet {
			cell := fmt.Sprint("cell-", generation, "-", i)
			entries = append(entries, listEntry(uint32(generation*fleet+i+1), "z", cell))
		}
		for i := range 5 { // listed in every generation
			entries = append(entries, listEntry(uint32(1e6+i), "z", fmt.Sprint("stable-", i)))
		}
		harness.publishSnapshot(entries...)
		harness.refuseDials()
		harness.publishSnapshot(entries...)
		harness.requireDistinctCells()
		require.LessOrEqual(t, len(harness.nodes.cells.byName), 2*fleet+11)
		require.Len(t, harness.nodes.cells.used, len(harness.nodes.cells.byName))
	}
}

// requireDistinctCells requires that no two cells of nodes in the table have the same number.
func (h *testHarness) requireDistinctCells() {
	h.t.Helper()
	names := map[placement.CellID]string{}
	for _, n := range h.nodes.sorted {
		if other, used := names[n.entry.Cell]; used && other != n.cell {
			require.Failf(h.t, "one number for two cells", "%s and %s", other, n.cell)
		}
		names[n.entry.Cell] = n.cell
	}
}

// Guards against a new warm-up for a node that did not restart. The placement module treats a different start time as a
// restart, and the delay of updates varies by some ms, so the start time is computed only once.
func TestNode_RemovedAndListedAgain_KeepsStartTime(t *testing.T) {
	harness := newHarness(t)
	entry := listEntry(1, "z", "c")
	entry.UpForMs = 100
	harness.publishSnapshot(entry)
	startedAt := harness.firstNode().entry.StartedAt
	harness.closeConn(harness.firstNode().session.conn, errRefused)
	harness.publishSnapshot()
	require.Empty(t, harness.nodes.sorted)
	harness.setTime(500)
	entry.UpForMs = 601.5
	harness.publishSnapshot(entry)
	assert.InDelta(t, float64(startedAt), float64(harness.firstNode().entry.StartedAt), 0)
	assert.Empty(t, harness.nodes.removedStarts)
	harness.closeConn(harness.firstNode().session.conn, errRefused)
	harness.publishSnapshot()
	assert.Len(t, harness.nodes.removedStarts, 1)
	harness.setTime(20e3)
	harness.publishSnapshot()
	assert.Empty(t, harness.nodes.removedStarts, "the node has warmed up")
}

func TestNodes_BeyondMaximum_Unused(t *testing.T) {
	harness := newHarness(t)
	var entries []*pb.NodeEntry
	for i := range uint32(maxNodes + 5) {
		entry := listEntry(i+1, "z", "c")
		entry.Address = ""
		entries = append(entries, entry)
	}
	harness.publishSnapshot(entries...)
	assert.Len(t, harness.nodes.sorted, maxNodes)
	harness.publishSnapshot(entries[maxNodes:]...)
	harness.publishSnapshot(entries[maxNodes:]...)
	assert.Len(t, harness.nodes.sorted, 5, "the others are removed")
}
