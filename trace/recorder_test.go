package trace

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func startRecorder(t *testing.T, dir string, l Limits) *Recorder {
	t.Helper()
	r, err := NewRecorder(dir, source("a", 1, 1e12), l, nil)
	require.NoError(t, err)
	return r
}

// readDirectory returns the records of all files in a directory, in order, and the number of non-empty files.
func readDirectory(t *testing.T, dir string) (records []*Record, files int) {
	t.Helper()
	for _, file := range ListFiles(dir) {
		r, err := Open(file.Name)
		if errors.Is(err, ErrEmpty) {
			continue
		}
		require.NoError(t, err)
		got, damaged := readAll(r, Span{})
		assert.Zero(t, damaged)
		records = append(records, got...)
		files++
		require.NoError(t, r.Close())
	}
	return records, files
}

// onePerBatch makes a recorder start a new file for each batch.
var onePerBatch = Limits{
	FileBytes:  1,
	FileAge:    time.Hour,
	TotalBytes: 1 << 30,
}

func TestNewRecorder_DirectoryInUseIsAnError(t *testing.T) {
	dir := t.TempDir()
	defer startRecorder(t, dir, DefaultLimits).Close()
	_, err := NewRecorder(dir, source("b", 1, 0), DefaultLimits, nil)
	require.ErrorContains(t, err, "the trace directory is locked by another recorder")
}

func TestRecorder_StartsNewFileAboveSizeLimit(t *testing.T) {
	dir := t.TempDir()
	recorder := startRecorder(t, dir, onePerBatch)
	records := placedRequests(30)
	for batch := range slices.Chunk(records, 10) {
		recorder.Put(batch)
	}
	recorder.Close()
	got, files := readDirectory(t, dir)
	assertSameRecords(t, records, got)
	assert.Equal(t, 3, files)
}

// The second recorder has a smaller limit in total, and also removes files of the first one.
func TestRecorder_RemovesOldestFilesAboveTotalLimit(t *testing.T) {
	dir := t.TempDir()
	recorder := startRecorder(t, dir, onePerBatch)
	for batch := range slices.Chunk(placedRequests(30), 10) {
		recorder.Put(batch)
	}
	recorder.Close()
	written := ListFiles(dir)
	total := totalSize(written)
	oldest := written[0].Size

	limits := Limits{FileBytes: 1, TotalBytes: total - oldest + oldest/2}
	recorder, err := NewRecorder(dir, source("a", 2, 1e12), limits, nil)
	require.NoError(t, err)
	recorder.Put(placedRequests(10))
	recorder.Close()
	assert.LessOrEqual(t, totalSize(ListFiles(dir)), total)
	got, _ := readDirectory(t, dir)
	assertSameRecords(t, placedRequests(10), got[len(got)-10:])
	assert.Equal(t, uint64(21), got[0].Revision, "the oldest files are removed, the others are complete")
}

func TestRecorder_SkipsFilesOfKilledRecorder(t *testing.T) {
	dir := t.TempDir()
	complete := encodeFile(t, testHeader, placedRequests(8), 4)
	second := newReader(t, complete).blocks[1]
	// A recorder killed while it starts a new file leaves the old file without an index and the new one empty.
	truncated := complete[:second.Offset+70]
	require.NoError(t, os.WriteFile(filepath.Join(dir, fileName(source("a", 1, 0), 1)), truncated, 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, fileName(source("a", 1, 0), 2)), nil, 0o600))
	r := startRecorder(t, dir, DefaultLimits)
	r.Put(placedRequests(2))
	r.Close()
	got, files := readDirectory(t, dir)
	assert.Equal(t, 2, files)
	assertSameRecords(t, append(placedRequests(8)[:4], placedRequests(2)...), got)
}

func TestFileSeries_GapRecordsReplaceLostRecords(t *testing.T) {
	dir := t.TempDir()
	readOnly := filepath.Join(dir, "readonly")
	require.NoError(t, os.WriteFile(readOnly, nil, 0o600))
	broken := true
	files := newFileSeries(dir, source("a", 1, 1e12), DefaultLimits, slog.New(slog.DiscardHandler))
	files.create = func(name string) (*os.File, error) {
		if broken {
			return os.OpenFile(readOnly, os.O_RDONLY, 0) // every write to it fails, as on a full disk
		}
		return createFile(name)
	}
	records := placedRequests(6)
	files.write(batch{records: records[:3]})
	broken = false
	files.retryAt = time.Time{}
	files.write(batch{records: records[3:5]})
	files.write(batch{records: records[5:], dropped: 7}) // seven were dropped because the queue was full
	files.finish()
	got, _ := readDirectory(t, dir)
	require.Len(t, got, 5)
	assert.Equal(t, uint64(3), got[0].GetGap().GetMissing())
	assert.Equal(t, uint64(3), got[0].Revision)
	assert.Equal(t, uint64(7), got[3].GetGap().GetMissing())
	assert.Equal(t, "the queue was full", got[3].GetGap().GetReason())
	assertSameRecords(t, records[3:5], got[1:3])
}

func TestRecorderPut_FullQueueDoesNotBlock(t *testing.T) {
	r := &Recorder{queue: make(chan batch, 1)}
	r.Put(placedRequests(2))
	r.Put(placedRequests(3))
	r.Put(placedRequests(4))
	assert.Equal(t, uint64(7), r.dropped)
	assert.Len(t, (<-r.queue).records, 2)
	r.Put(placedRequests(1))
	assert.Equal(t, uint64(7), (<-r.queue).dropped)
	assert.Zero(t, r.dropped)
}
