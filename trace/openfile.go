package trace

import (
	"errors"
	"os"
	"time"

	"grebeglade/trace/tracepb"
)

// openFile is the file that a fileSeries is writing to.
type openFile struct {
	file      *os.File
	writer    *Writer
	opened    time.Time
	unflushed uint64 // number of appended records that are not written yet
}

// newOpenFile writes the header of a file for the records of a source. On error it closes the file.
func newOpenFile(file *os.File, source *tracepb.Source) (*openFile, error) {
	header := &tracepb.Header{Sources: []*tracepb.Source{source}, Tool: toolName}
	writer, err := NewWriter(file, header)
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return &openFile{
		file:   file,
		writer: writer,
		opened: time.Now(),
	}, nil
}

// append adds a record and updates the number of unflushed records.
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

// exceeds reports whether the file is larger or older than the limits.
func (f *openFile) exceeds(limits Limits) bool {
	return f.writer.Size() > limits.FileBytes || time.Since(f.opened) > limits.FileAge
}
