package native

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestNode_Draining_ReceivesNoOffer(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.setDraining(n, true)
	x.setDraining(n, true)
	x.update(1, pb.NodeEntry_READY, 1, -1) // older than what the node said
	x.request(1, "serve")
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, x.verdicts())
	x.setDraining(n, false)
	x.request(2, "serve")
	x.offer(n)
	// It drains while the offer is under way, and rejects it.
	x.setDraining(n, true)
	x.answerOffer(n, &pb.BindID{Allocator: "a", Incarnation: 5, Workload: 2}, false, pb.Reason_WRONG_NODE)
	assert.Equal(t, map[uint64]pb.Verdict{2: pb.Verdict_REJECTED}, x.verdicts())
	// The end of the connection takes nothing back: only the node does, at its next hello or by a restart.
	x.disconnect(n)
	assert.Equal(t, placement.Draining, x.firstNode().state())
	x.request(3, "serve")
	assert.Equal(t, map[uint64]pb.Verdict{3: pb.Verdict_REJECTED}, x.verdicts())
	x.reconnectNode()
	assert.Equal(t, placement.Ready, x.firstNode().state())
	n = x.firstNode().session.conn
	x.setDraining(n, true)
	x.update(1, pb.NodeEntry_READY, 2, 5)
	assert.Equal(t, placement.Ready, x.firstNode().state())
}

// A restarted node says so in its hello, before the discovery service does. Nothing is offered to it until it is connected.
func TestNode_Restarted_HelloCountsBeforeDiscovery(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.setTime(10)
	x.disconnect(n)
	x.runUntil(180)
	x.request(1, "serve")
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_REJECTED}, x.verdicts())
	n = x.connectNode(1, 2, 0)
	assert.Empty(t, x.network.take(n)[1:])
	assert.InDelta(t, float64(x.now), float64(x.firstNode().entry.StartedAt), 0)
	// A late update about the incarnation before does not undo it.
	x.update(1, pb.NodeEntry_DRAINING, 1, -1)
	assert.Equal(t, placement.Ready, x.firstNode().entry.State)
	assert.InDelta(t, float64(x.now), float64(x.firstNode().entry.StartedAt), 0)
	// Nor does it when the connection has ended again: found by a search, where a late update undid a drain.
	x.update(1, pb.NodeEntry_DRAINING, 2, -1)
	x.disconnect(n)
	x.update(1, pb.NodeEntry_READY, 1, -1)
	assert.Equal(t, placement.Draining, x.firstNode().entry.State)
}

// Each failed dial set a timer for the next, and updates of the node dialled it besides: each such dial began a series of
// retries of its own. An unreachable node that was updated every 200 ms was dialled ever more often.
func TestNode_UpdatedWhileUnreachable_DialedInOneSeries(t *testing.T) {
	x := newFixture(t)
	dials := func(duration placement.Millis) int {
		before := x.network.last
		for end := x.now + duration; x.now < end; {
			x.update(1, pb.NodeEntry_READY, 1, -1)
			for at := x.now + 200; x.network.wakeAt <= at; {
				x.setTime(x.network.wakeAt)
				x.f.Wake(x.now)
				if n := x.firstNode(); n.session.state == sessionConnecting {
					x.f.Closed(x.now, n.session.conn, transport.ErrConnectionRefused)
				}
			}
			x.setTime(x.now + 1)
			if n := x.firstNode(); n.session.state == sessionConnecting {
				x.f.Closed(x.now, n.session.conn, transport.ErrConnectionRefused)
			}
		}
		return int(x.network.last - before)
	}
	first := dials(60e3)
	dials(600e3)
	last := dials(60e3)
	assert.LessOrEqual(t, first, 330, "one for each update, and those of the series")
	assert.LessOrEqual(t, last, 330, "no more after minutes")
}

// Cells were numbered by their names alone: rack 1 of one zone was rack 1 of another, and a workload that might run in the one
// was offered again in the other, where its idempotency key is not known.
func TestCells_SameNameInTwoZones_NumberedApart(t *testing.T) {
	x := newFixture(t)
	x.snapshot(nodeEntry(1, "x", "rack-1"), nodeEntry(2, "y", "rack-1"), nodeEntry(3, "y", "rack-1"))
	cell := func(i int) placement.CellID { return x.knownNodes()[i].entry.Cell }
	assert.NotEqual(t, cell(0), cell(1))
	assert.Equal(t, cell(1), cell(2))
}

