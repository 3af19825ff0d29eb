package loadgen

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/trace"
)

func TestFromTrace_KeepsRecordedTimes(t *testing.T) {
	dir := t.TempDir()
	s, err := scenario.Open("quiet")
	require.NoError(t, err)
	s.SetLength(4000)
	r, err := simulation.PlayVirtual(s, simulation.Options{Seed: 1, TraceDirectory: dir})
	require.NoError(t, err)
	names, _, _ := trace.ListFiles(dir + "/allocator-1")
	require.NotEmpty(t, names)
	f, err := trace.Open(names[0])
	require.NoError(t, err)
	defer func() { assert.NoError(t, f.Close()) }()
	slow, err := FromTrace([]*trace.Reader{f}, 1, time.Second)
	require.NoError(t, err)
	fast, err := FromTrace([]*trace.Reader{f}, 2, time.Second)
	require.NoError(t, err)
	x, y := allRequests(slow), allRequests(fast)
	require.Len(t, y, len(x))
	assert.Greater(t, len(x), r.Workloads/4)
	assert.Zero(t, x[0].At)
	assert.InDelta(t, float64(x[len(x)-1].At), 2*float64(y[len(y)-1].At), 10)
	assert.NotEmpty(t, x[0].Group)
	assert.Greater(t, x[0].PendingTimeout, time.Second)
	_, err = FromTrace([]*trace.Reader{f}, 0, 0)
	require.ErrorContains(t, err, "speed")
}
