package storage

import (
	"cmp"
	"slices"

	"grebeglade/internal/storage/statepb"
)

// liveBinds holds the last bind of each key that must still be known.
type liveBinds map[uint64]*statepb.Bind

// apply changes what is live according to an entry. An entry of an incarnation, or of a kind that a later version has
// added, changes nothing.
func (l liveBinds) apply(entry *statepb.Entry) {
	switch body := entry.Body.(type) {
	case *statepb.Entry_Bind:
		l[body.Bind.Key] = body.Bind
	case *statepb.Entry_Forget:
		forget := body.Forget
		last, live := l[forget.Key]
		if live && last.Number == forget.Number && last.Incarnation == forget.Incarnation {
			delete(l, forget.Key)
		}
	}
}

// dropExpired forgets the binds that have expired.
func (l liveBinds) dropExpired(nowUnixMs float64) {
	for key, bind := range l {
		if bind.ExpiresUnixMs <= nowUnixMs {
			delete(l, key)
		}
	}
}

// sorted returns the binds in the order of their keys.
func (l liveBinds) sorted() []*statepb.Bind {
	var binds []*statepb.Bind
	for _, bind := range l {
		binds = append(binds, bind)
	}
	slices.SortFunc(binds, func(x, y *statepb.Bind) int { return cmp.Compare(x.Key, y.Key) })
	return binds
}

// savedBinds are the binds that were live for some keys. A key that was not live has a nil bind.
type savedBinds map[uint64]*statepb.Bind

// save returns what is live for the keys of some entries, so that applying these entries can be undone by restore.
func (l liveBinds) save(entries []*statepb.Entry) savedBinds {
	saved := make(savedBinds, len(entries))
	for _, entry := range entries {
		if key, ok := keyOf(entry); ok {
			saved[key] = l[key]
		}
	}
	return saved
}

// restore undoes what was applied since save.
func (l liveBinds) restore(saved savedBinds) {
	for key, bind := range saved {
		if bind == nil {
			delete(l, key)
		} else {
			l[key] = bind
		}
	}
}

// keyOf returns the key that an entry is about, if it is about one.
func keyOf(entry *statepb.Entry) (key uint64, ok bool) {
	switch body := entry.Body.(type) {
	case *statepb.Entry_Bind:
		return body.Bind.Key, true
	case *statepb.Entry_Forget:
		return body.Forget.Key, true
	default:
		return 0, false
	}
}
