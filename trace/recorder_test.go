package trace

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
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

// recorded returns all records in a directory, in order, and the number of files.
func recorded(t *testing.T, dir string) (records []*Record, files int) {
	t.Helper()
	names, _, _ := ListFiles(dir)
	for _, name := range names {
		r, err := Open(name)
		if errors.Is(err, ErrEmpty) {
			continue
		}
		require.NoError(t, err)
		got, damaged := all(r, Span{})
		assert.Zero(t, damaged)
		records = append(records, got...)
		files++
		require.NoError(t, r.Close())
	}
	return records, files
}

func TestRecorder_RotatesFilesWithinLimit(t *testing.T) {
	dir := t.TempDir()
	r := startRecorder(t, dir, Limits{FileBytes: 1, FileAge: time.Hour, TotalBytes: 1 << 30})
	_, err := NewRecorder(dir, source("b", 1, 0), DefaultLimits, nil)
	require.ErrorContains(t, err, "another allocator records here")
	records := some(30)
	for i := 0; i < 30; i += 10 {
		r.Put(records[i : i+10])
	}
	r.Close()
	got, files := recorded(t, dir)
	same(t, records, got)
	assert.Equal(t, 3, files)
	_, sizes, total := ListFiles(dir)
	// The next incarnation may keep less: the oldest files are removed.
	r, err = NewRecorder(dir, source("a", 2, 1e12), Limits{FileBytes: 1, TotalBytes: total - sizes[0] + sizes[0]/2}, nil)
	require.NoError(t, err)
	r.Put(some(10))
	r.Close()
	_, _, now := ListFiles(dir)
	assert.LessOrEqual(t, now, total)
	got, _ = recorded(t, dir)
	same(t, some(10), got[len(got)-10:])
	assert.Equal(t, uint64(21), got[0].Revision, "the oldest files are gone, the others are complete")
}

func TestRecorder_SkipsWhatKilledOneLeft(t *testing.T) {
	dir := t.TempDir()
	b := file(t, one, some(8), 4)
	h := reader(t, b).blocks[1]
	// Killed in a rotation: the old file has no index, the new one not even a header.
	require.NoError(t, os.WriteFile(filepath.Join(dir, fileName(source("a", 1, 0), 1)), b[:h.Offset+70], 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, fileName(source("a", 1, 0), 2)), nil, 0o600))
	r := startRecorder(t, dir, DefaultLimits)
	r.Put(some(2))
	r.Close()
	got, files := recorded(t, dir)
	assert.Equal(t, 2, files)
	same(t, append(some(8)[:4], some(2)...), got)
}

func TestFileSeries_LostRecordsAreReportedInTheirPlace(t *testing.T) {
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
	records := some(6)
	files.write(batch{records: records[:3]})
	broken, files.retryAt = false, time.Time{}
	files.write(batch{records: records[3:5]})
	files.write(batch{records: records[5:], missing: 7}) // seven had no place in the queue
	files.finish()
	got, _ := recorded(t, dir)
	require.Len(t, got, 5)
	assert.Equal(t, uint64(3), got[0].GetGap().GetMissing())
	assert.Equal(t, uint64(3), got[0].Revision)
	assert.Equal(t, uint64(7), got[3].GetGap().GetMissing())
	assert.Equal(t, "the queue was full", got[3].GetGap().GetReason())
	same(t, records[3:5], got[1:3])
}

func TestRecorderPut_FullQueueDoesNotBlock(t *testing.T) {
	r := &Recorder{queue: make(chan batch, 1)}
	r.Put(some(2))
	r.Put(some(3))
	r.Put(some(4))
	assert.Equal(t, uint64(7), r.missing)
	assert.Len(t, (<-r.queue).records, 2)
	r.Put(some(1))
	assert.Equal(t, uint64(7), (<-r.queue).missing)
	assert.Zero(t, r.missing)
}
