package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"iter"
	"os"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"grebeglade/trace/tracepb"
)

// Reader reads one file.
type Reader struct {
	Header *tracepb.Header
	Minor  uint16 // version of the file
	// IndexRebuilt tells that the file has no usable index, and that one was made by a scan.
	IndexRebuilt bool
	// Damage is what the scan could not read; a truncated end is one such part.
	Damage []Damage

	r       io.ReaderAt
	size    int64
	decoder *zstd.Decoder
	blocks  []*tracepb.Block
	closer  io.Closer // nil if the file is the caller's
}

// Open opens a file by name.
func Open(name string) (*Reader, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	r, err := newFileReader(f)
	if err != nil {
		_ = f.Close() // it was only read
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return r, nil
}

func newFileReader(f *os.File) (*Reader, error) {
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	r, err := NewReader(f, info.Size())
	if err != nil {
		return nil, err
	}
	r.closer = f
	return r, nil
}

// NewReader reads the header and the index, or scans the file if it has none. The error is ErrEmpty, ErrNotTrace, a
// VersionError, a Damage of the header, or that of r.
func NewReader(r io.ReaderAt, size int64) (*Reader, error) {
	if size == 0 {
		return nil, ErrEmpty
	}
	t := &Reader{r: r, size: size}
	first, err := t.readHeader()
	if err != nil {
		return nil, err
	}
	t.decoder, err = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxBlockSize), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	if !t.readIndex(first) {
		t.IndexRebuilt = true
		t.scan(first)
	}
	return t, nil
}

// Close releases the file.
func (t *Reader) Close() error {
	t.decoder.Close()
	if t.closer != nil {
		return t.closer.Close()
	}
	return nil
}

