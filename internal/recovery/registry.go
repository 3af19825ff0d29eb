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
	MaxEntries int              // keys that may be known; 0 for no limit
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

func (e entry) expired(now float64) bool { return e.bind.ExpiresAt <= now }

// New returns a registry with the binds that earlier incarnations have left.
func New(s Settings, left []Bind, now float64) *Registry {
	r := &Registry{settings: s, entries: make(map[uint64]entry, len(left))}
	for _, b := range left {
		e := entry{bind: b, state: inherited}
		if !e.expired(now) {
			r.entries[b.Key] = e
		}
	}
	return r
}

// policy returns the policy of a group. A group that does not exist any more counts as at most once, since nobody can say
// what a second run would do.
func (r *Registry) policy(group string) GroupPolicy {
	if p, ok := r.settings.Groups[group]; ok {
		return p
	}
	return GroupPolicy{Idempotency: placement.AtMostOnce}
}

// RequiresDurability reports whether a bind of a group must be durable before it is sent.
func (r *Registry) RequiresDurability(group string) bool {
	return r.policy(group).Idempotency != placement.Idempotent
}

// CheckAdmission returns what a request for a key may lead to. Whether the workload is running is for the caller to know.
func (r *Registry) CheckAdmission(now float64, key uint64, group string) Admission {
	e, known := r.entries[key]
	if known && e.expired(now) {
		delete(r.entries, key)
		known = false
	}
	if known {
		if e.state == inherited || r.policy(e.bind.Group).Idempotency == placement.AtMostOnce {
			return MayHaveRun
		}
		return Admit
	}
	if r.RequiresDurability(group) && r.full() {
		r.prune(now)
		if r.full() {
			return RegistryFull
		}
	}
	return Admit
}

// KnownBeforeRestart reports whether an earlier incarnation has left a bind of a key.
func (r *Registry) KnownBeforeRestart(now float64, key uint64) bool {
	e, known := r.entries[key]
	return known && e.state == inherited && !e.expired(now)
}

// RecordBind records a bind that is about to be sent, and returns it with the time at which it expires.
func (r *Registry) RecordBind(now float64, b Bind) Bind {
	retention := r.settings.Retention
	if p := r.policy(b.Group); p.Idempotency == placement.IdempotentByKey {
		retention = p.KeyWindow
	}
	b.ExpiresAt = now + float64(retention)
	r.prune(now)
	state := bound
	if _, known := r.entries[b.Key]; known {
		state = rebound
	}
	r.entries[b.Key] = entry{bind: b, state: state}
	return b
}

// Forget records that a bind was never accepted, or never sent. It reports whether nothing has to be known of the key any
// more, which is not so if the key has been bound again since, or if an earlier bind of it may have been accepted.
func (r *Registry) Forget(key, incarnation uint64, number uint32) bool {
	e, known := r.entries[key]
	if !known || e.state != bound || e.bind.Incarnation != incarnation || e.bind.Number != number {
		return false
	}
	delete(r.entries, key)
	return true
}

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
