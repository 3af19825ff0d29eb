package recovery

import "grebeglade/placement"

// GroupPolicy describes how the binds of a group must be handled.
type GroupPolicy struct {
	Idempotency placement.Idempotency
	KeyWindow   placement.Millis // time for which a key of an IdempotentByKey group is effective, in ms
}

// Settings configure a Registry.
type Settings struct {
	Groups     map[string]GroupPolicy // policies by group name
	Retention  placement.Millis       // time for which a key of an AtMostOnce group is kept after its last bind, in ms
	MaxEntries int                    // limit on the number of recorded keys; 0 for no limit
}

// Bind is the latest offer that was sent for a key. Incarnation, Workload and Number identify the offer: they have the
// same values in the offer itself.
type Bind struct {
	Key         uint64
	Group       string
	Node        uint32
	Incarnation uint64 // incarnation of the allocator that sent the offer
	Workload    uint64
	Number      uint32
	ExpiresAt   float64 // time from which on the bind may be removed, in Unix milliseconds
}

// Admission is the decision on a request.
type Admission uint8

const (
	// Admit allows the workload to be scheduled.
	Admit Admission = iota
	// MayHaveRun forbids scheduling: the workload may have run and must not run again.
	MayHaveRun
	// RegistryFull forbids scheduling: the bind would have to be recorded, but MaxEntries keys are recorded already.
	RegistryFull
)

const (
	// pruneInterval is the least time between two scans for expired binds, in ms.
	pruneInterval = 1000
	// pruneIntervalPerEntry is added to pruneInterval for each entry, in ms, to bound the cost of scans per bind.
	pruneIntervalPerEntry = 0.1
)

// Registry holds the durable binds, by key. It is not safe for concurrent use.
type Registry struct {
	settings Settings
	entries  map[uint64]entry // entries by key
	pruneAt  float64          // earliest time of the next scan for expired binds, in Unix milliseconds
}

// entry is the record of a key.
type entry struct {
	bind  Bind // latest bind of the key
	state keyState
}

// keyState is the state of a key in the registry. The package comment lists the transitions.
type keyState uint8

const (
	bound keyState = iota
	rebound
	inherited
)

// expired reports whether the entry may be removed.
func (e entry) expired(now float64) bool { return e.bind.ExpiresAt <= now }

// New returns a registry with the unexpired binds of earlier incarnations.
func New(settings Settings, recovered []Bind, now float64) *Registry {
	registry := &Registry{settings: settings, entries: make(map[uint64]entry, len(recovered))}
	for _, bind := range recovered {
		recorded := entry{bind: bind, state: inherited}
		if !recorded.expired(now) {
			registry.entries[bind.Key] = recorded
		}
	}
	return registry
}

// policy returns the policy of a group. A group that is not in the settings, such as a removed one, counts as
// at-most-once, since the effect of a second run is unknown.
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

// CheckAdmission decides whether a request for a key may be scheduled. The registry does not track running workloads:
// the caller must check whether the key's workload is still running.
func (r *Registry) CheckAdmission(now float64, key uint64, group string) Admission {
	e, recorded := r.entries[key]
	if recorded && e.expired(now) {
		delete(r.entries, key)
		recorded = false
	}
	if recorded {
		return r.admitRecorded(e)
	}
	if r.RequiresDurability(group) && r.full() {
		r.prune(now)
		if r.full() {
			return RegistryFull
		}
	}
	return Admit
}

// admitRecorded is CheckAdmission for a key that is in the registry.
func (r *Registry) admitRecorded(e entry) Admission {
	if e.state == inherited || r.policy(e.bind.Group).Idempotency == placement.AtMostOnce {
		return MayHaveRun
	}
	return Admit
}

// IsInherited reports whether the recorded bind of a key is of an earlier incarnation and has not expired.
func (r *Registry) IsInherited(now float64, key uint64) bool {
	e, recorded := r.entries[key]
	return recorded && e.state == inherited && !e.expired(now)
}

// RecordBind records a bind that is about to be sent, and returns it with ExpiresAt set.
func (r *Registry) RecordBind(now float64, bind Bind) Bind {
	bind.ExpiresAt = now + float64(r.retention(bind.Group))
	r.prune(now)
	state := bound
	if _, recorded := r.entries[bind.Key]; recorded {
		state = rebound
	}
	r.entries[bind.Key] = entry{bind: bind, state: state}
	return bind
}

// retention returns how long a key of a group must be kept after its last bind, in ms.
func (r *Registry) retention(group string) placement.Millis {
	if policy := r.policy(group); policy.Idempotency == placement.IdempotentByKey {
		return policy.KeyWindow
	}
	return r.settings.Retention
}

// Forget removes a bind that was never accepted, or never sent. It reports whether the key was removed. The key is kept
// if it was bound again in the meantime, or if an earlier bind of it may have been accepted.
func (r *Registry) Forget(key, incarnation uint64, number uint32) bool {
	e, recorded := r.entries[key]
	if !recorded || e.state != bound || e.bind.Incarnation != incarnation || e.bind.Number != number {
		return false
	}
	delete(r.entries, key)
	return true
}

// full reports whether the limit on recorded keys is reached.
func (r *Registry) full() bool {
	return r.settings.MaxEntries > 0 && len(r.entries) >= r.settings.MaxEntries
}

// prune removes expired binds, unless the previous scan was less than the prune interval ago.
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

// Len returns the number of recorded keys. It includes expired ones that have not been removed yet.
func (r *Registry) Len() int { return len(r.entries) }
