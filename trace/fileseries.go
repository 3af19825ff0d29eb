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

const retryInterval = 2 * time.Second // wait before a new file is opened after an error

// fileSeries writes records to a sequence of files, and removes the oldest files when all together exceed a limit.
// Records that cannot be written are lost, and a Gap record reports their number.
type fileSeries struct {
	dir    string
	source *tracepb.Source
	limits Limits
	log    *slog.Logger
	create func(name string) (*os.File, error)

	number  int       // number of the last file
	current *openFile // file being written, nil if there is none
	retryAt time.Time // earliest time to open a file after an error

	lost       uint64 // number of lost records, not yet reported by a Gap record
	lostReason string // reason of the latest loss
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

// createFile creates a file. The error wraps os.ErrExist if the file already exists.
func createFile(name string) (*os.File, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("create a trace file: %w", err)
	}
	return file, nil
}

// write writes a batch, and finishes the current file if it exceeds a limit.
func (s *fileSeries) write(next batch) {
	if next.dropped > 0 {
		s.countLost(next.dropped, gapReasonQueueFull)
	}
	for _, record := range next.records {
		s.writeRecord(record)
	}
	if s.current != nil && s.current.exceeds(s.limits) {
		s.finish()
	}
}

// writeRecord appends a record, preceded by a Gap record if earlier ones were lost. If that fails, the record counts as
// lost.
func (s *fileSeries) writeRecord(r *Record) {
	if s.current == nil && !s.open() {
		s.countLost(1, s.lostReason)
		return
	}
	if s.lost > 0 && s.append(s.gapRecord(r)) {
		s.lost = 0
	}
	if s.current == nil || !s.append(r) {
		s.countLost(1, s.lostReason)
	}
}

// gapRecord returns the Gap record that reports the records lost before r.
func (s *fileSeries) gapRecord(r *Record) *Record {
	return &Record{
		AtMs:     r.AtMs,
		Revision: r.Revision - 1,
		Source:   r.Source,
		Body:     &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: s.lost, Reason: s.lostReason}},
	}
}

// countLost counts lost records. The next Gap record reports the reason of the latest loss.
func (s *fileSeries) countLost(count uint64, reason string) {
	s.lost += count
	s.lostReason = reason
}

// append adds a record to the current file. If that fails, it abandons the file and returns false.
func (s *fileSeries) append(r *Record) bool {
	if err := s.current.append(r); err != nil {
		s.abandon(err)
		return false
	}
	return true
}

// flush writes the appended records to the file, so that few are lost if the process is killed.
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

// finish writes the last block and the index of the current file, closes the file, and removes the oldest files.
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

// abandon closes the current file after an error. Its unflushed records are lost; recording continues in a new file
// once one can be created.
func (s *fileSeries) abandon(err error) {
	s.log.Warn("trace not written", "dir", s.dir, "error", err)
	s.countLost(s.current.unflushed, err.Error())
	if err := s.current.file.Close(); err != nil {
		s.log.Debug("trace file not closed", "dir", s.dir, "error", err)
	}
	s.current = nil
	s.retryAt = time.Now().Add(retryInterval)
}

// open opens the next file. It returns false if that fails or retryInterval has not passed since the last error.
func (s *fileSeries) open() bool {
	if time.Now().Before(s.retryAt) {
		return false
	}
	s.prune()
	current, err := s.createNext()
	if err != nil {
		s.log.Warn("trace file not created", "dir", s.dir, "error", err)
		s.lostReason = err.Error()
		s.retryAt = time.Now().Add(retryInterval)
		return false
	}
	s.current = current
	return true
}

// createNext creates a file with the next unused number and writes its header.
func (s *fileSeries) createNext() (*openFile, error) {
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

// prune removes the oldest files while the directory's trace files together exceed TotalBytes.
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
