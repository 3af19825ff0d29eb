package trace

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/klauspost/compress/zstd"

	"grebeglade/trace/tracepb"
)

// Reader reads one trace file.
type Reader struct {
	Header *tracepb.Header
	Minor  uint16 // minor version of the file's format
	// IndexRebuilt reports that the file's index is missing or damaged and was rebuilt by a scan.
	IndexRebuilt bool
	// Damage lists the parts that the scan could not read, including a truncated end.
	Damage []DamageError

	input   io.ReaderAt
	size    int64
	decoder *zstd.Decoder
	blocks  []*tracepb.Block
	closer  io.Closer // nil if the caller closes the input
}

// Open opens a trace file. The errors contain the file name and wrap those of os.Open, os.File.Stat or NewReader.
func Open(name string) (*Reader, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open a trace: %w", err)
	}
	reader, err := newFileReader(file)
	if err != nil {
		_ = file.Close() // the file was only read
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return reader, nil
}

// newFileReader returns a reader whose Close also closes the file.
func newFileReader(file *os.File) (*Reader, error) {
	info, err := file.Stat()
	if err != nil {
		return nil, fmt.Errorf("determine the size of the file: %w", err)
	}
	reader, err := NewReader(file, info.Size())
	if err != nil {
		return nil, err
	}
	reader.closer = file
	return reader, nil
}

// NewReader reads the header and the index, or scans the file if it has no valid index. The error is ErrEmpty,
// ErrNotTrace, a VersionError, a DamageError if the header is damaged, or wraps an error of the input.
func NewReader(input io.ReaderAt, size int64) (*Reader, error) {
	if size == 0 {
		return nil, ErrEmpty
	}
	reader := &Reader{input: input, size: size}
	first, err := reader.readHeader()
	if err != nil {
		return nil, err
	}
	reader.decoder, err = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxBlockSize), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("create the zstd decoder of a trace: %w", err)
	}
	if !reader.readIndex(first) {
		reader.IndexRebuilt = true
		reader.scan(first)
	}
	return reader, nil
}

// Close releases the decoder, and closes the file if the reader comes from Open.
func (r *Reader) Close() error {
	r.decoder.Close()
	if r.closer == nil {
		return nil
	}
	if err := r.closer.Close(); err != nil {
		return fmt.Errorf("close a trace: %w", err)
	}
	return nil
}

// readAt calls ReadAt of the input. Reaching the end of the file is not an error: fewer bytes are returned.
func (r *Reader) readAt(b []byte, offset int64) (int, error) {
	size, err := r.input.ReadAt(b, offset)
	if err != nil && !errors.Is(err, io.EOF) {
		return size, fmt.Errorf("read at byte %d: %w", offset, err)
	}
	return size, nil
}

// Blocks returns the number of blocks of records.
func (r *Reader) Blocks() int { return len(r.blocks) }

// Count returns the number of records that the index lists.
func (r *Reader) Count() uint64 {
	total := uint64(0)
	for _, block := range r.blocks {
		total += block.Records
	}
	return total
}

// FirstUnixMillis returns the Unix time of the earliest record in milliseconds, 0 if there are no records.
func (r *Reader) FirstUnixMillis() float64 {
	first := 0.0
	for i, block := range r.blocks {
		if i == 0 || block.FirstMs < first {
			first = block.FirstMs
		}
	}
	return first
}

// UnixMillis returns a record's Unix time in milliseconds, by its source's clock.
func (r *Reader) UnixMillis(record *Record) float64 { return unixMillis(r.Header, record) }

// source returns a record's source, an empty one if the file's header does not list it.
func (r *Reader) source(record *Record) *tracepb.Source {
	if int(record.Source) < len(r.Header.Sources) {
		return r.Header.Sources[record.Source]
	}
	return &tracepb.Source{}
}
