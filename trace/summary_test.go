package trace

import (
	"bytes"
	"testing"

	"github.com/parquet-go/parquet-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/trace/tracepb"
)

// answer returns the RequestAnswered record of a workload.
func answer(at float64, revision uint64, workload, verdict uint32) *Record {
	answered := &tracepb.RequestAnswered{Workload: workload, Verdict: verdict}
	return &Record{
		AtMs:     at,
		Revision: revision,
		Body:     &tracepb.Record_RequestAnswered{RequestAnswered: answered},
	}
}

// fourDecisions returns a file with three requests, one of them rejected by a node, and two answers.
func fourDecisions(t *testing.T) *Reader {
	t.Helper()
	start := &tracepb.Start{Groups: []string{"serve"}}
	noMemory := &tracepb.StepResult{
		Workload: 1,
		Kind:     resultRejectedByNode,
		Reason:   reasonInsufficientMemory,
	}
	rejectedByNode := &Record{
		AtMs:     20,
		Revision: 3,
		Step:     &tracepb.Step{Kind: stepRejected},
		Body:     &tracepb.Record_StepResult{StepResult: noMemory},
	}
	return newReader(t, encodeFile(t, testHeader, []*Record{
		{Revision: 1, Body: &tracepb.Record_Start{Start: start}},
		placedRequest(10, 2, 1),
		rejectedByNode,
		answer(20, 9, 1, verdictRejected),
		placedRequest(30, 4, 2),
		answer(75, 9, 2, verdictPlaced),
		placedRequest(80, 5, 3),
	}, 10))
}

func TestSummarise_CountsOutcomesOfRequests(t *testing.T) {
	s, err := Summarise([]*Reader{fourDecisions(t)})
	require.NoError(t, err)
	require.Len(t, s.Groups, 1)
	group := s.Groups[0]
	assert.Equal(t, 3, group.Requests)
	assert.Equal(t, 1, group.Placed)
	assert.Equal(t, 1, group.Rejected)
	assert.Equal(t, 0, group.Unschedulable)
	assert.Equal(t, 1, group.Open)
	assert.Equal(t, 3, group.Binds)
	assert.InDelta(t, 45, group.MedianMs, 0.1)
	assert.Equal(t, []NodeRejection{{7, "no memory", 1}}, s.NodeRejections)
}

func TestSummarise_WaitBeyondHistogramCountsAsMaximum(t *testing.T) {
	records := []*Record{placedRequest(0, 2, 1), answer(1e9, 3, 1, verdictPlaced)}
	s, err := Summarise([]*Reader{newReader(t, encodeFile(t, testHeader, records, 10))})
	require.NoError(t, err)
	assert.Equal(t, 1, s.Groups[0].Placed)
	assert.InEpsilon(t, maxWaitMicros/microsPerMilli, s.Groups[0].MaxMs, 0.001)
}

func TestExport_WritesRowForEachDecision(t *testing.T) {
	var out bytes.Buffer
	n, err := Export([]*Reader{fourDecisions(t)}, &out)
	require.NoError(t, err)
	assert.Equal(t, 4, n)
	assert.Equal(t, "PAR1", out.String()[:4])

	rows, err := parquet.Read[Row](bytes.NewReader(out.Bytes()), int64(out.Len()))
	require.NoError(t, err)
	require.Len(t, rows, 4)
	var calls, steps []string
	for _, row := range rows {
		calls = append(calls, row.Call)
		steps = append(steps, row.Step)
	}
	assert.Equal(t, []string{"place", "declined", "place", "place"}, calls)
	assert.Equal(t, []string{"bind", "rejected", "bind", "bind"}, steps)
	assert.InDelta(t, 10, rows[1].SinceRequestMs, 0)
}
