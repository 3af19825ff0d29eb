package loadgen

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/trace"
)

// recordTrace runs a scenario of 4 s in virtual time. It returns the first trace file of the first allocator, and the
// number of requests that the clients of all allocators sent.
func recordTrace(t *testing.T) (file *trace.Reader, sent int) {
	t.Helper()
	dir := t.TempDir()
	script, err := scenario.Open("quiet")
	require.NoError(t, err)
	script.SetLength(4000)
	result, err := simulation.PlayVirtual(script, simulation.Options{Seed: 1, TraceDirectory: dir})
	require.NoError(t, err)
	files := trace.ListFiles(filepath.Join(dir, "allocator-1"))
	require.NotEmpty(t, files)
	file, err = trace.Open(files[0].Name)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, file.Close()) })
	return file, result.Workloads
}

func TestFromTrace_KeepsRecordedIntervals(t *testing.T) {
	file, sent := recordTrace(t)
	schedule, err := FromTrace([]*trace.Reader{file}, 1, time.Second)
	require.NoError(t, err)
	requests := allRequests(schedule)
	fastSchedule, err := FromTrace([]*trace.Reader{file}, 2, time.Second)
	require.NoError(t, err)
	fastRequests := allRequests(fastSchedule)

	require.Len(t, fastRequests, len(requests))
	assert.Greater(t, len(requests), sent/4)
	assert.Zero(t, requests[0].At)
	last := float64(requests[len(requests)-1].At)
	fastLast := float64(fastRequests[len(fastRequests)-1].At)
	assert.InDelta(t, last, 2*fastLast, 10)
	assert.NotEmpty(t, requests[0].Group)
	assert.Greater(t, requests[0].PendingTimeout, time.Second)
}

func TestFromTrace_SpeedZero_IsAnError(t *testing.T) {
	file, _ := recordTrace(t)
	_, err := FromTrace([]*trace.Reader{file}, 0, 0)
	require.ErrorContains(t, err, "speed")
}

func TestFromTrace_NoFiles_ReturnsErrNoRequests(t *testing.T) {
	_, err := FromTrace(nil, 1, time.Second)
	require.ErrorIs(t, err, ErrNoRequests)
}
