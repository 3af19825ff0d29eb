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

// Rule is what a group's workloads need.
type Rule struct {
	Effect placement.Effect
	Window placement.Millis // that a deduplicated one's mark counts
}

// Settings are what a book goes by.
type Settings struct {
	Groups map[string]Rule
	Keep   placement.Millis // that a run-once key is known after its last bind
	Most   int              // keys that may be known, 0 for any number
}

// Bind is the last offer of a key.
type Bind struct {
	Key         uint64
	Group       string
	Node        uint32
	Incarnation uint64
	Workload    uint64
	Number      uint32
	Until       float64 // when it need not be known any more
}

// Ruling is what an ask may lead to.
type Ruling uint8

const (
	Place      Ruling = iota // as any other
	MayHaveRun               // it is answered so, at once
	Full                     // it must be known until it is settled, and no more may be
)

// Book is what is known of keys. It belongs to one goroutine.
type Book struct {
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
func New(s Settings, left []Bind, now float64) *Book {
	b := &Book{s: s, keys: make(map[uint64]known, len(left))}
	for _, l := range left {
		if l.Until > now {
			b.keys[l.Key] = known{bind: l, before: true}
		}
	}
	return b
}

func (b *Book) rule(group string) Rule {
	if r, ok := b.s.Groups[group]; ok {
		return r
	}
	return Rule{Effect: placement.RunOnce}
}

// Needs tells whether an offer of that group must be written down, and last, before it leaves.
func (b *Book) Needs(group string) bool { return b.rule(group).Effect != placement.Restartable }

// Asked rules on an ask. Whether the key stands somewhere its caller knows better.
func (b *Book) Asked(now float64, key uint64, group string) Ruling {
	k, ok := b.keys[key]
	if ok && k.bind.Until <= now {
		delete(b.keys, key)
		ok = false
	}
	if ok && (k.before || b.rule(k.bind.Group).Effect == placement.RunOnce) {
		return MayHaveRun
	}
	if !ok && b.Needs(group) && b.s.Most > 0 && len(b.keys) >= b.s.Most && !b.prune(now) {
		return Full
	}
	return Place
}

// Before tells whether an earlier life left word of a key.
func (b *Book) Before(now float64, key uint64) bool {
	k, ok := b.keys[key]
	return ok && k.before && k.bind.Until > now
}

// Offer takes a bind that is about to leave, and returns it with the time until which it must be known.
func (b *Book) Offer(now float64, bind Bind) Bind {
	keep := b.s.Keep
	if r := b.rule(bind.Group); r.Effect == placement.Deduplicated {
		keep = r.Window
	}
	bind.Until = now + float64(keep)
	b.prune(now)
	_, earlier := b.keys[bind.Key]
	b.keys[bind.Key] = known{bind: bind, unclear: earlier}
	return bind
}

// Never takes word that a bind was not taken up, or never left. It tells whether that settles the key: of a key that has
// been bound again since, or of which another bind may have run, it does not.
func (b *Book) Never(key, incarnation uint64, number uint32) bool {
	k, ok := b.keys[key]
	if !ok || k.unclear || k.before || k.bind.Incarnation != incarnation || k.bind.Number != number {
		return false
	}
	delete(b.keys, key)
	return true
}

// prune forgets what is over, the less often the more there is to look at, and tells whether there is room.
func (b *Book) prune(now float64) bool {
	const often, each = 1000, 0.1 // ms between two rounds, and more for each key
	if now >= b.pruneAt {
		b.pruneAt = now + often + each*float64(len(b.keys))
		for key, k := range b.keys {
			if k.bind.Until <= now {
				delete(b.keys, key)
			}
		}
	}
	return b.s.Most == 0 || len(b.keys) < b.s.Most
}

// Len is the number of keys that are known.
func (b *Book) Len() int { return len(b.keys) }
