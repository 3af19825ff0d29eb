package recovery

import "grebeglade/placement"

// GroupPolicy is what the workloads of a group require.
type GroupPolicy struct {
	Idempotency placement.Idempotency
	KeyWindow   placement.Millis // for which a key of an IdempotentByKey group is effective
}

// Settings configure a Registry.
type Settings struct {
	Groups     map[string]GroupPolicy
	Retention  placement.Millis // for which the key of an AtMostOnce group is known after its last bind
	MaxEntries int              // the most keys that may be known; 0 for no limit
}

// Bind is the last offer that was sent for a key.
type Bind struct {
	Key         uint64
	Group       string
	Node        uint32
	Incarnation uint64 // of the allocator; like Workload and Number, as the offer carries it
	Workload    uint64
	Number      uint32
	ExpiresAt   float64 // when the bind may be forgotten
}

// Admission is what a request may lead to.
type Admission uint8

const (
	// Admit allows the workload to be scheduled.
	Admit Admission = iota
	// MayHaveRun forbids it: the workload may have run, and must not run again.
	MayHaveRun
	// RegistryFull forbids it: the bind would have to be known, and MaxEntries keys are.
	RegistryFull
)

const (
	// pruneInterval is the least time between two searches for expired binds, in milliseconds.
	pruneInterval = 1000
	// pruneIntervalPerEntry lengthens it for each key that is known, so that a search stays cheap for each bind.
	pruneIntervalPerEntry = 0.1
)

// Registry holds the durable binds that are known. It is not safe for concurrent use.
type Registry struct {
	settings Settings
	entries  map[uint64]entry // by key
	pruneAt  float64          // when expired binds are searched for again
}

// entry is what is known of a key.
type entry struct {
	bind  Bind // the last one
	state keyState
}

// keyState is the state of a key that is known. The package comment has the transitions.
type keyState uint8

const (
	bound keyState = iota
	rebound
	inherited
)

// expired reports whether nothing has to be known of the key any more.
func (e entry) expired(now float64) bool { return e.bind.ExpiresAt <= now }

// New returns a registry with the unexpired binds of earlier incarnations.
func New(settings Settings, recovered []Bind, now float64) *Registry {
	registry := &Registry{settings: settings, entries: make(map[uint64]entry, len(recovered))}
	for _, bind := range recovered {
		known := entry{bind: bind, state: inherited}
		if !known.expired(now) {
			registry.entries[bind.Key] = known
		}
	}
	return registry
}

// policy returns the policy of a group. A group that does not exist any more counts as at most once, since the
// effect of a second run is unknown.
func (r *Registry) policy(group string) GroupPolicy {
	if policy, ok := r.settings.Groups[group]; ok {
		return policy
	}
	return GroupPolicy{Idempotency: placement.AtMostOnce}
}

// RequiresDurability reports whether a bind of a group must be durable before it is sent.
func (r *Registry) RequiresDurability(group string) bool {
	return r.policy(group).Idempotency != placement.Idempotent
}

// CheckAdmission returns what a request for a key may lead to. The registry does not know whether the workload is still
// running; the caller must.
func (r *Registry) CheckAdmission(now float64, key uint64, group string) Admission {
	e, known := r.entries[key]
	if known && e.expired(now) {
		delete(r.entries, key)
		known = false
	}
	if known {
		return r.admitKnown(e)
	}
	if r.RequiresDurability(group) && r.full() {
		r.prune(now)
		if r.full() {
			return RegistryFull
		}
	}
	return Admit
}

// admitKnown is CheckAdmission for a key that is known.
func (r *Registry) admitKnown(e entry) Admission {
	if e.state == inherited || r.policy(e.bind.Group).Idempotency == placement.AtMostOnce {
		return MayHaveRun
	}
	return Admit
}

// KnownBeforeRestart reports whether a bind of a key by an earlier incarnation is known.
func (r *Registry) KnownBeforeRestart(now float64, key uint64) bool {
	e, known := r.entries[key]
	return known && e.state == inherited && !e.expired(now)
}

// RecordBind records a bind that is about to be sent, and returns it with the time at which it expires.
func (r *Registry) RecordBind(now float64, bind Bind) Bind {
	bind.ExpiresAt = now + float64(r.retention(bind.Group))
	r.prune(now)
	state := bound
	if _, known := r.entries[bind.Key]; known {
		state = rebound
	}
	r.entries[bind.Key] = entry{bind: bind, state: state}
	return bind
}

// retention returns how long a key of a group must be known after its last bind.
func (r *Registry) retention(group string) placement.Millis {
	if policy := r.policy(group); policy.Idempotency == placement.IdempotentByKey {
		return policy.KeyWindow
	}
	return r.settings.Retention
}

// Forget records that a bind was never accepted, or never sent. It reports whether the key has become unknown. The key
// stays known if it has been bound again since, or if an earlier bind of it may have been accepted.
func (r *Registry) Forget(key, incarnation uint64, number uint32) bool {
	e, known := r.entries[key]
	if !known || e.state != bound || e.bind.Incarnation != incarnation || e.bind.Number != number {
		return false
	}
	delete(r.entries, key)
	return true
}

// full reports whether no further key may become known.
func (r *Registry) full() bool {
	return r.settings.MaxEntries > 0 && len(r.entries) >= r.settings.MaxEntries
}

// prune forgets expired binds, unless it has done so a short while ago.
func (r *Registry) prune(now float64) {
	if now < r.pruneAt {
		return
	}
	r.pruneAt = now + pruneInterval + pruneIntervalPerEntry*float64(len(r.entries))
	for key, e := range r.entries {
		if e.expired(now) {
			delete(r.entries, key)
		}
	}
}

// Len returns the number of keys that are known.
func (r *Registry) Len() int { return len(r.entries) }
