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
	stateDir     = "testdata/state" // what writeState leaves
	tornStateDir = "testdata/state-torn"

	stateNow      = 1.8e12 // Unix time in ms of all that is written
	snapshotAfter = 400    // bytes of log after which a snapshot replaces it
)

func boundEntry(key uint64, number uint32) *statepb.Entry {
	return storage.BindEntry(recovery.Bind{
		Key: key, Group: "trace", Node: 700 + uint32(key), Incarnation: 5, Workload: 9000 + key, Number: number,
		ExpiresAt: stateNow + 86400e3,
	})
}

func settledEntry(key uint64, number uint32) *statepb.Entry {
	return storage.ForgetEntry(key, 5, number)
}

// writeState has two incarnations of an allocator write a directory; the second stops without closing it, as after a kill.
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
			require.NoError(t, first.Commit([]*statepb.Entry{settledEntry(key, 0), boundEntry(key+100, 1)}, true))
		}
	}
	require.NoError(t, first.Close())
	second, found, err := storage.Open(disk, &statepb.Incarnation{Number: 6, StartedUnixMs: stateNow + 1000}, 1<<20, now)
	require.NoError(t, err)
	require.NotEmpty(t, found.LiveBinds)
	require.NoError(t, second.Commit([]*statepb.Entry{boundEntry(1<<63+5, 2), settledEntry(1, 0), boundEntry(2, 3)}, true))
	require.NoError(t, disk.Unlock())
}

// stateFiles are the contents of a state directory by name, without the lock.
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

func TestStateDirectory_IsWrittenAsStored(t *testing.T) {
	dir := t.TempDir()
	writeState(t, dir)
	assert.Equal(t, stateFiles(t, stateDir), stateFiles(t, dir))
}

func TestStoredStateDirectories_AreShownAsStored(t *testing.T) {
	for _, dir := range []string{stateDir, tornStateDir} {
		before := stateFiles(t, dir)
		name := filepath.Base(dir)
		compareWithStored(t, name+"-show.txt", mustRun(t, "state", "show", dir))
		compareWithStored(t, "json/"+name+"-show.json", stableJSON(t, mustRun(t, "state", "show", dir, "--json")))
		compareWithStored(t, name+"-check.txt", mustRun(t, "state", "check", dir))
		assert.Equal(t, before, stateFiles(t, dir), "reading changed the directory")
	}
}

func TestStoredStateDirectories_NextIncarnationFindsWhatIsKept(t *testing.T) {
	for _, stored := range []string{stateDir, tornStateDir} {
		dir := t.TempDir()
		for name, b := range stateFiles(t, stored) {
			require.NoError(t, os.WriteFile(filepath.Join(dir, name), b, 0o600))
		}
		before := mustRun(t, "state", "show", dir)
		disk, err := storage.OpenDir(dir)
		require.NoError(t, err)
		log, found, err := storage.Open(disk, &statepb.Incarnation{Number: 1, StartedUnixMs: stateNow + 2000}, 1<<20, func() float64 { return stateNow + 2000 })
		require.NoError(t, err)
		assert.EqualValues(t, 6, found.Incarnation.GetNumber())
		require.NoError(t, log.Close())
		assert.Equal(t, before, mustRun(t, "state", "show", dir), "%s, after the next incarnation began", stored)
	}
}
