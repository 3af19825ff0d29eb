package storage

import (
	"errors"
	"testing"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLog_Reopened_HoldsLiveBindsOnly(t *testing.T) {
	d := NewMemoryDisk(1)
	l, c := openLog(t, d, unlimited)
	assert.Nil(t, c.Incarnation)
	require.NoError(t, l.Commit([]*statepb.Entry{bindEntry(1, 0), bindEntry(2, 0), bindEntry(3, 0), bindEntry(4, 0)}, true))
	require.NoError(t, l.Commit([]*statepb.Entry{
		bindEntry(2, 1), forgetEntry(2, 0), forgetEntry(1, 0), forgetEntry(4, 0),
	}, true))
	require.NoError(t, l.Close())
	l, c = openLog(t, d, unlimited)
	assert.Equal(t, "2 1 1.0000864e+12\n3 0 1.0000864e+12\n", describe(c.LiveBinds))
	assert.EqualValues(t, testIncarnation, c.Incarnation.Number)
	assert.EqualValues(t, testIncarnation+1, l.incarnation.Number, "a later incarnation has a higher number, whatever the clock says")
}

func TestOpen_DirectoryInUse_LeavesItAlone(t *testing.T) {
	path := t.TempDir()
	d, err := OpenDir(path)
	require.NoError(t, err)
	l, _ := openLog(t, d, unlimited)
	other, err := OpenDir(path)
	require.NoError(t, err)
	_, _, err = Open(other, &statepb.Incarnation{Number: 9}, unlimited, unixMs)
	require.ErrorIs(t, err, ErrInUse)
	require.ErrorContains(t, err, path)
	require.NoError(t, l.Commit([]*statepb.Entry{bindEntry(1, 0)}, true))
	require.NoError(t, l.Close())
	_, c := openLog(t, other, unlimited)
	assert.Len(t, c.LiveBinds, 1)
}

func TestOpen_LaterVersion_RejectsAndLeavesFile(t *testing.T) {
	d := NewMemoryDisk(1)
	l, _ := openLog(t, d, unlimited)
	require.NoError(t, l.Close())
	name := snapshotName(l.number)
	d.visible[name].data[versionOffset] = 2
	_, _, err := Open(d, &statepb.Incarnation{Number: 9}, unlimited, unixMs)
	var later *VersionError
	require.ErrorAs(t, err, &later)
	require.ErrorContains(t, err, name+" is of version 2 and this program reads up to 1")
	assert.False(t, d.locked)
	again, err := d.Read(name)
	require.NoError(t, err)
	assert.EqualValues(t, 2, again[versionOffset])
}

func TestOpen_DiskFails_ReturnsDiskErrorAndUnlocks(t *testing.T) {
	fault := errors.New("input/output error")
	for step, op := range map[Step]Operation{StepList: OpList, StepRead: OpRead, StepBegin: OpWrite} {
		t.Run(op.String(), func(t *testing.T) {
			d := NewMemoryDisk(1)
			l, _ := openLog(t, d, unlimited)
			require.NoError(t, l.Close())
			d.InjectFault = func(c Call) error {
				if c.Operation == op {
					return fault
				}
				return nil
			}
			_, _, err := Open(d, &statepb.Incarnation{Number: 9}, unlimited, unixMs)
			var failed *DiskError
			require.ErrorAs(t, err, &failed)
			assert.Equal(t, step, failed.Step)
			require.ErrorIs(t, err, fault)
			assert.False(t, d.locked)
		})
	}
}

// A later sync that succeeds says nothing about what the failed one has lost.
func TestLog_Commit_SyncFails_NeverUsesFileAgain(t *testing.T) {
	d := NewMemoryDisk(1)
	l, _ := openLog(t, d, unlimited)
	before := logName(l.number)
	failed := false
	d.InjectFault = func(c Call) error {
		if c.Operation == OpSync && c.File == before && !failed {
			failed = true
			return errors.New("input/output error")
		}
		if failed {
			assert.False(t, (c.Operation == OpWrite || c.Operation == OpSync) && c.File == before, "the file is used again")
		}
		return nil
	}
	require.NoError(t, l.Commit([]*statepb.Entry{bindEntry(1, 0)}, true), "all of it went to a new file")
	require.NoError(t, l.Commit([]*statepb.Entry{bindEntry(2, 0)}, true))
	assert.True(t, failed)
	assert.Len(t, inspectAfterCrash(t, d).LiveBinds, 2)
}

func TestLog_Commit_DiskReadOnly_FailsUntilWritable(t *testing.T) {
	d := NewMemoryDisk(1)
	l, _ := openLog(t, d, unlimited)
	readOnly := errors.New("read-only file system")
	d.InjectFault = func(c Call) error {
		if c.Operation == OpWrite || c.Operation == OpCreate {
			return readOnly
		}
		return nil
	}
	for range 3 {
		err := l.Commit([]*statepb.Entry{bindEntry(1, 0)}, true)
		require.ErrorContains(t, err, "read-only file system")
		require.ErrorIs(t, err, readOnly)
		var failed *DiskError
		require.ErrorAs(t, err, &failed)
		assert.Equal(t, StepAppend, failed.Step)
	}
	assert.Zero(t, l.LiveCount(), "an entry whose commit failed is not live")
	d.InjectFault = nil
	require.NoError(t, l.Commit([]*statepb.Entry{bindEntry(2, 0)}, true))
	c, err := Inspect(d)
	require.NoError(t, err)
	assert.Equal(t, describe(c.LiveBinds), describe([]*statepb.Bind{bindEntry(2, 0).GetBind()}))
}

func TestLog_LongHistory_DirectoryStaysSmall(t *testing.T) {
	d := NewMemoryDisk(1)
	l, _ := openLog(t, d, 2000)
	for i := range uint64(5000) {
		require.NoError(t, l.Commit([]*statepb.Entry{bindEntry(i, 0), forgetEntry(i, 0)}, true))
	}
	total := 0
	names, err := d.List()
	require.NoError(t, err)
	for _, name := range names {
		b, err := d.Read(name)
		require.NoError(t, err)
		total += len(b)
	}
	assert.Less(t, total, 5000)
	assert.LessOrEqual(t, len(names), 2)
}
