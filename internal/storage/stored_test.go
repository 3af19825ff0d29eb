package storage

import (
	"os"
	"testing"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// The files in testdata/version1 were written by the first program with format version 1, which was then killed; the
// last record of the log is truncated. They must never be rewritten, since they guard against incompatible changes.
const (
	storedDirectory = "testdata/version1"
	storedNumber    = 2
	storedTruncated = 35 // size of the truncated record in bytes
)

var storedBinds = []*statepb.Bind{
	{
		Key:           3,
		Group:         "once",
		Node:          3,
		Incarnation:   5,
		Workload:      3,
		Number:        1,
		ExpiresUnixMs: nowUnixMs + dayMs,
	},
	{
		Key:           1<<63 + 7,
		Group:         "Prüfung",
		Node:          4_000_000_000,
		Incarnation:   6,
		Workload:      1<<63 + 7,
		Number:        4,
		ExpiresUnixMs: nowUnixMs + dayMs,
	},
}

func TestInspect_StoredDirectory_ReadsContents(t *testing.T) {
	disk, err := OpenDir(storedDirectory)
	require.NoError(t, err)
	c, err := Inspect(disk)
	require.NoError(t, err)
	assert.EqualValues(t, 6, c.Incarnation.Number)
	assert.Equal(t, []string{snapshotName(storedNumber), logName(storedNumber)}, c.Files)
	assert.Equal(t, storedTruncated, c.TruncatedBytes)
	require.Len(t, c.LiveBinds, len(storedBinds))
	for i, want := range storedBinds {
		assert.True(t, proto.Equal(want, c.LiveBinds[i]), "want %v, got %v", want, c.LiveBinds[i])
	}
}

func TestOpen_StoredDirectory_BeginsNextIncarnation(t *testing.T) {
	path := t.TempDir()
	require.NoError(t, os.CopyFS(path, os.DirFS(storedDirectory)))
	disk, err := OpenDir(path)
	require.NoError(t, err)
	incarnation := &statepb.Incarnation{Number: 1}
	log, c, err := Open(disk, incarnation, unlimited, unixMs)
	require.NoError(t, err)
	assert.EqualValues(t, 7, incarnation.Number)
	assert.Len(t, c.LiveBinds, len(storedBinds))
	require.NoError(t, log.Close())
	c, err = Inspect(disk)
	require.NoError(t, err)
	assert.Equal(t, describe(storedBinds), describe(c.LiveBinds))
}

func TestEncode_StoredContents_GivesStoredBytes(t *testing.T) {
	disk, err := OpenDir(storedDirectory)
	require.NoError(t, err)

	stored, err := disk.Read(snapshotName(storedNumber))
	require.NoError(t, err)
	snapshot, err := decodeSnapshot(snapshotName(storedNumber), stored, storedNumber)
	require.NoError(t, err)
	live := liveBinds{}
	for _, entry := range snapshot.LiveBinds {
		live[entry.Bind.Key] = entry.Bind
	}
	again, err := encodeSnapshot(storedNumber, snapshot.Incarnation, live)
	require.NoError(t, err)
	assert.Equal(t, stored, again)

	stored, err = disk.Read(logName(storedNumber))
	require.NoError(t, err)
	again = encodeHeader(storedNumber)
	_, err = decodeLog(logName(storedNumber), stored, storedNumber, func(entry *statepb.Entry) {
		again, err = appendRecord(again, entry)
		require.NoError(t, err)
	})
	require.NoError(t, err)
	assert.Equal(t, stored[:len(stored)-storedTruncated], again)
}
