package storage

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// repairEntries is the number of entries in the log that is corrupted.
	repairEntries = 10
	// corruptOffset is the offset of a byte within an entry in the middle of the log.
	corruptOffset = headerSize + 200
)

func TestRepairPlan_CorruptLog_KeepsWhatItDrops(t *testing.T) {
	path := t.TempDir()
	disk, err := OpenDir(path)
	require.NoError(t, err)
	log, _ := openLog(t, disk, unlimited)
	for key := range uint64(repairEntries) {
		commitDurably(t, log, bindEntry(key, 0))
	}
	require.NoError(t, log.Close())
	none, err := PlanRepair(disk)
	require.NoError(t, err)
	assert.Nil(t, none)

	logPath := filepath.Join(path, logName(log.number))
	corrupt, err := os.ReadFile(logPath)
	require.NoError(t, err)
	corrupt[corruptOffset] ^= 1
	require.NoError(t, os.WriteFile(logPath, corrupt, 0o600))
	err = requireOpenFails(t, disk)
	var corruption *CorruptionError
	require.ErrorAs(t, err, &corruption)
	require.ErrorContains(t, err, logName(log.number)+" is damaged at byte ")
	require.ErrorContains(t, err, "grebeglade state repair")
	plan, err := PlanRepair(disk)
	require.NoError(t, err)
	assert.Greater(t, plan.LostEntries, 3)
	require.NoError(t, plan.Apply(disk))
	contents, err := Inspect(disk)
	require.NoError(t, err)
	const corruptEntries = 1
	assert.Equal(t, repairEntries, len(contents.LiveBinds)+corruptEntries+plan.LostEntries)
	kept, err := os.ReadFile(logPath + damagedExtension)
	require.NoError(t, err)
	assert.Equal(t, corrupt, kept)
}

// corruptDirectory returns a disk with two logs, the first of them corrupt, and the plan of its repair.
func corruptDirectory(t *testing.T) (disk *MemoryDisk, plan *RepairPlan) {
	t.Helper()
	disk = NewMemoryDisk(1)
	log, _ := openLog(t, disk, unlimited)
	for key := range uint64(repairEntries) {
		commitDurably(t, log, bindEntry(key, 0))
	}
	require.NoError(t, log.Close())
	disk.visible[logName(log.number)].data[corruptOffset] ^= 1
	require.NoError(t, writeFile(disk, logName(log.number+1), encodeHeader(log.number+1)))
	plan, err := PlanRepair(disk)
	require.NoError(t, err)
	require.Equal(t, []string{logName(log.number + 1)}, plan.DroppedFiles)
	return disk, plan
}

func TestRepairPlan_Apply_CorruptFileMissing_ReturnsError(t *testing.T) {
	disk, plan := corruptDirectory(t)
	require.NoError(t, disk.Remove(plan.File))
	require.ErrorIs(t, plan.Apply(disk), fs.ErrNotExist)
	_, err := disk.Read(plan.DroppedFiles[0])
	require.NoError(t, err, "a later log was changed")
	assert.False(t, disk.locked)
}

func TestRepairPlan_Apply_LaterLogMissing_Succeeds(t *testing.T) {
	disk, plan := corruptDirectory(t)
	require.NoError(t, disk.Remove(plan.DroppedFiles[0]))
	require.NoError(t, plan.Apply(disk))
	_, err := Inspect(disk)
	require.NoError(t, err)
}

func TestPlanRepair_DiskFails_ReturnsDiskError(t *testing.T) {
	disk, plan := corruptDirectory(t)
	reads := 0
	disk.InjectFault = func(call Call) error {
		if call.Operation != OpRead || call.File != plan.File {
			return nil
		}
		reads++
		if reads == 1 {
			return nil // Inspect reads the file first and finds the corruption
		}
		return errInputOutput
	}
	_, err := PlanRepair(disk)
	requireDiskError(t, err, StepRead)
}

func TestRepairPlan_Apply_DiskFails_ReturnsDiskErrorAndUnlocks(t *testing.T) {
	disk, plan := corruptDirectory(t)
	disk.InjectFault = failEvery(errInputOutput, OpRename)
	requireDiskError(t, plan.Apply(disk), StepRepair)
	assert.False(t, disk.locked)
}

// requireDiskError requires a *DiskError with the given step and the cause errInputOutput.
func requireDiskError(t *testing.T, err error, step Step) {
	t.Helper()
	require.ErrorIs(t, err, errInputOutput)
	var failed *DiskError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, step, failed.Step)
}
