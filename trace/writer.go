package trace

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"math"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"grebeglade/trace/tracepb"
)

// blockRaw is how many bytes of records make a block: enough for zstd to find what repeats, few enough that a
// look-up reads little.
const blockRaw = 128 << 10

func bits(v float64) uint64  { return math.Float64bits(v) }
func float(v uint64) float64 { return math.Float64frombits(v) }

// Writer writes one file. After an error nothing more is written.
type Writer struct {
	w       io.Writer
	header  *tracepb.Header
	enc     *zstd.Encoder
	at      int64
	raw     []byte
	packed  []byte
	head    blockHead
	index   tracepb.Index
	err     error
	Records uint64
}

// NewWriter writes a file's header.
func NewWriter(w io.Writer, h *tracepb.Header) (*Writer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(h)
	if err != nil {
		return nil, err
	}
	if len(body) > mostHeader {
		return nil, fmt.Errorf("a header of %d bytes is over the limit of %d", len(body), mostHeader)
	}
	t := &Writer{w: w, header: h, enc: enc}
	b := append(make([]byte, 0, headSize+len(body)), magic...)
	b = binary.LittleEndian.AppendUint16(b, Major)
	b = binary.LittleEndian.AppendUint16(b, Minor)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(crc32.Checksum(b, checksums), checksums, body))
	t.write(append(b, body...))
	return t, t.err
}

func (t *Writer) write(b []byte) {
	if t.err != nil {
		return
	}
	n, err := t.w.Write(b)
	t.at += int64(n)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	t.err = err
}

// Append adds a record. It is in the file once its block is: after Flush, Close, or enough further records.
func (t *Writer) Append(r *Record) error {
	if t.err != nil {
		return t.err
	}
	size := proto.Size(r)
	if size > mostRaw-protowire.SizeVarint(mostRaw) {
		return fmt.Errorf("a record of %d bytes is over the limit of %d", size, mostRaw)
	}
	if len(t.raw) > 0 && len(t.raw)+size > blockRaw {
		if err := t.Flush(); err != nil {
			return err
		}
	}
	raw, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(protowire.AppendVarint(t.raw, uint64(size)), r)
	if err != nil {
		return err
	}
	t.raw = raw
	at := r.AtMs
	if int(r.Source) < len(t.header.Sources) {
		at += t.header.Sources[r.Source].WallMs
	}
	h := &t.head
	if h.records == 0 {
		h.firstMs, h.lastMs, h.firstRev, h.lastRev = at, at, r.Revision, r.Revision
	}
	h.firstMs, h.lastMs = min(h.firstMs, at), max(h.lastMs, at)
	h.firstRev, h.lastRev = min(h.firstRev, r.Revision), max(h.lastRev, r.Revision)
	h.records++
	t.Records++
	return nil
}

// Size is the number of bytes written so far.
func (t *Writer) Size() int64 { return t.at }

// Flush writes what was appended as a block.
func (t *Writer) Flush() error {
	if t.head.records == 0 || t.err != nil {
		return t.err
	}
	t.index.Blocks = append(t.index.Blocks, &tracepb.Block{
		Offset: uint64(t.at), Records: uint64(t.head.records), FirstMs: t.head.firstMs, LastMs: t.head.lastMs,
		FirstRevision: t.head.firstRev, LastRevision: t.head.lastRev,
	})
	t.head.kind = recordsKind
	t.block(t.raw)
	t.raw, t.head = t.raw[:0], blockHead{}
	return t.err
}

func (t *Writer) block(raw []byte) {
	t.packed = t.enc.EncodeAll(raw, t.packed[:0])
	t.head.raw, t.head.packed = uint32(len(raw)), uint32(len(t.packed))
	t.head.payloadSum = crc32.Checksum(t.packed, checksums)
	// One write a block: a kill leaves a block cut off, not two half written.
	t.write(append(t.head.encode(), t.packed...))
}

// Close writes what is left, and the index. It does not close what it writes to.
func (t *Writer) Close() error {
	if err := t.Flush(); err != nil {
		return err
	}
	raw, err := proto.Marshal(&t.index)
	if err != nil {
		return err
	}
	if len(raw) > mostRaw {
		return nil // readers make an index of their own
	}
	at := t.at
	t.head = blockHead{kind: indexKind}
	t.block(raw)
	foot := binary.LittleEndian.AppendUint64(nil, uint64(at))
	foot = binary.LittleEndian.AppendUint32(foot, uint32(t.at-at))
	foot = binary.LittleEndian.AppendUint32(foot, crc32.Checksum(foot, checksums))
	t.write(append(foot, footMagic...))
	err = t.err
	if t.err == nil {
		t.err = fmt.Errorf("the trace is closed")
	}
	t.enc.Close()
	return err
}
