package storage

import (
	"errors"
	"testing"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// crashLogSize is small enough for a log to be replaced by a snapshot several times in a history.
const crashLogSize = 300

// historyObserver is told what a history commits: entries just before they are committed, and that all so far are
// durable.
type historyObserver struct {
	committing func(entries []*statepb.Entry)
	durable    func()
}

// playHistory commits a history that has everything in it: durable commits and others, groups of entries, logs that are
// replaced by snapshots, and a second incarnation.
func playHistory(d Disk, observer historyObserver) error {
	for i := range uint64(2) {
		l, _, err := Open(d, &statepb.Incarnation{Number: testIncarnation + i, StartedUnixMs: nowUnixMs}, crashLogSize, unixMs)
		if err != nil {
			return err
		}
		for k := range uint64(12) {
			durable := k%5 != 4
			entries := historyEntries(i*100+k, k)
			observer.committing(entries)
			if err := l.Commit(entries, durable); err != nil {
				return err
			}
			if durable {
				observer.durable()
			}
		}
		if err := l.Close(); err != nil {
			return err
		}
		observer.durable()
	}
	return nil
}

// historyEntries returns what commit number k of an incarnation consists of.
func historyEntries(key, k uint64) []*statepb.Entry {
	entries := []*statepb.Entry{bindEntry(key, 0)}
	if k%3 == 1 {
		entries = append(entries, forgetEntry(key-1, 0), bindEntry(key+50, 0))
	}
	if k%4 == 3 {
		entries = append(entries, forgetEntry(key-2, 0))
	}
	return entries
}

// possibleStates follows a history and knows what a crash may leave of it: the state after the last entry that is durable,
// or after any entry since.
type possibleStates struct {
	live   liveBinds
	states []string
}

func newPossibleStates() *possibleStates {
	return &possibleStates{live: liveBinds{}, states: []string{""}}
}

func (p *possibleStates) observer() historyObserver {
	return historyObserver{
		committing: func(entries []*statepb.Entry) {
			for _, e := range entries {
				p.live.apply(e)
				p.states = append(p.states, describeLive(p.live))
			}
		},
		durable: func() { p.states = p.states[len(p.states)-1:] },
	}
}

// failAt returns a fault of one operation.
func failAt(number int, err error) func(Call) error {
	return func(c Call) error {
		if c.Number == number {
			return err
		}
		return nil
	}
}

// After a crash in the middle of any operation all that was durable is found, and nothing that was not committed. Then
// the directory can be used again.
func TestLog_CrashAtEveryOperation_LosesNothingDurable(t *testing.T) {
	whole := NewMemoryDisk(1)
	require.NoError(t, playHistory(whole, newPossibleStates().observer()))
	crashes := 0
	for op := 1; op <= whole.Calls(); op++ {
		for seed := range uint64(8) {
			d := NewMemoryDisk(seed)
			d.InjectFault = failAt(op, ErrCrashed)
			possible := newPossibleStates()
			if playHistory(d, possible.observer()) == nil {
				continue // the crash came while obsolete files were removed, where errors are ignored
			}
			crashes++
			c := inspectAfterCrash(t, d, "operation %d, seed %d", op, seed)
			require.Contains(t, possible.states, describe(c.LiveBinds), "operation %d, seed %d", op, seed)
			l, again := openLog(t, d, crashLogSize)
			require.Equal(t, describe(c.LiveBinds), describe(again.LiveBinds))
			require.NoError(t, l.Commit([]*statepb.Entry{bindEntry(999, 0)}, true))
			require.NoError(t, l.Close())
		}
	}
	assert.Greater(t, crashes, 500)
}

// Any one operation fails, as on a disk that is full for a moment, and the process goes on: entries whose commit succeeded
// are durable, others are not live, and the next commit works.
func TestLog_EveryOperationFailsOnce_LosesNothingCommitted(t *testing.T) {
	for op := 1; op < 60; op++ {
		d := NewMemoryDisk(uint64(op))
		l, _ := openLog(t, d, crashLogSize)
		first := d.Calls()
		var failed Operation
		d.InjectFault = func(c Call) error {
			if c.Number == first+op {
				failed = c.Operation
				return errors.New("no space left on device")
			}
			return nil
		}
		committed := liveBinds{}
		for i := range uint64(20) {
			entries := []*statepb.Entry{bindEntry(i, 0)}
			if i%3 == 2 {
				entries = append(entries, forgetEntry(i-1, 0))
			}
			if l.Commit(entries, true) == nil {
				for _, e := range entries {
					committed.apply(e)
				}
			}
		}
		c := inspectAfterCrash(t, d, "%s, operation %d", failed, op)
		require.Equal(t, describeLive(committed), describe(c.LiveBinds), "%s, operation %d", failed, op)
	}
}
