package compatibility_test

import (
	"os"
	"path/filepath"
	"testing"

	"grebeglade/internal/recovery"
	"grebeglade/internal/storage"
	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	stateDir     = "testdata/state"      // written by writeState
	tornStateDir = "testdata/state-torn" // the same, with an incomplete end of the log

	stateNow      = 1.8e12  // Unix time in ms of all entries
	snapshotAfter = 400     // size limit of the log in bytes, raised for many live binds; a snapshot replaces a larger log
	noSnapshot    = 1 << 20 // bytes; above the size of the logs in the tests
)

func boundEntry(key uint64, number uint32) *statepb.Entry {
	return storage.BindEntry(recovery.Bind{
		Key:         key,
		Group:       "trace",
		Node:        700 + uint32(key),
		Incarnation: 5,
		Workload:    9000 + key,
		Number:      number,
		ExpiresAt:   stateNow + 86400e3,
	})
}

func forgetEntry(key uint64, number uint32) *statepb.Entry {
	return storage.ForgetEntry(key, 5, number)
}

// writeState writes a state directory as two incarnations of an allocator do. The second incarnation does not close it,
// as if it was killed.
func writeState(t *testing.T, dir string) {
	t.Helper()
	disk, err := storage.OpenDir(dir)
	require.NoError(t, err)
	now := func() float64 { return stateNow }
	first, _, err := storage.Open(disk, &statepb.Incarnation{Number: 5, StartedUnixMs: stateNow}, snapshotAfter, now)
	require.NoError(t, err)
	for key := range uint64(12) {
		require.NoError(t, first.Commit([]*statepb.Entry{boundEntry(key, 0)}, true))
		if key%3 == 0 {
			require.NoError(t, first.Commit([]*statepb.Entry{forgetEntry(key, 0), boundEntry(key+100, 1)}, true))
		}
	}
	require.NoError(t, first.Close())
	restarted := &statepb.Incarnation{Number: 6, StartedUnixMs: stateNow + 1000}
	second, found, err := storage.Open(disk, restarted, noSnapshot, now)
	require.NoError(t, err)
	require.NotEmpty(t, found.LiveBinds)
	entries := []*statepb.Entry{boundEntry(1<<63+5, 2), forgetEntry(1, 0), boundEntry(2, 3)}
	require.NoError(t, second.Commit(entries, true))
	require.NoError(t, disk.Unlock())
}

// stateFiles returns the contents of the files in a state directory by name, without the lock file.
func stateFiles(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	files := map[string][]byte{}
	for _, e := range entries {
		if e.Name() == "lock" {
			continue
		}
		files[e.Name()], err = os.ReadFile(filepath.Join(dir, e.Name()))
		require.NoError(t, err)
	}
	require.NotEmpty(t, files)
	return files
}

func TestStateDirectory_Written_AsStored(t *testing.T) {
	dir := t.TempDir()
	writeState(t, dir)
	assert.Equal(t, stateFiles(t, stateDir), stateFiles(t, dir))
}

func TestStateDirectory_Stored_ShownAsStored(t *testing.T) {
	for _, dir := range []string{stateDir, tornStateDir} {
		before := stateFiles(t, dir)
		name := filepath.Base(dir)
		compareWithStored(t, name+"-show.txt", mustRun(t, "state", "show", dir))
		compareWithStored(t, "json/"+name+"-show.json", stableJSON(t, mustRun(t, "state", "show", dir, "--json")))
		compareWithStored(t, name+"-check.txt", mustRun(t, "state", "check", dir))
		assert.Equal(t, before, stateFiles(t, dir), "reading must not change the directory")
	}
}

func TestStateDirectory_NextIncarnation_FindsLiveBinds(t *testing.T) {
	for _, stored := range []string{stateDir, tornStateDir} {
		dir := t.TempDir()
		for name, content := range stateFiles(t, stored) {
			require.NoError(t, os.WriteFile(filepath.Join(dir, name), content, 0o600))
		}
		before := mustRun(t, "state", "show", dir)
		disk, err := storage.OpenDir(dir)
		require.NoError(t, err)
		const restartedAt = stateNow + 2000
		restarted := &statepb.Incarnation{Number: 1, StartedUnixMs: restartedAt}
		log, found, err := storage.Open(disk, restarted, noSnapshot, func() float64 { return restartedAt })
		require.NoError(t, err)
		assert.EqualValues(t, 6, found.Incarnation.GetNumber())
		require.NoError(t, log.Close())
		assert.Equal(t, before, mustRun(t, "state", "show", dir), "%s after the start of the next incarnation", stored)
	}
}
