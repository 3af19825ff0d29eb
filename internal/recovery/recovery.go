// Package recovery decides what an allocator must have written down before an offer leaves, and what an ask may lead to for
// a workload that an offer has gone out for before: in this life or, as the log of an earlier one has it, before a crash.
//
// It is a table over keys. A key is unknown, out (its last bind is known, and what came of it is not, or it ran), or was
// never taken up. All I/O is its caller's; times are Unix milliseconds, so that they mean something to the next life.
//
//	key      event                               then      asked again
//	unknown  an offer is about to leave           out       -
//	out      the node says no, or it never left   unknown   it is placed
//	out      yes, no answer, a cut, an end        out       run-once: it may have run; deduplicated: it is placed, as the
//	                                                        module knows in this life where it may go
//	out      this life ends                       before    run-once: it may have run; deduplicated: it may have run, while
//	                                                        its mark counts; restartable: never written
//	before   a node names it                      before    it is held, as any that stands
//	before   its time is over                     unknown   it is placed
package recovery

import "grebeglade/placement"

// GroupPolicy is what a group's workloads need.
type GroupPolicy struct {
	Idempotency placement.Idempotency
	KeyWindow   placement.Millis // that a deduplicated one's mark counts
}

// Settings are what a book goes by.
type Settings struct {
	Groups     map[string]GroupPolicy
	Retention  placement.Millis // that a run-once key is known after its last bind
	MaxEntries int              // keys that may be known, 0 for any number
}

// Bind is the last offer of a key.
type Bind struct {
	Key         uint64
	Group       string
	Node        uint32
	Incarnation uint64
	Workload    uint64
	Number      uint32
	ExpiresAt   float64 // when it need not be known any more
}

// Admission is what an ask may lead to.
type Admission uint8

const (
	Admit        Admission = iota // as any other
	MayHaveRun                    // it is answered so, at once
	RegistryFull                  // it must be known until it is settled, and no more may be
)

// Registry is what is known of keys. It belongs to one goroutine.
type Registry struct {
	s       Settings
	keys    map[uint64]known
	pruneAt float64
}

type known struct {
	bind    Bind
	before  bool // by an earlier life
	unclear bool // a bind before this one may have run
}

// New opens a book with what an earlier life left. A group that is no more counts as run-once: nobody can say any more what a
// second effect would do.
func New(s Settings, left []Bind, now float64) *Registry {
	b := &Registry{s: s, keys: make(map[uint64]known, len(left))}
	for _, l := range left {
		if l.ExpiresAt > now {
			b.keys[l.Key] = known{bind: l, before: true}
		}
	}
	return b
}

func (b *Registry) rule(group string) GroupPolicy {
	if r, ok := b.s.Groups[group]; ok {
		return r
	}
	return GroupPolicy{Idempotency: placement.AtMostOnce}
}

// RequiresDurability tells whether an offer of that group must be written down, and last, before it leaves.
func (b *Registry) RequiresDurability(group string) bool {
	return b.rule(group).Idempotency != placement.Idempotent
}

// CheckAdmission rules on an ask. Whether the key stands somewhere its caller knows better.
func (b *Registry) CheckAdmission(now float64, key uint64, group string) Admission {
	k, ok := b.keys[key]
	if ok && k.bind.ExpiresAt <= now {
		delete(b.keys, key)
		ok = false
	}
	if ok && (k.before || b.rule(k.bind.Group).Idempotency == placement.AtMostOnce) {
		return MayHaveRun
	}
	if !ok && b.RequiresDurability(group) && b.s.MaxEntries > 0 && len(b.keys) >= b.s.MaxEntries && !b.prune(now) {
		return RegistryFull
	}
	return Admit
}

// KnownBeforeRestart tells whether an earlier life left word of a key.
func (b *Registry) KnownBeforeRestart(now float64, key uint64) bool {
	k, ok := b.keys[key]
	return ok && k.before && k.bind.ExpiresAt > now
}

// RecordBind takes a bind that is about to leave, and returns it with the time until which it must be known.
func (b *Registry) RecordBind(now float64, bind Bind) Bind {
	keep := b.s.Retention
	if r := b.rule(bind.Group); r.Idempotency == placement.IdempotentByKey {
		keep = r.KeyWindow
	}
	bind.ExpiresAt = now + float64(keep)
	b.prune(now)
	_, earlier := b.keys[bind.Key]
	b.keys[bind.Key] = known{bind: bind, unclear: earlier}
	return bind
}

// Forget takes word that a bind was not taken up, or never left. It tells whether that settles the key: of a key that has
// been bound again since, or of which another bind may have run, it does not.
func (b *Registry) Forget(key, incarnation uint64, number uint32) bool {
	k, ok := b.keys[key]
	if !ok || k.unclear || k.before || k.bind.Incarnation != incarnation || k.bind.Number != number {
		return false
	}
	delete(b.keys, key)
	return true
}

// prune forgets what is over, the less often the more there is to look at, and tells whether there is room.
func (b *Registry) prune(now float64) bool {
	const often, each = 1000, 0.1 // ms between two rounds, and more for each key
	if now >= b.pruneAt {
		b.pruneAt = now + often + each*float64(len(b.keys))
		for key, k := range b.keys {
			if k.bind.ExpiresAt <= now {
				delete(b.keys, key)
			}
		}
	}
	return b.s.MaxEntries == 0 || len(b.keys) < b.s.MaxEntries
}

// Len is the number of keys that are known.
func (b *Registry) Len() int { return len(b.keys) }
