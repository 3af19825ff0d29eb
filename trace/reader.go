package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
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
	Minor  uint16
	// Rebuilt tells that the file has no index of its own that can be used, and that one was made by a scan.
	Rebuilt bool
	// Damage is what the scan could not read; a cut-off end is one such part.
	Damage []Damage

	r      io.ReaderAt
	size   int64
	dec    *zstd.Decoder
	blocks []*tracepb.Block
	closer io.Closer
}

// Open opens a file by name.
func Open(name string) (*Reader, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	s, err := f.Stat()
	if err == nil {
		var r *Reader
		if r, err = NewReader(f, s.Size()); err == nil {
			r.closer = f
			return r, nil
		}
	}
	f.Close()
	return nil, fmt.Errorf("%s: %w", name, err)
}

// NewReader reads the header and the index, or scans the file where there is none.
func NewReader(r io.ReaderAt, size int64) (*Reader, error) {
	if size == 0 {
		return nil, ErrEmpty
	}
	t := &Reader{r: r, size: size}
	at, err := t.readHeader()
	if err != nil {
		return nil, err
	}
	t.dec, err = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(mostRaw), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	if !t.readIndex(at) {
		t.Rebuilt = true
		t.scan(at)
	}
	return t, nil
}

// Close lets go of the file.
func (t *Reader) Close() error {
	t.dec.Close()
	if t.closer != nil {
		return t.closer.Close()
	}
	return nil
}

func (t *Reader) readHeader() (int64, error) {
	var b [headSize]byte
	n, err := t.r.ReadAt(b[:], 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	if n < len(magic) || string(b[:len(magic)]) != magic {
		if n < len(magic) && string(b[:n]) == magic[:n] {
			return 0, Damage{What: "the file is cut off in its header"}
		}
		return 0, ErrNotTrace
	}
	if n < headSize {
		return 0, Damage{What: "the file is cut off in its header"}
	}
	major, minor := binary.LittleEndian.Uint16(b[8:]), binary.LittleEndian.Uint16(b[10:])
	if major > Major {
		return 0, VersionError{major, minor}
	}
	length := binary.LittleEndian.Uint32(b[12:])
	if int64(length) > min(mostHeader, t.size-headSize) {
		return 0, Damage{What: "the file is cut off in its header, or the header is damaged"}
	}
	body := make([]byte, length)
	if _, err := t.r.ReadAt(body, headSize); err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	if crc32.Update(crc32.Checksum(b[:16], checksums), checksums, body) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, Damage{What: "the header is damaged"}
	}
	t.Header, t.Minor = &tracepb.Header{}, minor
	if err := proto.Unmarshal(body, t.Header); err != nil {
		return 0, Damage{What: "the header cannot be read"}
	}
	return headSize + int64(length), nil
}

// readIndex reads the index that a closed file ends with.
func (t *Reader) readIndex(first int64) bool {
	var foot [footSize]byte
	if t.size < first+footSize {
		return false
	}
	if _, err := t.r.ReadAt(foot[:], t.size-footSize); err != nil {
		return false
	}
	if string(foot[16:]) != footMagic || crc32.Checksum(foot[:12], checksums) != binary.LittleEndian.Uint32(foot[12:]) {
		return false
	}
	at, length := binary.LittleEndian.Uint64(foot[:]), binary.LittleEndian.Uint32(foot[8:])
	if at > uint64(t.size) || int64(at)+int64(length) != t.size-footSize {
		return false
	}
	h, raw, _, err := t.readBlock(int64(at), nil)
	if err != nil || h.kind != indexKind {
		return false
	}
	var index tracepb.Index
	if proto.Unmarshal(raw, &index) != nil {
		return false
	}
	t.blocks = index.Blocks
	return true
}

// readBlock reads a block, and returns where the next one begins.
func (t *Reader) readBlock(at int64, into []byte) (h blockHead, raw []byte, next int64, err error) {
	h, err = t.readHead(at)
	if err != nil {
		return h, nil, 0, err
	}
	next = at + blockSize + int64(h.packed)
	packed := make([]byte, h.packed)
	if _, err := t.r.ReadAt(packed, at+blockSize); err != nil && !errors.Is(err, io.EOF) {
		return h, nil, next, err
	}
	raw, err = h.unpack(t.dec, packed, into)
	return h, raw, next, err
}

func (t *Reader) readHead(at int64) (blockHead, error) {
	var b [blockSize]byte
	if at < 0 || at > t.size-blockSize {
		return blockHead{}, io.ErrUnexpectedEOF
	}
	if _, err := t.r.ReadAt(b[:], at); err != nil && !errors.Is(err, io.EOF) {
		return blockHead{}, err
	}
	h, err := decodeBlockHead(b[:])
	if err == nil && at+blockSize+int64(h.packed) > t.size {
		return h, io.ErrUnexpectedEOF
	}
	return h, err
}

