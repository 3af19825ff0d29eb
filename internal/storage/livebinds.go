package storage

import (
	"cmp"
	"slices"

	"grebeglade/internal/storage/statepb"
)

// liveBinds holds the last bind of each key that must still be known.
type liveBinds map[uint64]*statepb.Bind

// apply changes what is live according to an entry.
func (l liveBinds) apply(e *statepb.Entry) {
	switch body := e.Body.(type) {
	case *statepb.Entry_Bind:
		l[body.Bind.Key] = body.Bind
	case *statepb.Entry_Forget:
		f := body.Forget
		if b, ok := l[f.Key]; ok && b.Number == f.Number && b.Incarnation == f.Incarnation {
			delete(l, f.Key)
		}
	}
}

// dropExpired forgets the binds that have expired.
func (l liveBinds) dropExpired(nowUnixMs float64) {
	for key, b := range l {
		if b.ExpiresUnixMs <= nowUnixMs {
			delete(l, key)
		}
	}
}

// sorted returns the binds in the order of their keys.
func (l liveBinds) sorted() []*statepb.Bind {
	var binds []*statepb.Bind
	for _, b := range l {
		binds = append(binds, b)
	}
	slices.SortFunc(binds, func(x, y *statepb.Bind) int { return cmp.Compare(x.Key, y.Key) })
	return binds
}

// undo remembers what is live of the keys of some entries, so that applying these can be taken back. A key that is not
// live has a nil bind.
func (l liveBinds) undo(entries []*statepb.Entry) (restore func()) {
	before := make(map[uint64]*statepb.Bind, len(entries))
	for _, e := range entries {
		if key, ok := keyOf(e); ok {
			before[key] = l[key]
		}
	}
	return func() {
		for key, b := range before {
			if b == nil {
				delete(l, key)
			} else {
				l[key] = b
			}
		}
	}
}

// keyOf returns the key that an entry is about, if it is about one.
func keyOf(e *statepb.Entry) (key uint64, ok bool) {
	switch body := e.Body.(type) {
	case *statepb.Entry_Bind:
		return body.Bind.Key, true
	case *statepb.Entry_Forget:
		return body.Forget.Key, true
	default:
		return 0, false
	}
}