// Cell numbers were never given back. After 65,536 cells they began anew, and two cells in use had the same number.
func TestCells_NumbersReused_NeverTwiceAtATime(t *testing.T) {
	x := newFixture(t)
	const fleet = 50
	for generation := range 1500 { // 75,000 cells
		var entries []*pb.NodeEntry
		for i := range uint32(fleet) {
			entries = append(entries, nodeEntry(uint32(generation)*fleet+i+1, "z", fmt.Sprint("cell-", generation, "-", i)))
		}
		for i := range 5 { // that stay
			entries = append(entries, nodeEntry(uint32(1e6+i), "z", fmt.Sprint("stable-", i)))
		}
		x.snapshot(entries...)
		for _, n := range x.knownNodes() {
			if n.session.state == sessionConnecting {
				x.f.Closed(x.now, n.session.conn, transport.ErrConnectionRefused)
			}
		}
		x.snapshot(entries...)
		seen := map[placement.CellID]string{}
		for _, n := range x.knownNodes() {
			if other, twice := seen[n.entry.Cell]; twice && other != n.cell {
				require.Failf(t, "one number for two cells", "%s and %s", other, n.cell)
			}
			seen[n.entry.Cell] = n.cell
		}
		require.LessOrEqual(t, len(x.f.nodes.table.cells.byName), 2*fleet+11)
		require.Len(t, x.f.nodes.table.cells.used, len(x.f.nodes.table.cells.byName))
	}
}

// The placement module takes another start time for another start, after which nothing was sent to the node yet. The delay
// of updates differs by some ms, so the start time is worked out once.
func TestNode_RemovedAndNamedAgain_KeepsStartTime(t *testing.T) {
	x := newFixture(t)
	entry := nodeEntry(1, "z", "c")
	entry.UpForMs = 100
	x.snapshot(entry)
	startedAt := x.firstNode().entry.StartedAt
	x.f.Closed(x.now, x.firstNode().session.conn, transport.ErrConnectionRefused)
	x.snapshot()
	require.Empty(t, x.knownNodes())
	x.setTime(500)
	entry.UpForMs = 601.5
	x.snapshot(entry)
	assert.InDelta(t, float64(startedAt), float64(x.firstNode().entry.StartedAt), 0)
	assert.Empty(t, x.f.nodes.table.removed)
	x.f.Closed(x.now, x.firstNode().session.conn, transport.ErrConnectionRefused)
	x.snapshot()
	assert.Len(t, x.f.nodes.table.removed, 1)
	x.setTime(20e3)
	x.snapshot()
	assert.Empty(t, x.f.nodes.table.removed, "it has warmed up by then")
}

func TestNodes_BeyondMaximum_Unused(t *testing.T) {
	x := newFixture(t)
	var entries []*pb.NodeEntry
	for i := range uint32(maxNodes + 5) {
		entries = append(entries, nodeEntry(i+1, "z", "c"))
		entries[i].Address = ""
	}
	x.snapshot(entries...)
	assert.Len(t, x.knownNodes(), maxNodes)
	x.snapshot(entries[maxNodes:]...)
	x.snapshot(entries[maxNodes:]...)
	assert.Len(t, x.knownNodes(), 5, "the others are removed")
}

func TestNode_NotConnectedInTime_DialedAgain(t *testing.T) {
	x := newFixture(t)
	x.update(1, pb.NodeEntry_READY, 1, -1)
	first := x.network.dialed[address(1)]
	x.runUntil(connectTimeout - 1)
	assert.False(t, x.network.closed[first])
	x.runUntil(connectTimeout)
	assert.True(t, x.network.closed[first])
	x.runUntil(connectTimeout + 125)
	assert.NotEqual(t, first, x.network.dialed[address(1)])
}

func TestHealthCheck_SentToConnectedNode(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.network.take(n)
	x.f.nodes.checkHealth(1)
	check := x.network.take(n)[0].GetHealthCheck()
	require.NotNil(t, check)
	assert.Equal(t, 1, x.f.nodes.healthChecks.Len())
	x.receive(n, &pb.Frame{Body: &pb.Frame_HealthReply{HealthReply: &pb.HealthReply{Id: check.Id}}})
	assert.Zero(t, x.f.nodes.healthChecks.Len())
	x.f.nodes.checkHealth(2)
	assert.Zero(t, x.f.nodes.healthChecks.Len(), "an unknown node fails it at once")
	assert.Equal(t, 1, x.f.core.DeferredCalls())
}
