package port

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/choice"
	pb "grebeglade/proto/grebeglade/v1"
)

// Each failed dial set a timer for the next, and list news of the node dialled besides: each such dial began a row of
// further ones that never ended. An unreachable node of which the list told every 200 ms was dialled ever more often.
func TestListNewsOfANodeThatRefusesBeginsNoSecondRowOfDials(t *testing.T) {
	r := newRig(t)
	dials := func(for_ choice.Millis) int {
		before := r.w.last
		for end := r.now + for_; r.now < end; {
			r.listed(1, pb.NodeEntry_READY, 1, -1)
			for at := r.now + 200; r.w.wake <= at; {
				r.at(r.w.wake)
				r.p.Wake(r.now)
				if n := r.p.nodes[0]; n.dialling {
					r.p.Closed(r.now, n.conn, "refused")
				}
			}
			r.at(r.now + 1)
			if n := r.p.nodes[0]; n.dialling {
				r.p.Closed(r.now, n.conn, "refused")
			}
		}
		return int(r.w.last - before)
	}
	first := dials(60e3)
	dials(600e3)
	last := dials(60e3)
	assert.LessOrEqual(t, first, 330, "one for each news, and those of the row")
	assert.LessOrEqual(t, last, 330, "no more after minutes")
}

// update has the list tell of these nodes.
func (r *rig) update(k pb.ListUpdate_Kind, entries ...*pb.NodeEntry) {
	r.epoch()
	r.rev++
	r.from(r.list, &pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: &pb.ListUpdate{Kind: k, Epoch: 1, Revision: r.rev, Entries: entries}}})
}

func nodeEntry(id uint32, zone, cell string) *pb.NodeEntry {
	return &pb.NodeEntry{
		Id: id, Kind: "k", Zone: zone, Cell: cell, Boot: 1, UpForMs: -1, FreeCores: 10, FreeMemory: 20, Address: "far",
	}
}

// Cells were numbered by their names alone: rack 1 of one hall was rack 1 of another, and a deduplicated workload that
// might run in the one was offered again in the other, where its mark is not known.
func TestCellsOfOneNameInTwoZonesAreTwoCells(t *testing.T) {
	r := newRig(t)
	r.update(pb.ListUpdate_WHOLE, nodeEntry(1, "x", "rack-1"), nodeEntry(2, "y", "rack-1"), nodeEntry(3, "y", "rack-1"))
	cell := func(i int) choice.CellID { return r.p.nodes[i].entry.Cell }
	assert.NotEqual(t, cell(0), cell(1))
	assert.Equal(t, cell(1), cell(2))
}

// Names of cells were numbered for ever. Past 65,536 of them the numbers began anew, and two cells that stood had one.
func TestNumbersOfCellsAreGivenOutAgainAndNeverTwice(t *testing.T) {
	r := newRig(t)
	const fleet = 50
	for day := range 1500 { // 75,000 cells
		var entries []*pb.NodeEntry
		for i := range uint32(fleet) {
			entries = append(entries, nodeEntry(uint32(day)*fleet+i+1, "z", fmt.Sprint("cell-", day, "-", i)))
		}
		for i := range 5 { // that stay all the time
			entries = append(entries, nodeEntry(uint32(1e6+i), "z", fmt.Sprint("old-", i)))
		}
		r.update(pb.ListUpdate_WHOLE, entries...)
		for _, n := range r.p.nodes {
			if n.dialling {
				r.p.Closed(r.now, n.conn, "refused")
			}
		}
		r.update(pb.ListUpdate_WHOLE, entries...)
		seen := map[choice.CellID]string{}
		for _, n := range r.p.nodes {
			if other, twice := seen[n.entry.Cell]; twice && other != n.cell {
				require.Failf(t, "one number for two cells", "%s and %s", other, n.cell)
			}
			seen[n.entry.Cell] = n.cell
		}
		require.LessOrEqual(t, len(r.p.cells.of), 2*fleet+11)
		require.Equal(t, len(r.p.cells.of), len(r.p.cells.used))
	}
}

// The module takes another start for another life, with nothing sent to it yet. The way here differs by some ms from news
// to news; see TestAMachineThatTheListDropsForAMomentKeepsItsColdBudget.
func TestANodeThatTheListNamesAgainStartedWhenItDid(t *testing.T) {
	r := newRig(t)
	cold := nodeEntry(1, "z", "c")
	cold.UpForMs = 100
	r.update(pb.ListUpdate_WHOLE, cold)
	born := r.p.nodes[0].entry.Born
	r.p.Closed(r.now, r.p.nodes[0].conn, "refused")
	r.update(pb.ListUpdate_WHOLE)
	require.Empty(t, r.p.nodes)
	r.at(500)
	cold.UpForMs = 601.5
	r.update(pb.ListUpdate_WHOLE, cold)
	assert.Equal(t, born, r.p.nodes[0].entry.Born)
	assert.Empty(t, r.p.starts)
	r.p.Closed(r.now, r.p.nodes[0].conn, "refused")
	r.update(pb.ListUpdate_WHOLE)
	assert.Len(t, r.p.starts, 1)
	r.at(20e3)
	r.update(pb.ListUpdate_WHOLE)
	assert.Empty(t, r.p.starts, "it is warm by then")
}

func TestNodesBeyondTheMostAreLeftUnused(t *testing.T) {
	r := newRig(t)
	var entries []*pb.NodeEntry
	for i := range uint32(mostNodes + 5) {
		entries = append(entries, nodeEntry(i+1, "z", "c"))
		entries[i].Address = ""
	}
	r.update(pb.ListUpdate_WHOLE, entries...)
	assert.Len(t, r.p.nodes, mostNodes)
	r.update(pb.ListUpdate_WHOLE, entries[mostNodes:]...)
	r.update(pb.ListUpdate_WHOLE, entries[mostNodes:]...)
	assert.Len(t, r.p.nodes, 5, "the others are gone, and there is room")
}
