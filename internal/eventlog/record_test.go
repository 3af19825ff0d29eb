package eventlog

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestTheLogKeepsTheLatestAndSaysWhatIsGone(t *testing.T) {
	l := New(3)
	for i := range 5 {
		l.Add(Event{At: placement.Millis(i), Kind: Asked})
	}
	events, whole := l.Since(2)
	assert.True(t, whole)
	assert.Equal(t, []uint64{3, 4, 5}, []uint64{events[0].Revision, events[1].Revision, events[2].Revision})
	_, whole = l.Since(1)
	assert.False(t, whole)
	events, whole = l.Since(5)
	assert.True(t, whole)
	assert.Empty(t, events)
}

func TestTheDigestTellsRunsApart(t *testing.T) {
	run := func(size int, last Event) uint64 {
		l := New(size)
		l.Add(Event{At: 1, Kind: Asked, Workload: 1})
		l.Add(last)
		return l.Digest()
	}
	assert.Equal(t, run(1, Event{Node: 2}), run(9, Event{Node: 2}), "also of what is no longer held")
	assert.NotEqual(t, run(9, Event{Node: 2}), run(9, Event{Node: 3}))
	assert.NotEqual(t, run(9, Event{Detail: 2}), run(9, Event{Detail: 3}))
}
