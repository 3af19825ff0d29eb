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

// historyObserver is notified of what a history commits.
type historyObserver struct {
	committing func(entries []*statepb.Entry) // just before they are committed
	durable    func()                         // once all entries so far are durable
}

// playHistory commits a history that has everything in it: durable commits and others, groups of entries, logs that are
// replaced by snapshots, and a second incarnation.
func playHistory(disk Disk, observer historyObserver) error {
	for i := range uint64(2) {
		if err := playIncarnation(disk, i, observer); err != nil {
			return err
		}
	}
	return nil
}

// playIncarnation commits the history of one incarnation, counted from 0.
func playIncarnation(disk Disk, index uint64, observer historyObserver) error {
	incarnation := &statepb.Incarnation{Number: testIncarnation + index, StartedUnixMs: nowUnixMs}
	log, _, err := Open(disk, incarnation, crashLogSize, unixMs)
	if err != nil {
		return err
	}
	for commit := range uint64(12) {
		durable := commit%5 != 4
		entries := historyEntries(index*100+commit, commit)
		observer.committing(entries)
		if err := log.Commit(entries, durable); err != nil {
			return err
		}
		if durable {
			observer.durable()
		}
	}
	if err := log.Close(); err != nil {
		return err
	}
	observer.durable()
	return nil
}

// historyEntries returns the entries of a commit of an incarnation. Every commit binds its key. Some also forget
// earlier keys and bind a further one.
func historyEntries(key, commit uint64) []*statepb.Entry {
	entries := []*statepb.Entry{bindEntry(key, 0)}
	if commit%3 == 1 {
		entries = append(entries, forgetEntry(key-1, 0), bindEntry(key+50, 0))
	}
	if commit%4 == 3 {
		entries = append(entries, forgetEntry(key-2, 0))
	}
	return entries
}

// possibleStates follows a history and knows what a crash may leave of it: the state after the last entry that is
// durable, or after any entry since.
type possibleStates struct {
	live   liveBinds
	states []string
}

func newPossibleStates() *possibleStates {
	return &possibleStates{live: liveBinds{}, states: []string{""}}
}

// observer returns the observer through which the states follow a history.
func (p *possibleStates) observer() historyObserver {
	return historyObserver{
		committing: func(entries []*statepb.Entry) {
			for _, entry := range entries {
				p.live.apply(entry)
				p.states = append(p.states, describeLive(p.live))
			}
		},
		durable: func() { p.states = p.states[len(p.states)-1:] },
	}
}

// After a crash in the middle of any operation all that was durable is found, and nothing that was not committed. Then
// the directory can be used again.
func TestLog_CrashAtEveryOperation_LosesNothingDurable(t *testing.T) {
	withoutCrash := NewMemoryDisk(1)
	require.NoError(t, playHistory(withoutCrash, newPossibleStates().observer()))
	crashes := 0
	for operation := 1; operation <= withoutCrash.Calls(); operation++ {
		for seed := range uint64(8) {
			disk := NewMemoryDisk(seed)
			disk.InjectFault = failAt(operation, ErrCrashed)
			possible := newPossibleStates()
			if playHistory(disk, possible.observer()) == nil {
				continue // the crash came while obsolete files were removed, where errors are ignored
			}
			crashes++
			found := inspectAfterCrash(t, disk, "operation %d, seed %d", operation, seed)
			require.Contains(t, possible.states, describe(found.LiveBinds), "operation %d, seed %d", operation, seed)
			log, again := openLog(t, disk, crashLogSize)
			require.Equal(t, describe(found.LiveBinds), describe(again.LiveBinds))
			commitDurably(t, log, bindEntry(999, 0))
			require.NoError(t, log.Close())
		}
	}
	assert.Greater(t, crashes, 500)
}

// Any one operation fails, as on a disk that is full for a moment, and the process goes on: entries whose commit
// succeeded are durable, others are not live, and the next commit works.
func TestLog_EveryOperationFailsOnce_LosesNothingCommitted(t *testing.T) {
	diskFull := errors.New("no space left on device")
	for operation := 1; operation < 60; operation++ {
		disk := NewMemoryDisk(uint64(operation))
		log, _ := openLog(t, disk, crashLogSize)
		fault := failAt(disk.Calls()+operation, diskFull)
		var failed Operation
		disk.InjectFault = func(call Call) error {
			err := fault(call)
			if err != nil {
				failed = call.Operation
			}
			return err
		}
		committed := commitShortHistory(log)
		found := inspectAfterCrash(t, disk, "%s, operation %d", failed, operation)
		require.Equal(t, describeLive(committed), describe(found.LiveBinds), "%s, operation %d", failed, operation)
	}
}

// commitShortHistory commits binds, every third together with a Forget of the one before, and returns what is live of
// the entries whose commit succeeded.
func commitShortHistory(log *Log) liveBinds {
	committed := liveBinds{}
	for key := range uint64(20) {
		entries := []*statepb.Entry{bindEntry(key, 0)}
		if key%3 == 2 {
			entries = append(entries, forgetEntry(key-1, 0))
		}
		if log.Commit(entries, true) != nil {
			continue
		}
		for _, entry := range entries {
			committed.apply(entry)
		}
	}
	return committed
}
