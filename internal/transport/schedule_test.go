package transport

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestSchedule_Empty_NothingIsDue(t *testing.T) {
	var s schedule
	_, ok := s.next()
	assert.False(t, ok)
	assert.False(t, s.takeWakeUp(1))
}

func TestSchedule_CallAndWakeUp_NextIsTheEarlier(t *testing.T) {
	for name, c := range map[string]struct {
		wakeAt placement.Millis
		want   placement.Millis
	}{
		"wake-up first": {wakeAt: 3, want: 3},
		"call first":    {wakeAt: 7, want: 5},
	} {
		t.Run(name, func(t *testing.T) {
			var s schedule
			s.calls.Schedule(5, func(placement.Millis) {})
			s.setWakeUp(c.wakeAt)
			at, ok := s.next()
			assert.True(t, ok)
			assert.InDelta(t, float64(c.want), float64(at), 0)
		})
	}
}

func TestSchedule_WakeUp_IsReplacedAndTakenOnce(t *testing.T) {
	var s schedule
	s.setWakeUp(9)
	s.setWakeUp(4)
	assert.False(t, s.takeWakeUp(3))
	assert.True(t, s.takeWakeUp(4))
	assert.False(t, s.takeWakeUp(9))
}
