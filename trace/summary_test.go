package trace

import (
	"bytes"
	"testing"

	"github.com/parquet-go/parquet-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/trace/tracepb"
)

// fourDecisions returns a file with three requests, one of which a node rejects, and their answers.
func fourDecisions(t *testing.T) *Reader {
	t.Helper()
	start := &Record{Revision: 1, Body: &tracepb.Record_Start{Start: &tracepb.Start{Groups: []string{"serve"}}}}
	rejectedByNode := &Record{
		AtMs: 20, Revision: 3, Step: &tracepb.Step{Kind: stepRejected},
		Body: &tracepb.Record_StepResult{StepResult: &tracepb.StepResult{Workload: 1, Kind: resultRejectedByNode, Reason: 2}},
	}
	answer := func(at float64, id, verdict uint32) *Record {
		return &Record{AtMs: at, Revision: 9, Body: &tracepb.Record_RequestAnswered{RequestAnswered: &tracepb.RequestAnswered{Workload: id, Verdict: verdict}}}
	}
	return reader(t, file(t, one, []*Record{
		start, placed(10, 2, 1), rejectedByNode, answer(20, 1, verdictRejected), placed(30, 4, 2), answer(75, 2, verdictPlaced),
		placed(80, 5, 3),
	}, 10))
}

func TestSummarise_CountsOutcomesOfRequests(t *testing.T) {
	s, err := Summarise([]*Reader{fourDecisions(t)})
	require.NoError(t, err)
	require.Len(t, s.Groups, 1)
	g := s.Groups[0]
	assert.Equal(t, []int{3, 1, 1, 0, 1, 3}, []int{g.Requests, g.Placed, g.Rejected, g.Unschedulable, g.Open, g.Binds})
	assert.InDelta(t, 45, g.MedianMs, 0.1)
	assert.Equal(t, []NodeRejection{{7, "no memory", 1}}, s.NodeRejections)
}

func TestSummarise_WaitBeyondHistogramCountsAsItsMaximum(t *testing.T) {
	answer := &Record{AtMs: 1e9, Revision: 3, Body: &tracepb.Record_RequestAnswered{RequestAnswered: &tracepb.RequestAnswered{Workload: 1, Verdict: verdictPlaced}}}
	s, err := Summarise([]*Reader{reader(t, file(t, one, []*Record{placed(0, 2, 1), answer}, 10))})
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
	assert.Equal(t, []string{"place", "declined", "place", "place"}, []string{rows[0].Call, rows[1].Call, rows[2].Call, rows[3].Call})
	assert.Equal(t, []string{"bind", "rejected", "bind", "bind"}, []string{rows[0].Step, rows[1].Step, rows[2].Step, rows[3].Step})
	assert.InDelta(t, 10, rows[1].SinceRequestMs, 0)
}
