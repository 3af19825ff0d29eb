package storage

import (
	"errors"
	"testing"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	errInputOutput = errors.New("input/output error")
	errReadOnly    = errors.New("read-only file system")
)

// requireOpenFails requires that opening a directory for a later incarnation fails, and returns the error.
func requireOpenFails(t *testing.T, disk Disk) error {
	t.Helper()
	_, _, err := Open(disk, &statepb.Incarnation{Number: 9}, unlimited, unixMs)
	require.Error(t, err)
	return err
}

func TestLog_Reopened_HoldsLiveBindsOnly(t *testing.T) {
	disk := NewMemoryDisk(1)
	log, contents := openLog(t, disk, unlimited)
	assert.Nil(t, contents.Incarnation)
	commitDurably(t, log, bindEntry(1, 0), bindEntry(2, 0), bindEntry(3, 0), bindEntry(4, 0))
	commitDurably(t, log, bindEntry(2, 1), forgetEntry(2, 0), forgetEntry(1, 0), forgetEntry(4, 0))
	require.NoError(t, log.Close())
	log, contents = openLog(t, disk, unlimited)
	assert.Equal(t, "2 1 1.0000864e+12\n3 0 1.0000864e+12\n", describe(contents.LiveBinds))
	assert.EqualValues(t, testIncarnation, contents.Incarnation.Number)
	const higherNumber = "a later incarnation has a higher number even if the clock was set back"
	assert.EqualValues(t, testIncarnation+1, log.incarnation.Number, higherNumber)
}

func TestOpen_DirectoryInUse_LeavesItUnchanged(t *testing.T) {
	path := t.TempDir()
	disk, err := OpenDir(path)
	require.NoError(t, err)
	log, _ := openLog(t, disk, unlimited)
	other, err := OpenDir(path)
	require.NoError(t, err)
	err = requireOpenFails(t, other)
	require.ErrorIs(t, err, ErrInUse)
	require.ErrorContains(t, err, path)
	commitDurably(t, log, bindEntry(1, 0))
	require.NoError(t, log.Close())
	_, contents := openLog(t, other, unlimited)
	assert.Len(t, contents.LiveBinds, 1)
}

func TestOpen_LaterVersion_RejectsAndLeavesFile(t *testing.T) {
	disk := NewMemoryDisk(1)
	log, _ := openLog(t, disk, unlimited)
	require.NoError(t, log.Close())
	name := snapshotName(log.number)
	disk.visible[name].data[versionOffset] = 2
	err := requireOpenFails(t, disk)
	var later *VersionError
	require.ErrorAs(t, err, &later)
	require.ErrorContains(t, err, name+" is of version 2 and this program reads up to 1")
	assert.False(t, disk.locked)
	again, err := disk.Read(name)
	require.NoError(t, err)
	assert.EqualValues(t, 2, again[versionOffset])
}

func TestOpen_DiskFails_ReturnsDiskErrorAndUnlocks(t *testing.T) {
	failing := map[Step]Operation{
		StepList:  OpList,
		StepRead:  OpRead,
		StepBegin: OpWrite,
	}
	for step, operation := range failing {
		t.Run(operation.String(), func(t *testing.T) {
			disk := NewMemoryDisk(1)
			log, _ := openLog(t, disk, unlimited)
			require.NoError(t, log.Close())
			disk.InjectFault = failEvery(errInputOutput, operation)
			requireDiskError(t, requireOpenFails(t, disk), step)
			assert.False(t, disk.locked)
		})
	}
}

// Guards against further use of a log file after a failed sync: a later successful sync does not guarantee that the
// data of the failed one was written.
func TestLog_Commit_SyncFails_NeverUsesFileAgain(t *testing.T) {
	disk := NewMemoryDisk(1)
	log, _ := openLog(t, disk, unlimited)
	before := logName(log.number)
	failed := false
	disk.InjectFault = func(call Call) error {
		if call.File != before {
			return nil
		}
		if call.Operation == OpSync && !failed {
			failed = true
			return errInputOutput
		}
		if failed {
			assert.NotContains(t, []Operation{OpWrite, OpSync}, call.Operation, "the file is used after a failed sync")
		}
		return nil
	}
	require.NoError(t, log.Commit([]*statepb.Entry{bindEntry(1, 0)}, true), "the entries must be written to a new file")
	commitDurably(t, log, bindEntry(2, 0))
	assert.True(t, failed)
	assert.Len(t, inspectAfterCrash(t, disk).LiveBinds, 2)
}

func TestLog_Commit_DiskReadOnly_FailsUntilWritable(t *testing.T) {
	disk := NewMemoryDisk(1)
	log, _ := openLog(t, disk, unlimited)
	disk.InjectFault = failEvery(errReadOnly, OpWrite, OpCreate)
	for range 3 {
		err := log.Commit([]*statepb.Entry{bindEntry(1, 0)}, true)
		require.ErrorContains(t, err, "read-only file system")
		require.ErrorIs(t, err, errReadOnly)
		var failed *DiskError
		require.ErrorAs(t, err, &failed)
		assert.Equal(t, StepAppend, failed.Step)
	}
	assert.Zero(t, log.LiveCount(), "an entry whose commit failed is not live")
	disk.InjectFault = nil
	commitDurably(t, log, bindEntry(2, 0))
	contents, err := Inspect(disk)
	require.NoError(t, err)
	assert.Equal(t, describe(contents.LiveBinds), describe([]*statepb.Bind{bindEntry(2, 0).GetBind()}))
}

func TestLog_Close_SyncFails_ReturnsDiskErrorAndUnlocks(t *testing.T) {
	disk := NewMemoryDisk(1)
	log, _ := openLog(t, disk, unlimited)
	disk.InjectFault = failEvery(errInputOutput, OpSync)
	err := log.Close()
	requireDiskError(t, err, StepClose)
	assert.False(t, disk.locked)
}

func TestLog_LongHistory_DirectoryStaysSmall(t *testing.T) {
	disk := NewMemoryDisk(1)
	log, _ := openLog(t, disk, 2000)
	for i := range uint64(5000) {
		commitDurably(t, log, bindEntry(i, 0), forgetEntry(i, 0))
	}
	total := 0
	names, err := disk.List()
	require.NoError(t, err)
	for _, name := range names {
		data, err := disk.Read(name)
		require.NoError(t, err)
		total += len(data)
	}
	assert.Less(t, total, 5000)
	assert.LessOrEqual(t, len(names), 2)
}
