package eventlog

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestLog_Since_ReturnsHeldEventsAndCompleteness(t *testing.T) {
	l := New(3)
	for i := range 5 {
		l.Add(Event{At: placement.Millis(i), Kind: Requested})
	}
	events, complete := l.Since(2)
	assert.True(t, complete)
	assert.Equal(t, []uint64{3, 4, 5}, []uint64{events[0].Revision, events[1].Revision, events[2].Revision})
	_, complete = l.Since(1)
	assert.False(t, complete)
	events, complete = l.Since(5)
	assert.True(t, complete)
	assert.Empty(t, events)
	assert.Equal(t, uint64(5), l.Revision())
}

func TestLog_Digest_DependsOnEveryEvent(t *testing.T) {
	digestOf := func(capacity int, last Event) uint64 {
		l := New(capacity)
		l.Add(Event{
			At:       1,
			Kind:     Requested,
			Workload: 1,
		})
		l.Add(last)
		return l.Digest()
	}
	assert.Equal(t, digestOf(1, Event{Node: 2}), digestOf(9, Event{Node: 2}), "the digest includes dropped events")
	assert.NotEqual(t, digestOf(9, Event{Node: 2}), digestOf(9, Event{Node: 3}))
	assert.NotEqual(t, digestOf(9, Event{Detail: 2}), digestOf(9, Event{Detail: 3}))
}

func TestLog_Nil_AddDoesNothing(t *testing.T) {
	var l *Log
	assert.NotPanics(t, func() { l.Add(Event{Kind: Requested}) })
}

func TestKind_EveryKindHasAName(t *testing.T) {
	names := map[string]bool{}
	for k := Requested; k <= NodeConnection; k++ {
		assert.NotEmpty(t, k.String())
		names[k.String()] = true
	}
	assert.Len(t, names, int(NodeConnection), "names are unique")
}
