package recovery

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

const retention = 1000 // milliseconds

var settings = Settings{
	Groups: map[string]GroupPolicy{
		"idempotent": {Idempotency: placement.Idempotent},
		"by-key":     {Idempotency: placement.IdempotentByKey, KeyWindow: 50},
		"once":       {Idempotency: placement.AtMostOnce},
	},
	Retention: retention,
}

func newBind(key uint64, group string, number uint32) Bind {
	return Bind{
		Key:         key,
		Group:       group,
		Incarnation: 1,
		Workload:    key,
		Number:      number,
	}
}

func expiringAt(time float64, bind Bind) Bind {
	bind.ExpiresAt = time
	return bind
}

func TestRegistry_RequiresDurability_AllButIdempotentGroups(t *testing.T) {
	r := New(settings, nil, 0)
	assert.False(t, r.RequiresDurability("idempotent"))
	assert.True(t, r.RequiresDurability("by-key"))
	assert.True(t, r.RequiresDurability("once"))
	assert.True(t, r.RequiresDurability("a group that is not in the settings"))
}

func TestRegistry_SameIncarnation_FollowsStates(t *testing.T) {
	r := New(settings, nil, 0)
	assert.Equal(t, Admit, r.CheckAdmission(0, 1, "once"))
	assert.InDelta(t, retention, r.RecordBind(0, newBind(1, "once", 0)).ExpiresAt, 0)
	assert.Equal(t, MayHaveRun, r.CheckAdmission(10, 1, "once"))
	assert.True(t, r.Forget(1, 1, 0))
	assert.Equal(t, Admit, r.CheckAdmission(10, 1, "once"))
	assert.InDelta(t, 60, r.RecordBind(10, newBind(2, "by-key", 0)).ExpiresAt, 0)
	assert.Equal(t, Admit, r.CheckAdmission(20, 2, "by-key"), "the scheduler restricts the nodes for the workload")
}

func TestRegistry_Inherited_MayHaveRunUntilExpired(t *testing.T) {
	recovered := []Bind{
		expiringAt(100, newBind(1, "once", 0)),
		expiringAt(100, newBind(2, "by-key", 0)),
		expiringAt(100, newBind(3, "removed", 0)),
		expiringAt(5, newBind(4, "once", 0)),
	}
	r := New(settings, recovered, 10)
	assert.Equal(t, 3, r.Len())
	for key := range uint64(3) {
		assert.True(t, r.IsInherited(20, key+1), "key %d", key+1)
		assert.False(t, r.IsInherited(100, key+1), "key %d, expired", key+1)
		assert.Equal(t, MayHaveRun, r.CheckAdmission(20, key+1, "once"), "key %d", key+1)
		assert.Equal(t, Admit, r.CheckAdmission(100, key+1, "once"), "key %d, expired", key+1)
	}
	assert.Equal(t, Admit, r.CheckAdmission(20, 4, "once"))
}

func TestRegistry_Inherited_KeptAfterForgetAndReboundByNewBind(t *testing.T) {
	r := New(settings, []Bind{expiringAt(100, newBind(1, "once", 0))}, 10)
	assert.False(t, r.Forget(1, 1, 0), "the earlier incarnation may have sent other binds")
	r.RecordBind(20, newBind(1, "once", 1))
	assert.False(t, r.IsInherited(20, 1))
	assert.False(t, r.Forget(1, 1, 1), "the inherited bind may have been accepted")
}

// Guards against removing a key after its second bind was rejected: the first bind may have been accepted.
func TestRegistry_Forget_RemovesOnlyLastBindOfBoundKey(t *testing.T) {
	r := New(settings, nil, 0)
	r.RecordBind(0, newBind(1, "once", 0))
	r.RecordBind(5, newBind(1, "once", 1))
	assert.False(t, r.Forget(1, 1, 1))
	assert.False(t, r.Forget(1, 1, 0))
	assert.Equal(t, MayHaveRun, r.CheckAdmission(10, 1, "once"))
	r.RecordBind(0, newBind(3, "once", 0))
	assert.True(t, r.Forget(3, 1, 0))
	r.RecordBind(0, newBind(3, "once", 1))
	assert.True(t, r.Forget(3, 1, 1), "both binds were rejected")
	r.RecordBind(0, newBind(2, "once", 0))
	assert.False(t, r.Forget(2, 9, 0), "a bind of another incarnation")
	assert.False(t, r.Forget(7, 1, 0), "a key that is not in the registry")
}

func TestRegistry_Full_RejectsUntilBindsExpire(t *testing.T) {
	limited := settings
	limited.MaxEntries = 2
	r := New(limited, nil, 0)
	r.RecordBind(0, newBind(1, "once", 0))
	r.RecordBind(0, newBind(2, "once", 0))
	assert.Equal(t, RegistryFull, r.CheckAdmission(10, 3, "once"))
	assert.Equal(t, Admit, r.CheckAdmission(10, 3, "idempotent"), "a bind that is not durable needs no entry")
	assert.Equal(t, Admit, r.CheckAdmission(2000, 3, "once"))
}

func TestRegistry_ExpiredBinds_ArePruned(t *testing.T) {
	r := New(settings, nil, 0)
	for key := range uint64(5000) {
		r.RecordBind(float64(key), newBind(key, "by-key", 0))
	}
	assert.Less(t, r.Len(), 2500, "a key is effective for 50 ms")
}
