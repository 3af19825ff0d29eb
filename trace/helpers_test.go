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
	return &tracepb.Source{
		Allocator:   name,
		Incarnation: incarnation,
		WallMs:      wall,
	}
}

// placedRequest returns the Schedule record of a workload that was bound to a node.
func placedRequest(at float64, revision uint64, id uint32) *Record {
	workload := &tracepb.Workload{
		Id:      id,
		Service: uint64(id),
		Cores:   1.5,
	}
	return &Record{
		AtMs:     at,
		Revision: revision,
		Step:     &tracepb.Step{Node: 7, Timeout: 3000},
		Body:     &tracepb.Record_Schedule{Schedule: &tracepb.Schedule{Workload: workload}},
	}
}

// encodeFile returns an encoded file with perBlock records in each block.
func encodeFile(t require.TestingT, h *tracepb.Header, records []*Record, perBlock int) []byte {
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

// newReader returns a reader of an encoded file.
func newReader(t require.TestingT, b []byte) *Reader {
	r, err := NewReader(bytes.NewReader(b), int64(len(b)))
	require.NoError(t, err)
	return r
}

// readAll returns the readable records, and the number of damaged parts.
func readAll(r *Reader, s Span) (records []*Record, damaged int) {
	for record, err := range r.Records(s) {
		if err != nil {
			damaged++
		} else {
			records = append(records, record)
		}
	}
	return records, damaged
}

// placedRequests returns n Schedule records, 10 ms apart, with revisions from 1.
func placedRequests(n int) (records []*Record) {
	for i := range n {
		records = append(records, placedRequest(float64(i*10), uint64(i+1), uint32(i+1)))
	}
	return records
}

// assertSameRecords checks that two lists have equal records in the same order.
func assertSameRecords(t assert.TestingT, want, got []*Record) {
	if assert.Len(t, got, len(want)) {
		for i := range want {
			assert.True(t, proto.Equal(want[i], got[i]), "record %d", i)
		}
	}
}

// testHeader is the header of a file with the records of one allocator.
var testHeader = headerWithSource(source("a", 1, 1e12))

func headerWithSource(source *tracepb.Source) *tracepb.Header {
	return &tracepb.Header{Sources: []*tracepb.Source{source}}
}

// randomRecord returns a record of a random kind with random values.
func randomRecord(t *rapid.T) *Record {
	record := &Record{AtMs: rapid.Float64().Draw(t, "at"), Revision: rapid.Uint64().Draw(t, "revision")}
	load := &tracepb.Load{SpareCores: rapid.Float64().Draw(t, "spare"), Backlog: rapid.Float64().Draw(t, "backlog")}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		report := &tracepb.Report{Node: rapid.Uint32().Draw(t, "node"), Load: load}
		record.Body = &tracepb.Record_Report{Report: report}
	case 1:
		result := &tracepb.StepResult{Workload: rapid.Uint32().Draw(t, "workload"), Load: load}
		record.Body = &tracepb.Record_StepResult{StepResult: result}
		record.Step = &tracepb.Step{Kind: 1, WakeAt: rapid.Float64().Draw(t, "wake at")}
	case 2:
		migrations := rapid.SliceOf(rapid.Uint32()).Draw(t, "migrations")
		record.Body = &tracepb.Record_Maintain{Maintain: &tracepb.Maintain{}}
		record.Maintenance = &tracepb.Maintenance{Migrations: migrations}
	case 3:
		received := &tracepb.RequestReceived{
			Client: rapid.String().Draw(t, "client"),
			Key:    rapid.Uint64().Draw(t, "key"),
		}
		record.Body = &tracepb.Record_RequestReceived{RequestReceived: received}
	case 4:
		nodes := make([]*tracepb.Node, rapid.IntRange(0, 20).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = &tracepb.Node{Id: uint32(i), StartedAt: rapid.Float64().Draw(t, "started at")}
		}
		record.Body = &tracepb.Record_NodesUpdated{NodesUpdated: &tracepb.NodesUpdated{Nodes: nodes}}
	default:
		return placedRequest(record.AtMs, record.Revision, rapid.Uint32().Draw(t, "id"))
	}
	return record
}
