package storage

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRepairPlan_CorruptLog_KeepsWhatItDrops(t *testing.T) {
	path := t.TempDir()
	d, err := OpenDir(path)
	require.NoError(t, err)
	l, _ := openLog(t, d, unlimited)
	for i := range uint64(10) {
		require.NoError(t, l.Commit([]*statepb.Entry{bindEntry(i, 0)}, true))
	}
	require.NoError(t, l.Close())
	none, err := PlanRepair(d)
	require.NoError(t, err)
	assert.Nil(t, none)

	log := filepath.Join(path, logName(l.number))
	b, err := os.ReadFile(log)
	require.NoError(t, err)
	b[headerSize+200] ^= 1
	require.NoError(t, os.WriteFile(log, b, 0o600))
	_, _, err = Open(d, &statepb.Incarnation{Number: 9}, unlimited, unixMs)
	var corruption *CorruptionError
	require.ErrorAs(t, err, &corruption)
	require.ErrorContains(t, err, logName(l.number)+" is damaged at byte ")
	require.ErrorContains(t, err, "grebeglade state repair")
	plan, err := PlanRepair(d)
	require.NoError(t, err)
	assert.Greater(t, plan.LostEntries, 3)
	require.NoError(t, plan.Apply(d))
	c, err := Inspect(d)
	require.NoError(t, err)
	assert.Equal(t, 10, len(c.LiveBinds)+plan.LostEntries+1, "entries before the corrupt one, the corrupt one, entries behind it")
	aside, err := os.ReadFile(log + damagedExtension)
	require.NoError(t, err)
	assert.Equal(t, b, aside)
}

// corruptDirectory returns a disk with two logs, of which the first is corrupt.
func corruptDirectory(t *testing.T) (d *MemoryDisk, plan *RepairPlan) {
	t.Helper()
	d = NewMemoryDisk(1)
	l, _ := openLog(t, d, unlimited)
	for i := range uint64(10) {
		require.NoError(t, l.Commit([]*statepb.Entry{bindEntry(i, 0)}, true))
	}
	require.NoError(t, l.Close())
	d.visible[logName(l.number)].data[headerSize+200] ^= 1
	require.NoError(t, writeFile(d, logName(l.number+1), encodeHeader(l.number+1)))
	plan, err := PlanRepair(d)
	require.NoError(t, err)
	require.Equal(t, []string{logName(l.number + 1)}, plan.DroppedFiles)
	return d, plan
}

func TestRepairPlan_Apply_CorruptFileGone_ReturnsError(t *testing.T) {
	d, plan := corruptDirectory(t)
	require.NoError(t, d.Remove(plan.File))
	require.ErrorIs(t, plan.Apply(d), fs.ErrNotExist)
	_, err := d.Read(plan.DroppedFiles[0])
	require.NoError(t, err, "later logs are left alone")
	assert.False(t, d.locked)
}

func TestRepairPlan_Apply_LaterLogGone_Succeeds(t *testing.T) {
	d, plan := corruptDirectory(t)
	require.NoError(t, d.Remove(plan.DroppedFiles[0]))
	require.NoError(t, plan.Apply(d))
	_, err := Inspect(d)
	require.NoError(t, err)
}
