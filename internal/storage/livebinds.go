package storage

import (
	"cmp"
	"slices"

	"grebeglade/internal/storage/statepb"
)

// liveBinds holds the last bind of each live key, by key.
type liveBinds map[uint64]*statepb.Bind

// apply updates the live binds with an entry. Incarnation entries, and kinds of entries that a later version has added,
// are ignored.
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

// dropExpired removes the expired binds.
func (l liveBinds) dropExpired(nowUnixMs float64) {
	for key, bind := range l {
		if bind.ExpiresUnixMs <= nowUnixMs {
			delete(l, key)
		}
	}
}

// sorted returns the binds sorted by key.
func (l liveBinds) sorted() []*statepb.Bind {
	var binds []*statepb.Bind
	for _, bind := range l {
		binds = append(binds, bind)
	}
	slices.SortFunc(binds, func(x, y *statepb.Bind) int { return cmp.Compare(x.Key, y.Key) })
	return binds
}

// savedBinds is a copy of the live binds of some keys. A key that was not live has a nil bind.
type savedBinds map[uint64]*statepb.Bind

// save returns the live binds of the keys in entries, so that restore can undo the application of these entries.
func (l liveBinds) save(entries []*statepb.Entry) savedBinds {
	saved := make(savedBinds, len(entries))
	for _, entry := range entries {
		if key, ok := entryKey(entry); ok {
			saved[key] = l[key]
		}
	}
	return saved
}

// restore undoes all changes of the saved keys since save.
func (l liveBinds) restore(saved savedBinds) {
	for key, bind := range saved {
		if bind == nil {
			delete(l, key)
		} else {
			l[key] = bind
		}
	}
}

// entryKey returns the key of a Bind or Forget entry, and false for any other entry.
func entryKey(entry *statepb.Entry) (key uint64, ok bool) {
	switch body := entry.Body.(type) {
	case *statepb.Entry_Bind:
		return body.Bind.Key, true
	case *statepb.Entry_Forget:
		return body.Forget.Key, true
	default:
		return 0, false
	}
}
