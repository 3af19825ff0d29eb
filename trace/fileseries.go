package trace

import (
	"errors"
	"fmt"
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

	number  int       // of the last file
	current *openFile // nil if there is none
	retryAt time.Time // no file is opened before

	lost       uint64 // records that the next gap reports
	lostReason string
}

func newFileSeries(dir string, source *tracepb.Source, limits Limits, log *slog.Logger) *fileSeries {
	return &fileSeries{
		dir:    dir,
		source: source,
		limits: limits,
		log:    log,
		create: createFile,
	}
}

// createFile creates a file. The error is os.ErrExist if there is one of that name.
func createFile(name string) (*os.File, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("create a trace file: %w", err)
	}
	return file, nil
}

// write writes a batch, and finishes the file if it has reached a limit.
func (s *fileSeries) write(next batch) {
	if next.missing > 0 {
		s.lose(next.missing, reasonQueueFull)
	}
	for _, record := range next.records {
		s.writeRecord(record)
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

// gapBefore returns the gap that reports the records lost before r.
func (s *fileSeries) gapBefore(r *Record) *Record {
	return &Record{
		AtMs:     r.AtMs,
		Revision: r.Revision - 1,
		Source:   r.Source,
		Body:     &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: s.lost, Reason: s.lostReason}},
	}
}

// lose counts records that are lost. The next gap has the reason of the last ones.
func (s *fileSeries) lose(count uint64, reason string) {
	s.lost += count
	s.lostReason = reason
}

// append adds a record to the current file, and abandons the file if that fails.
func (s *fileSeries) append(r *Record) bool {
	if err := s.current.append(r); err != nil {
		s.abandon(err)
		return false
	}
	return true
}

// flush writes the appended records to the file, so that a kill of the process loses few.
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

// abandon closes the current file after an error. The records of its last block are lost; recording continues in a new
// file once one can be created.
func (s *fileSeries) abandon(err error) {
	s.log.Warn("trace not written", "dir", s.dir, "error", err)
	s.lose(s.current.unflushed, err.Error())
	if err := s.current.file.Close(); err != nil {
		s.log.Debug("trace file not closed", "dir", s.dir, "error", err)
	}
	s.current = nil
	s.retryAt = time.Now().Add(retryInterval)
}

// open opens the next file. It reports whether there is a current file now.
func (s *fileSeries) open() bool {
	if time.Now().Before(s.retryAt) {
		return false
	}
	s.prune()
	current, err := s.openNext()
	if err != nil {
		s.log.Warn("trace file not created", "dir", s.dir, "error", err)
		s.lostReason = err.Error()
		s.retryAt = time.Now().Add(retryInterval)
		return false
	}
	s.current = current
	return true
}

// openNext creates the file with the next number that no file has.
func (s *fileSeries) openNext() (*openFile, error) {
	for {
		s.number++
		file, err := s.create(filepath.Join(s.dir, fileName(s.source, s.number)))
		if err == nil {
			return newOpenFile(file, s.source)
		}
		if !errors.Is(err, os.ErrExist) {
			return nil, err
		}
	}
}

// prune removes the oldest files while the directory's files exceed the limit in total.
func (s *fileSeries) prune() {
	if s.limits.TotalBytes <= 0 {
		return
	}
	files := ListFiles(s.dir)
	total := totalSize(files)
	for _, file := range files {
		if total <= s.limits.TotalBytes {
			return
		}
		if err := os.Remove(file.Name); err != nil {
			s.log.Warn("old trace file not removed", "file", file.Name, "error", err)
			continue
		}
		total -= file.Size
	}
}
