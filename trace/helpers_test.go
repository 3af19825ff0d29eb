package trace

import (
	"bytes"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"grebeglade/trace/tracepb"
)

func source(name string, incarnation uint64, wall float64) *tracepb.Source {
	return &tracepb.Source{Allocator: name, Incarnation: incarnation, WallMs: wall}
}

// placed returns the request of a workload that was bound.
func placed(at float64, revision uint64, id uint32) *Record {
	return &Record{
		AtMs: at, Revision: revision, Step: &tracepb.Step{Node: 7, Timeout: 3000},
		Body: &tracepb.Record_Schedule{Schedule: &tracepb.Schedule{Workload: &tracepb.Workload{Id: id, Service: uint64(id), Cores: 1.5}}},
	}
}

// file returns a file with so many records in each block.
func file(t require.TestingT, h *tracepb.Header, records []*Record, perBlock int) []byte {
	var b bytes.Buffer
	w, err := NewWriter(&b, h)
	require.NoError(t, err)
	for i, r := range records {
		require.NoError(t, w.Append(r))
		if (i+1)%perBlock == 0 {
			require.NoError(t, w.Flush())
		}
	}
	require.NoError(t, w.Close())
	return b.Bytes()
}

func reader(t require.TestingT, b []byte) *Reader {
	r, err := NewReader(bytes.NewReader(b), int64(len(b)))
	require.NoError(t, err)
	return r
}

// all returns the records that can be read, and the number of blocks that cannot.
func all(r *Reader, s Span) (records []*Record, damaged int) {
	for rec, err := range r.Records(s) {
		if err != nil {
			damaged++
		} else {
			records = append(records, rec)
		}
	}
	return records, damaged
}

func some(n int) (records []*Record) {
	for i := range n {
		records = append(records, placed(float64(i*10), uint64(i+1), uint32(i+1)))
	}
	return records
}

func same(t assert.TestingT, want, got []*Record) {
	if assert.Len(t, got, len(want)) {
		for i := range want {
			assert.True(t, proto.Equal(want[i], got[i]), "record %d", i)
		}
	}
}

var one = &tracepb.Header{Sources: []*tracepb.Source{source("a", 1, 1e12)}}

// drawn returns any record.
func drawn(t *rapid.T) *Record {
	r := &Record{AtMs: rapid.Float64().Draw(t, "at"), Revision: rapid.Uint64().Draw(t, "revision")}
	load := &tracepb.Load{SpareCores: rapid.Float64().Draw(t, "spare"), Backlog: rapid.Float64().Draw(t, "backlog")}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		r.Body = &tracepb.Record_Report{Report: &tracepb.Report{Node: rapid.Uint32().Draw(t, "node"), Load: load}}
	case 1:
		r.Body = &tracepb.Record_StepResult{StepResult: &tracepb.StepResult{Workload: rapid.Uint32().Draw(t, "wl"), Load: load}}
		r.Step = &tracepb.Step{Kind: 1, WakeAt: rapid.Float64().Draw(t, "until")}
	case 2:
		r.Body = &tracepb.Record_Maintain{Maintain: &tracepb.Maintain{}}
		r.Maintenance = &tracepb.Maintenance{Migrations: rapid.SliceOf(rapid.Uint32()).Draw(t, "moves")}
	case 3:
		r.Body = &tracepb.Record_RequestReceived{RequestReceived: &tracepb.RequestReceived{Client: rapid.String().Draw(t, "owner"), Key: rapid.Uint64().Draw(t, "key")}}
	case 4:
		nodes := make([]*tracepb.Node, rapid.IntRange(0, 20).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = &tracepb.Node{Id: uint32(i), StartedAt: rapid.Float64().Draw(t, "born")}
		}
		r.Body = &tracepb.Record_NodesUpdated{NodesUpdated: &tracepb.NodesUpdated{Nodes: nodes}}
	default:
		return placed(r.AtMs, r.Revision, rapid.Uint32().Draw(t, "id"))
	}
	return r
}