// scan makes an index from what the blocks' heads say. Where one is damaged it looks for the next that is not.
func (t *Reader) scan(at int64) {
	for at < t.size {
		h, err := t.readHead(at)
		if err == nil && h.kind == indexKind {
			at += blockSize + int64(h.packed)
			if t.size-at <= footSize {
				return // the footer alone is damaged or cut off; nothing is lost
			}
			continue
		}
		if err != nil {
			t.Damage = append(t.Damage, Damage{Offset: at, What: damageText(err)})
			if at = t.nextHead(at + 1); at < 0 {
				return
			}
			continue
		}
		t.blocks = append(t.blocks, &tracepb.Block{
			Offset: uint64(at), Records: uint64(h.records), FirstMs: h.firstMs, LastMs: h.lastMs,
			FirstRevision: h.firstRev, LastRevision: h.lastRev,
		})
		at += blockSize + int64(h.packed)
	}
}

func damageText(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return "the file is cut off in a block"
	}
	return err.Error()
}

// nextHead finds the next block head that holds, or returns -1.
func (t *Reader) nextHead(at int64) int64 {
	const step = 1 << 16
	buf := make([]byte, step+3)
	for ; at < t.size; at += step {
		n, err := t.r.ReadAt(buf, at)
		if err != nil && !errors.Is(err, io.EOF) {
			return -1
		}
		for i := 0; i+4 <= n; i++ {
			if binary.LittleEndian.Uint32(buf[i:]) == blockMagic {
				if _, err := t.readHead(at + int64(i)); err == nil {
					return at + int64(i)
				}
			}
		}
	}
	return -1
}

// Blocks is the number of blocks of records, and Count that of the records in them.
func (t *Reader) Blocks() int { return len(t.blocks) }

// First is the least time of the records, by the wall; 0 where there are none.
func (t *Reader) First() (first float64) {
	for i, b := range t.blocks {
		if i == 0 || b.FirstMs < first {
			first = b.FirstMs
		}
	}
	return first
}

// Count is the number of records that the index names.
func (t *Reader) Count() (n uint64) {
	for _, b := range t.blocks {
		n += b.Records
	}
	return n
}

// Span is what to read of a file. The zero value reads all of it.
type Span struct {
	FromMs, ToMs float64 // by the wall, Unix time; 0 for no bound
}

func (s Span) holds(first, last float64) bool {
	return (s.FromMs == 0 || last >= s.FromMs) && (s.ToMs == 0 || first <= s.ToMs)
}

// UnixMillis is a record's time by the wall, as its source's clock had it.
func (t *Reader) UnixMillis(r *Record) float64 {
	if int(r.Source) < len(t.Header.Sources) {
		return r.AtMs + t.Header.Sources[r.Source].WallMs
	}
	return r.AtMs
}

// Records goes through the records of a span, in the file's order. A block that cannot be read is told as a
// Damage error in its place, and the next one follows. With a span, only its blocks are read.
func (t *Reader) Records(s Span) iter.Seq2[*Record, error] {
	return func(yield func(*Record, error) bool) {
		var raw []byte
		for _, b := range t.blocks {
			if !s.holds(b.FirstMs, b.LastMs) {
				continue
			}
			h, got, _, err := t.readBlock(int64(b.Offset), raw)
			if err != nil {
				if !yield(nil, Damage{Offset: int64(b.Offset), Lost: b.Records, What: damageText(err)}) {
					return
				}
				continue
			}
			if raw = got; h.kind != recordsKind {
				continue
			}
			if !t.split(raw, int64(b.Offset), s, yield) {
				return
			}
		}
	}
}

// split goes through the records of a block.
func (t *Reader) split(raw []byte, at int64, s Span, yield func(*Record, error) bool) bool {
	for len(raw) > 0 {
		size, n := protowire.ConsumeVarint(raw)
		if n < 0 || size > uint64(len(raw)-n) {
			return yield(nil, Damage{Offset: at, What: "a record is longer than its block"})
		}
		r := &Record{}
		if err := proto.Unmarshal(raw[n:n+int(size)], r); err != nil {
			return yield(nil, Damage{Offset: at, Lost: 1, What: "a record cannot be read"})
		}
		raw = raw[n+int(size):]
		if w := t.UnixMillis(r); s.holds(w, w) && !yield(r, nil) {
			return false
		}
	}
	return true
}
