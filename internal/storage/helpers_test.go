package storage

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/require"
)

const (
	// nowUnixMs is the current time in all tests.
	nowUnixMs = 1e12
	dayMs     = 86400e3
	// unlimited is a log size in bytes that no test reaches.
	unlimited = 1 << 30
	// testIncarnation is the number of the first incarnation in a directory.
	testIncarnation = 5
)

func unixMs() float64 { return nowUnixMs }

// bindEntry returns the entry of a bind that expires after dayMs.
func bindEntry(key uint64, number uint32) *statepb.Entry {
	return &statepb.Entry{Body: &statepb.Entry_Bind{Bind: &statepb.Bind{
		Key:           key,
		Group:         "once",
		Node:          uint32(key % 7),
		Incarnation:   testIncarnation,
		Workload:      key,
		Number:        number,
		ExpiresUnixMs: nowUnixMs + dayMs,
	}}}
}

// forgetEntry returns the entry that removes a bind of the first incarnation.
func forgetEntry(key uint64, number uint32) *statepb.Entry {
	return ForgetEntry(key, testIncarnation, number)
}

// openLog opens a directory, and returns the log and the contents before opening.
func openLog(t require.TestingT, disk Disk, maxSize int) (*Log, *Contents) {
	incarnation := &statepb.Incarnation{Number: testIncarnation, StartedUnixMs: nowUnixMs}
	log, contents, err := Open(disk, incarnation, maxSize, unixMs)
	require.NoError(t, err)
	return log, contents
}

// commitDurably commits entries durably in one commit, which must succeed.
func commitDurably(t require.TestingT, log *Log, entries ...*statepb.Entry) {
	require.NoError(t, log.Commit(entries, true))
}

// failAt returns a fault function that fails the operation with the given sequence number.
func failAt(number int, err error) func(Call) error {
	return func(call Call) error {
		if call.Number == number {
			return err
		}
		return nil
	}
}

// failEvery returns a fault function that fails all operations of the given kinds.
func failEvery(err error, operations ...Operation) func(Call) error {
	return func(call Call) error {
		if slices.Contains(operations, call.Operation) {
			return err
		}
		return nil
	}
}

// inspectAfterCrash crashes and recovers a disk, stops its fault injection, and returns its contents.
func inspectAfterCrash(t require.TestingT, disk *MemoryDisk, message ...any) *Contents {
	disk.Crash()
	disk.Recover()
	disk.InjectFault = nil
	contents, err := Inspect(disk)
	require.NoError(t, err, message...)
	return contents
}

// describe formats binds as text, one per line, for comparison.
func describe(binds []*statepb.Bind) string {
	var lines bytes.Buffer
	for _, bind := range binds {
		fmt.Fprintln(&lines, bind.Key, bind.Number, bind.ExpiresUnixMs)
	}
	return lines.String()
}

// describeLive is describe for the unexpired binds in live. It does not use liveBinds.sorted, which is under test.
func describeLive(live liveBinds) string {
	unexpired := maps.Clone(live)
	unexpired.dropExpired(nowUnixMs)
	var binds []*statepb.Bind
	for _, key := range slices.Sorted(maps.Keys(unexpired)) {
		binds = append(binds, unexpired[key])
	}
	return describe(binds)
}
