package recovery

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

var settings = Settings{
	Groups: map[string]GroupPolicy{
		"serve": {Idempotency: placement.Idempotent}, "check": {Idempotency: placement.IdempotentByKey, KeyWindow: 50}, "once": {Idempotency: placement.AtMostOnce},
	},
	Retention: 1000,
}

func bind(key uint64, group string, number uint32) Bind {
	return Bind{Key: key, Group: group, Incarnation: 1, Workload: key, Number: number}
}

func TestOnlyWhatMustNotHappenTwiceIsWrittenDown(t *testing.T) {
	b := New(settings, nil, 0)
	assert.False(t, b.RequiresDurability("serve"))
	assert.True(t, b.RequiresDurability("check"))
	assert.True(t, b.RequiresDurability("once"))
	assert.True(t, b.RequiresDurability("a group that is no more"))
}

func TestTheTableInThisLife(t *testing.T) {
	b := New(settings, nil, 0)
	assert.Equal(t, Admit, b.CheckAdmission(0, 1, "once"))
	assert.Equal(t, 1000.0, b.RecordBind(0, bind(1, "once", 0)).ExpiresAt)
	assert.Equal(t, MayHaveRun, b.CheckAdmission(10, 1, "once"))
	assert.True(t, b.Forget(1, 1, 0))
	assert.Equal(t, Admit, b.CheckAdmission(10, 1, "once"))
	assert.Equal(t, 60.0, b.RecordBind(10, bind(2, "check", 0)).ExpiresAt)
	assert.Equal(t, Admit, b.CheckAdmission(20, 2, "check"), "the module knows where it may go")
}

func TestTheTableAfterACrash(t *testing.T) {
	left := []Bind{bind(1, "once", 0), bind(2, "check", 0), bind(3, "gone", 0), bind(4, "once", 0)}
	for i := range left {
		left[i].ExpiresAt = 100
	}
	left[3].ExpiresAt = 5
	b := New(settings, left, 10)
	assert.Equal(t, 3, b.Len())
	for key := range uint64(3) {
		assert.Equal(t, MayHaveRun, b.CheckAdmission(20, key+1, "once"), "key %d", key+1)
		assert.Equal(t, Admit, b.CheckAdmission(100, key+1, "once"), "key %d, when its time is over", key+1)
	}
	assert.Equal(t, Admit, b.CheckAdmission(20, 4, "once"))
}

// A no to a second bind says nothing of the first, which may have run; neither does one to a bind of an earlier life.
func TestANoSettlesOnlyWhatItIsAbout(t *testing.T) {
	b := New(settings, nil, 0)
	b.RecordBind(0, bind(1, "once", 0))
	b.RecordBind(5, bind(1, "once", 1))
	assert.False(t, b.Forget(1, 1, 1))
	assert.False(t, b.Forget(1, 1, 0))
	assert.Equal(t, MayHaveRun, b.CheckAdmission(10, 1, "once"))
	b.RecordBind(0, bind(3, "once", 0))
	assert.True(t, b.Forget(3, 1, 0))
	b.RecordBind(0, bind(3, "once", 1))
	assert.True(t, b.Forget(3, 1, 1), "no to each of them")
	b.RecordBind(0, bind(2, "once", 0))
	assert.False(t, b.Forget(2, 9, 0))
	assert.False(t, b.Forget(7, 1, 0))
}

func TestABookThatIsFullTakesNoMoreUntilTimeIsOver(t *testing.T) {
	s := settings
	s.MaxEntries = 2
	b := New(s, nil, 0)
	b.RecordBind(0, bind(1, "once", 0))
	b.RecordBind(0, bind(2, "once", 0))
	assert.Equal(t, RegistryFull, b.CheckAdmission(10, 3, "once"))
	assert.Equal(t, Admit, b.CheckAdmission(10, 3, "serve"), "what is not written down needs no room")
	assert.Equal(t, Admit, b.CheckAdmission(2000, 3, "once"))
}

func TestKeysWhoseTimeIsOverAreForgotten(t *testing.T) {
	b := New(settings, nil, 0)
	for key := range uint64(5000) {
		b.RecordBind(float64(key), bind(key, "check", 0))
	}
	assert.Less(t, b.Len(), 2500, "a mark counts for 50 ms")
}
