package replay_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/allocator"
	"grebeglade/internal/replay"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// noName is the fallback for kinds without a name.
const noName = "no name"

// Guards against numbers of kinds that differ between packages placement and trace. Package trace defines its own
// numbers, since files must stay readable after the scheduler that wrote them has changed.
func TestKinds_NumbersEqualThoseOfPlacement(t *testing.T) {
	steps := map[placement.StepKind]string{
		placement.Bind:          "bind",
		placement.Wait:          "wait",
		placement.AwaitEnd:      "resident",
		placement.Rejected:      "rejected",
		placement.Unschedulable: "unschedulable",
		placement.Done:          "done",
	}
	for kind, name := range steps {
		assert.Equal(t, name, trace.StepName(uint32(kind), noName))
	}
	assert.Equal(t, noName, trace.StepName(uint32(len(steps)), noName))

	results := map[placement.ResultKind]string{
		placement.Confirmed:      "confirmed",
		placement.RejectedByNode: "declined",
		placement.NotDelivered:   "unreachable",
		placement.NotAttempted:   "not sent",
		placement.OutcomeUnknown: "unclear",
		placement.TimedOut:       "timed out",
		placement.Ended:          "ended",
		placement.Withdrawn:      "withdrawn",
		placement.TimerFired:     "due",
	}
	for kind, name := range results {
		assert.Equal(t, name, trace.ResultName(uint32(kind), noName))
	}
	assert.Equal(t, noName, trace.ResultName(uint32(len(results)), noName))

	reasons := map[placement.Reason]string{
		placement.ReasonUnspecified:  "no reason",
		placement.InsufficientCores:  "no cores",
		placement.InsufficientMemory: "no memory",
		placement.QueueFull:          "too many waiting",
		placement.WrongNode:          "not here",
		placement.Evicted:            "evicted",
		placement.Preempted:          "pushed out",
		placement.Drained:            "sent away",
	}
	for reason, name := range reasons {
		assert.Equal(t, name, trace.RejectionName(uint32(reason), noName))
	}
	assert.Equal(t, noName, trace.RejectionName(uint32(len(reasons)), noName))
}

// recordSink is a sink that collects records in memory.
type recordSink []*trace.Record

func (r *recordSink) Put(batch []*trace.Record) { *r = append(*r, batch...) }

func TestKinds_VerdictsEqualThoseOfAllocator(t *testing.T) {
	var recorded recordSink
	source := &tracepb.Source{Allocator: "a", Incarnation: 1}
	recorder := replay.NewRecorder(replay.RecorderConfig{
		Source:   source,
		Settings: placement.Settings{Groups: []placement.Group{{RequiredKind: placement.AnyKind}}},
	}, &recorded)
	for i, verdict := range []allocator.Verdict{allocator.Placed, allocator.Rejected, allocator.Unschedulable} {
		id := placement.WorkloadID(i + 1)
		recorder.Schedule(0, placement.Workload{ID: id, PendingTimeout: 1000})
		recorder.RecordAnswer(0, id, verdict, 0, "")
	}
	recorder.Flush()

	summary, err := trace.Summarise([]*trace.Reader{writeRecords(t, source, recorded)})
	require.NoError(t, err)
	require.Len(t, summary.Groups, 1)
	outcomes := summary.Groups[0]
	assert.Equal(t, 1, outcomes.Placed)
	assert.Equal(t, 1, outcomes.Rejected)
	assert.Equal(t, 1, outcomes.Unschedulable)
	assert.Zero(t, outcomes.Open)
}

// writeRecords returns a file with the records of a source.
func writeRecords(t *testing.T, source *tracepb.Source, records []*trace.Record) *trace.Reader {
	t.Helper()
	var out bytes.Buffer
	writer, err := trace.NewWriter(&out, &tracepb.Header{Sources: []*tracepb.Source{source}})
	require.NoError(t, err)
	for _, record := range records {
		require.NoError(t, writer.Append(record))
	}
	require.NoError(t, writer.Close())
	reader, err := trace.NewReader(bytes.NewReader(out.Bytes()), int64(out.Len()))
	require.NoError(t, err)
	return reader
}
