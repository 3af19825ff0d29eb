package native

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Each failed dial set a timer for the next, and list news of the node dialled besides: each such dial began a row of
// further ones that never ended. An unreachable node of which the list told every 200 ms was dialled ever more often.
func TestListNewsOfANodeThatRefusesBeginsNoSecondRowOfDials(t *testing.T) {
	r := newRig(t)
	dials := func(for_ placement.Millis) int {
		before := r.w.last
		for end := r.now + for_; r.now < end; {
			r.listed(1, pb.NodeEntry_READY, 1, -1)
			for at := r.now + 200; r.w.wake <= at; {
				r.at(r.w.wake)
				r.p.Wake(r.now)
				if n := r.p.nodes[0]; n.dialling {
					r.p.Closed(r.now, n.conn, errors.New("refused"))
				}
			}
			r.at(r.now + 1)
			if n := r.p.nodes[0]; n.dialling {
				r.p.Closed(r.now, n.conn, errors.New("refused"))
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
	cell := func(i int) placement.CellID { return r.p.nodes[i].entry.Cell }
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
				r.p.Closed(r.now, n.conn, errors.New("refused"))
			}
		}
		r.update(pb.ListUpdate_WHOLE, entries...)
		seen := map[placement.CellID]string{}
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
	born := r.p.nodes[0].entry.StartedAt
	r.p.Closed(r.now, r.p.nodes[0].conn, errors.New("refused"))
	r.update(pb.ListUpdate_WHOLE)
	require.Empty(t, r.p.nodes)
	r.at(500)
	cold.UpForMs = 601.5
	r.update(pb.ListUpdate_WHOLE, cold)
	assert.Equal(t, born, r.p.nodes[0].entry.StartedAt)
	assert.Empty(t, r.p.starts)
	r.p.Closed(r.now, r.p.nodes[0].conn, errors.New("refused"))
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

// Three days, a minute at a time: nodes are replaced in new cells, owners come under new names, ask with weeks to wait and
// leave, groups begin and end, connections break. Everything that is kept levels off.
func TestWhatThePortKeepsLevelsOffOverDays(t *testing.T) {
	r := newRig(t, func(c *Config) { c.EventLogSize = 100 })
	most := 0
	for minute := range uint32(3 * 24 * 60) {
		id, owner := minute+1, transport.ConnID(1e6+minute)
		e := nodeEntry(id, "z", fmt.Sprint("cell-", minute))
		e.Address, e.UpForMs = fmt.Sprint("at-", id), 5
		r.update(pb.ListUpdate_WHOLE, e)
		n := r.w.dialed[e.Address]
		require.NotZero(t, n)
		r.p.Opened(r.now, n)
		r.from(n, transport.HelloFrame(&pb.Hello{Role: pb.Role_NODE, Name: "n", Node: id, Incarnation: 1, UpForMs: 5}))
		r.wake(r.now + 25e3) // cold budgets wait for a window after our start
		r.p.Opened(r.now, owner)
		r.from(owner, transport.HelloFrame(&pb.Hello{Role: pb.Role_OWNER, Name: fmt.Sprint("owner-", minute), Incarnation: 1, SentMs: 1}))
		part := func(k uint64) *pb.Ask {
			return &pb.Ask{Key: uint64(minute)*10 + k, Service: uint64(minute), Group: "serve", Cores: 1, Memory: 1, RunsForMs: 1}
		}
		a := part(0)
		a.Ask, a.LeftMs = 1, 30*24*3600e3
		r.from(owner, &pb.Frame{Body: &pb.Frame_Ask{Ask: a}})
		r.from(owner, &pb.Frame{Body: &pb.Frame_GangAsk{GangAsk: &pb.GangAsk{
			Ask: 2, LeftMs: 30 * 24 * 3600e3, Parts: []*pb.Ask{part(1), part(2)},
		}}})
		offers := r.offers(n)
		require.Len(t, offers, 3)
		for _, o := range offers {
			r.runs(n, o.Bind)
		}
		r.wake(r.now + 1e3)
		for _, o := range offers {
			r.from(n, &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: o.Bind, Why: pb.Why_FINISHED}}})
		}
		r.p.Closed(r.now, owner, errors.New("gone"))
		r.p.Closed(r.now, n, errors.New("gone"))
		r.wake(r.now + 34e3)
		clear(r.w.sent)
		clear(r.w.closed)
		p := r.p
		sizes := []int{
			len(p.peers), len(p.owners), len(p.nodes), len(p.wls), len(p.asks), len(p.keys), len(p.old), len(p.gangs), len(p.later),
			len(p.zones.of), len(p.zones.used), len(p.cells.of), len(p.cells.used), len(p.starts), len(p.probes), p.timers.Len(),
			p.engine.WorkloadCount(), p.Pending(),
		}
		for _, n := range sizes {
			most = max(most, n)
		}
		require.LessOrEqual(t, most, 16, "minute %d: %v", minute, sizes)
	}
	assert.EqualValues(t, 2*3*24*60, r.p.Counters.Requests)
	assert.EqualValues(t, 3*24*60, r.p.Counters.GangsPlaced)
}

func TestTheLastNumbersAreKeptForWhatStands(t *testing.T) {
	r := newRig(t)
	n := r.node(1, 1)
	r.p.lastID = lastAsked - 1
	r.ask(1, "serve")
	r.offer(n)
	r.ask(2, "serve")
	f := r.w.take(ownerConn)
	assert.Equal(t, "the allocator has named all its workloads; restart it", f[0].GetAnswer().GetReason())
	standing := func(no uint64) *pb.Standing {
		return &pb.Standing{Running: true, Offer: &pb.Offer{
			Bind: &pb.BindID{Allocator: "a", Incarnation: 3, Workload: no}, Owner: "o",
			Ask: &pb.Ask{Ask: 70 + no, Key: 700 + no, Service: 1, Group: "serve", Cores: 1, Memory: 1},
		}}
	}
	r.p.lastID = math.MaxUint32 - 1
	r.p.Closed(r.now, n, errors.New("reset"))
	r.again(1, 1, -1, standing(1), standing(2))
	assert.EqualValues(t, uint32(math.MaxUint32), r.p.lastID, "the number 0 is never given out")
	assert.Equal(t, 1, r.p.WorkloadCount())
}

// A group that waits to be begun again has no workload on the books, and took no place under the limit.
func TestGroupsThatWaitHoldTheirPlaces(t *testing.T) {
	r := newRig(t, func(c *Config) { c.MaxWorkloads = 3 })
	n := r.node(1, 1)
	r.gang(1)
	for _, o := range r.offers(n) {
		r.answers(n, o.Bind, false, pb.Why_TOO_MANY_WAITING)
	}
	require.Len(t, r.p.gangs, 1)
	require.Equal(t, 0, r.p.WorkloadCount())
	r.gang(2)
	assert.Equal(t, map[uint64]pb.Verdict{2: pb.Verdict_REJECTED}, r.verdicts())
}
