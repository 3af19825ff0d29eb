package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// lostAt lets a node fall silent at the given time, while a connection attempt takes the given time to fail. It returns
// the time at which the node counts as lost, or false if it did not by the time at which it is heard again.
func lostAt(l *Liveness, silentAt, heardAgainAt, attemptTime Millis) (at Millis, lost bool) {
	for now := l.NextCheck(); now < heardAgainAt; now = max(now, l.NextCheck()) {
		l.CheckBegun(now)
		if now < silentAt {
			l.Heard(now)
			continue
		}
		begun := now
		now += attemptTime
		if l.NoResponse(begun) {
			return now, true
		}
	}
	return 0, false
}

// Guards both bounds for any phase of the checks: a lost machine is noticed early enough for its clients to be notified
// within 8 s, and one that is cut off for 6 s is kept.
func TestLiveness_LostWithinEightSecondsAndKeptForSix(t *testing.T) {
	for silentAt := Millis(5000); silentAt < 6000; silentAt += 7 {
		lost := Liveness{}
		at, isLost := lostAt(&lost, silentAt, 60_000, LivenessCheckTimeout)
		require.True(t, isLost)
		assert.LessOrEqualf(t, at-silentAt, Millis(7600), "silent at %v", silentAt)
		kept := Liveness{}
		_, isLost = lostAt(&kept, silentAt, silentAt+6000, LivenessCheckTimeout)
		assert.Falsef(t, isLost, "silent at %v", silentAt)
	}
}

// Guards against checks without end of a node that is heard of, and against too many of a silent one.
func TestLiveness_NextCheck_AtMostOneASecondUntilTheEnd(t *testing.T) {
	l := Liveness{}
	l.Heard(100)
	assert.InDelta(t, 1100, float64(l.NextCheck()), 0.1)
	l.Heard(900)
	assert.InDelta(t, 1900, float64(l.NextCheck()), 0.1, "it was heard of meanwhile")
	checks := 0
	for now := Millis(1900); now < 1900+6000; now = l.NextCheck() {
		l.CheckBegun(now)
		require.False(t, l.NoResponse(now))
		checks++
	}
	assert.LessOrEqual(t, checks, 7)
}

// Guards against losing a node of which a message arrives while a connection attempt fails, or for one failed attempt.
func TestLiveness_SignOfLife_EndsTheSilence(t *testing.T) {
	l := Liveness{}
	require.False(t, l.NoResponse(1000))
	require.False(t, l.NoResponse(8000), "the first attempt after the longest partition")
	l.Heard(8100)
	assert.False(t, l.NoResponse(8050), "the attempt began before the sign of life")
	assert.False(t, l.NoResponse(8200))
	assert.False(t, l.NoResponse(14_000))
	assert.False(t, l.NoResponse(14_300))
	assert.True(t, l.NoResponse(14_300), "a second one after the longest partition")
}
