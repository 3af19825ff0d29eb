package trace

import (
	"errors"
	"os"
	"time"

	"grebeglade/trace/tracepb"
)

// openFile is the file of a fileSeries that is being written.
type openFile struct {
	file      *os.File
	writer    *Writer
	opened    time.Time
	unflushed uint64 // records that are not in the file yet
}

// newOpenFile writes the header of a file with the records of a source. It closes the file after an error.
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

// append adds a record, and counts those that are not in the file yet.
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

// exceeds reports whether the file has become too large or too old.
func (f *openFile) exceeds(limits Limits) bool {
	return f.writer.Size() > limits.FileBytes || time.Since(f.opened) > limits.FileAge
}