// readAt is ReadAt, but a read that ends with the file is no error.
func (t *Reader) readAt(b []byte, offset int64) (int, error) {
	n, err := t.r.ReadAt(b, offset)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

// readHeader returns the offset of the first block.
func (t *Reader) readHeader() (int64, error) {
	var head [headerSize]byte
	n, err := t.readAt(head[:], 0)
	if err != nil {
		return 0, err
	}
	if known := min(n, len(magic)); string(head[:known]) != magic[:known] {
		return 0, ErrNotTrace
	}
	if n < headerSize {
		return 0, Damage{Problem: "the file is cut off in its header"}
	}
	major, minor := binary.LittleEndian.Uint16(head[8:]), binary.LittleEndian.Uint16(head[10:])
	if major > Major {
		return 0, VersionError{Major: major, Minor: minor}
	}
	length := int64(binary.LittleEndian.Uint32(head[12:]))
	if length > min(maxHeaderSize, t.size-headerSize) {
		return 0, Damage{Problem: "the file is cut off in its header, or the header is damaged"}
	}
	message := make([]byte, length)
	if _, err := t.readAt(message, headerSize); err != nil {
		return 0, err
	}
	if checksumOf(head[:16], message) != binary.LittleEndian.Uint32(head[16:]) {
		return 0, Damage{Problem: "the header is damaged"}
	}
	t.Header, t.Minor = &tracepb.Header{}, minor
	if err := proto.Unmarshal(message, t.Header); err != nil {
		return 0, Damage{Problem: "the header cannot be read"}
	}
	return headerSize + length, nil
}

// readIndex reads the index at the end of a file that was closed. It returns false if there is none that can be used.
func (t *Reader) readIndex(first int64) bool {
	var footer [footerSize]byte
	if t.size < first+footerSize {
		return false
	}
	if _, err := t.r.ReadAt(footer[:], t.size-footerSize); err != nil {
		return false
	}
	if string(footer[16:]) != footMagic || checksum(footer[:12]) != binary.LittleEndian.Uint32(footer[12:]) {
		return false
	}
	offset, length := binary.LittleEndian.Uint64(footer[:]), binary.LittleEndian.Uint32(footer[8:])
	if offset > uint64(t.size) || int64(offset)+int64(length) != t.size-footerSize {
		return false
	}
	h, raw, err := t.readBlock(int64(offset), nil)
	if err != nil || h.kind != blockOfIndex {
		return false
	}
	var index tracepb.Index
	if proto.Unmarshal(raw, &index) != nil {
		return false
	}
	t.blocks = index.Blocks
	return true
}

// readBlock reads a block. It reuses the memory of into.
func (t *Reader) readBlock(offset int64, into []byte) (h blockHead, raw []byte, err error) {
	h, err = t.readHead(offset)
	if err != nil {
		return h, nil, err
	}
	packed := make([]byte, h.packedSize)
	if _, err := t.readAt(packed, offset+blockHeadSize); err != nil {
		return h, nil, err
	}
	raw, err = h.decompress(t.decoder, packed, into)
	return h, raw, err
}

func (t *Reader) readHead(offset int64) (blockHead, error) {
	var b [blockHeadSize]byte
	if offset < 0 || offset > t.size-blockHeadSize {
		return blockHead{}, io.ErrUnexpectedEOF
	}
	if _, err := t.readAt(b[:], offset); err != nil {
		return blockHead{}, err
	}
	h, err := decodeBlockHead(b[:])
	if err == nil && offset+h.size() > t.size {
		return h, io.ErrUnexpectedEOF
	}
	return h, err
}

// Blocks returns the number of blocks of records.
func (t *Reader) Blocks() int { return len(t.blocks) }

// Count returns the number of records that the index lists.
func (t *Reader) Count() (n uint64) {
	for _, b := range t.blocks {
		n += b.Records
	}
	return n
}

// FirstUnixMillis returns the earliest time of a record, 0 if there are none.
func (t *Reader) FirstUnixMillis() (first float64) {
	for i, b := range t.blocks {
		if i == 0 || b.FirstMs < first {
			first = b.FirstMs
		}
	}
	return first
}

// UnixMillis returns a record's Unix time in milliseconds, by its source's clock.
func (t *Reader) UnixMillis(r *Record) float64 { return unixMillis(t.Header, r) }

// source returns a record's source, an empty one if the file does not name it.
func (t *Reader) source(r *Record) *tracepb.Source {
	if int(r.Source) < len(t.Header.Sources) {
		return t.Header.Sources[r.Source]
	}
	return &tracepb.Source{}
}

// Span selects records by time. The zero value selects all.
type Span struct {
	FromMs, ToMs float64 // Unix time; 0 for no bound
}

func (s Span) overlaps(first, last float64) bool {
	return (s.FromMs == 0 || last >= s.FromMs) && (s.ToMs == 0 || first <= s.ToMs)
}

// Records iterates over the records of a span in the file's order. For a block that cannot be read it yields a Damage
// error, and goes on with the next one. Blocks outside the span are not read.
func (t *Reader) Records(s Span) iter.Seq2[*Record, error] {
	return func(yield func(*Record, error) bool) {
		var raw []byte
		for _, b := range t.blocks {
			if !s.overlaps(b.FirstMs, b.LastMs) {
				continue
			}
			h, block, err := t.readBlock(int64(b.Offset), raw)
			if err != nil {
				if !yield(nil, Damage{Offset: int64(b.Offset), LostRecords: b.Records, Problem: damageText(err)}) {
					return
				}
				continue
			}
			raw = block
			if h.kind == blockOfRecords && !t.yieldRecords(raw, int64(b.Offset), s, yield) {
				return
			}
		}
	}
}

// yieldRecords yields the records of a block at an offset. It returns false if the iteration ends.
func (t *Reader) yieldRecords(raw []byte, offset int64, s Span, yield func(*Record, error) bool) bool {
	for len(raw) > 0 {
		size, n := protowire.ConsumeVarint(raw)
		if n < 0 || size > uint64(len(raw)-n) {
			return yield(nil, Damage{Offset: offset, Problem: "a record is longer than its block"})
		}
		r := &Record{}
		if err := proto.Unmarshal(raw[n:n+int(size)], r); err != nil {
			return yield(nil, Damage{Offset: offset, LostRecords: 1, Problem: "a record cannot be read"})
		}
		raw = raw[n+int(size):]
		if at := t.UnixMillis(r); s.overlaps(at, at) && !yield(r, nil) {
			return false
		}
	}
	return true
}
