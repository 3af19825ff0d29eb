package storage

import (
	"errors"
	"testing"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// crashLogSize in bytes is small enough that a log is replaced by a snapshot several times in a history.
const crashLogSize = 300

// historyObserver is notified of the commits of a history.
type historyObserver struct {
	committing func(entries []*statepb.Entry) // called before each commit
	durable    func()                         // called once all entries so far are durable
}

// runHistory commits a history that covers durable and other commits, groups of entries, logs that are replaced by
// snapshots, and a second incarnation.
func runHistory(disk Disk, observer historyObserver) error {
	for i := range uint64(2) {
		if err := runIncarnation(disk, i, observer); err != nil {
			return err
		}
	}
	return nil
}

// runIncarnation commits the history of one incarnation; index counts from 0.
func runIncarnation(disk Disk, index uint64, observer historyObserver) error {
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

// historyEntries returns the entries of one commit of an incarnation. Each commit binds its key; some also forget
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

// possibleStates holds the states that a crash may leave at the current point of a history: the state after the last
// durable entry, and the state after each entry since.
type possibleStates struct {
	live   liveBinds
	states []string
}

func newPossibleStates() *possibleStates {
	return &possibleStates{live: liveBinds{}, states: []string{""}}
}

// observer returns an observer that updates the states.
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

// Crashes in the middle of each operation of a history. Guards against the loss of durable entries, against entries
// that were not committed, and against a directory that cannot be opened after the crash.
func TestLog_CrashAtEveryOperation_LosesNothingDurable(t *testing.T) {
	withoutCrash := NewMemoryDisk(1)
	require.NoError(t, runHistory(withoutCrash, newPossibleStates().observer()))
	crashes := 0
	for operation := 1; operation <= withoutCrash.Calls(); operation++ {
		for seed := range uint64(8) {
			disk := NewMemoryDisk(seed)
			disk.InjectFault = failAt(operation, ErrCrashed)
			possible := newPossibleStates()
			if runHistory(disk, possible.observer()) == nil {
				continue // the crash hit the removal of obsolete files, whose errors are ignored
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

// Fails one operation of a history at a time, as on a disk that is full for a moment, while the process continues.
// Guards against the loss of entries whose commit succeeded, live entries whose commit failed, and failures of later
// commits.
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

// commitShortHistory commits binds, every third together with a Forget of the one before, and returns the live binds
// that result from the successful commits.
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
