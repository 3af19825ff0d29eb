package trace

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"grebeglade/trace/tracepb"
)

const retryInterval = 2 * time.Second // after a failed write

// fileSeries writes records into one file after the other, and removes the oldest ones. Records that cannot be written
// are lost, and a Gap record says how many.
type fileSeries struct {
	dir    string
	source *tracepb.Source
	limits Limits
	log    *slog.Logger
	create func(name string) (*os.File, error)

	number  int // of the last file
	current *openFile
	retryAt time.Time // no file is opened before

	lost       uint64 // records that the next gap reports
	lostReason string
}

// openFile is the file that is being written.
type openFile struct {
	file      *os.File
	writer    *Writer
	opened    time.Time
	unflushed uint64 // records that are not in the file yet
}

func newFileSeries(dir string, source *tracepb.Source, limits Limits, log *slog.Logger) *fileSeries {
	return &fileSeries{dir: dir, source: source, limits: limits, log: log, create: createFile}
}

func createFile(name string) (*os.File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
}

func (s *fileSeries) write(b batch) {
	if b.missing > 0 {
		s.lose(b.missing, reasonQueueFull)
	}
	for _, r := range b.records {
		s.writeRecord(r)
	}
	if s.current != nil && s.current.exceeds(s.limits) {
		s.finish()
	}
}

// writeRecord appends a record, with a gap before it if others were lost.
func (s *fileSeries) writeRecord(r *Record) {
	if s.current == nil && !s.open() {
		s.lose(1, s.lostReason)
		return
	}
	if s.lost > 0 && s.append(s.gapBefore(r)) {
		s.lost = 0
	}
	if s.current == nil || !s.append(r) {
		s.lose(1, s.lostReason)
	}
}

func (s *fileSeries) gapBefore(r *Record) *Record {
	return &Record{
		AtMs: r.AtMs, Revision: r.Revision - 1, Source: r.Source,
		Body: &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: s.lost, Reason: s.lostReason}},
	}
}

func (s *fileSeries) lose(n uint64, reason string) { s.lost, s.lostReason = s.lost+n, reason }

// append adds a record to the current file, and gives the file up if that fails.
func (s *fileSeries) append(r *Record) bool {
	if err := s.current.append(r); err != nil {
		s.abandon(err)
		return false
	}
	return true
}

func (f *openFile) append(r *Record) error {
	blocks := f.writer.blocks()
	if err := f.writer.Append(r); err != nil {
		return err
	}
	if f.writer.blocks() > blocks {
		f.unflushed = 0
	}
	f.unflushed++
	return nil
}

func (f *openFile) exceeds(limits Limits) bool {
	return f.writer.Size() > limits.FileBytes || time.Since(f.opened) > limits.FileAge
}

// flush writes what was appended into the file, so that a kill loses little.
func (s *fileSeries) flush() {
	if s.current == nil {
		return
	}
	if err := s.current.writer.Flush(); err != nil {
		s.abandon(err)
		return
	}
	s.current.unflushed = 0
}

// finish ends the current file with its index.
func (s *fileSeries) finish() {
	if s.current == nil {
		return
	}
	if err := s.current.writer.Close(); err != nil {
		s.abandon(err)
		return
	}
	if err := s.current.file.Close(); err != nil {
		s.log.Warn("trace file not closed", "dir", s.dir, "error", err)
	}
	s.current = nil
	s.prune()
}

// abandon gives the current file up after an error. The records of its last block are lost; recording goes on in a new
// file once there is space again.
func (s *fileSeries) abandon(err error) {
	s.log.Warn("trace not written", "dir", s.dir, "error", err)
	s.lose(s.current.unflushed, err.Error())
	if err := s.current.file.Close(); err != nil {
		s.log.Debug("trace file not closed", "dir", s.dir, "error", err)
	}
	s.current = nil
	s.retryAt = time.Now().Add(retryInterval)
}

// open opens the next file.
func (s *fileSeries) open() bool {
	if time.Now().Before(s.retryAt) {
		return false
	}
	s.prune()
	current, err := s.openNext()
	if err != nil {
		s.log.Warn("trace file not created", "dir", s.dir, "error", err)
		s.lostReason, s.retryAt = err.Error(), time.Now().Add(retryInterval)
		return false
	}
	s.current = current
	return true
}

// openNext creates the file with the next number that no file has.
func (s *fileSeries) openNext() (*openFile, error) {
	var f *os.File
	for {
		var err error
		s.number++
		f, err = s.create(filepath.Join(s.dir, fileName(s.source, s.number)))
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrExist) {
			return nil, err
		}
	}
	w, err := NewWriter(f, &tracepb.Header{Sources: []*tracepb.Source{s.source}, Tool: toolName})
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return &openFile{file: f, writer: w, opened: time.Now()}, nil
}

// prune removes the oldest files while all of them are larger than the limit.
func (s *fileSeries) prune() {
	if s.limits.TotalBytes <= 0 {
		return
	}
	names, sizes, total := ListFiles(s.dir)
	for i, name := range names {
		if total <= s.limits.TotalBytes {
			return
		}
		if err := os.Remove(name); err != nil {
			s.log.Warn("old trace file not removed", "file", name, "error", err)
			continue
		}
		total -= sizes[i]
	}
}
