package trace

import (
	"encoding/binary"
	"io"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"grebeglade/trace/tracepb"
)

// targetBlockSize is how many bytes of records make a block: enough for zstd to find what repeats, few enough that a
// look-up reads little.
const targetBlockSize = 128 << 10

// maxRecordSize leaves room for a record's length in its block.
var maxRecordSize = maxBlockSize - protowire.SizeVarint(maxBlockSize)

// Writer writes one file. After a failed write nothing more is written, and every method returns that error.
type Writer struct {
	Records uint64 // appended so far

	w       io.Writer
	header  *tracepb.Header
	encoder *zstd.Encoder
	offset  int64
	raw     []byte // records of the next block
	packed  []byte
	head    blockHead // of the next block
	index   tracepb.Index
	err     error
}

// NewWriter writes a file's header.
func NewWriter(w io.Writer, h *tracepb.Header) (*Writer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	t := &Writer{w: w, header: h, encoder: encoder}
	b, err := encodeHeader(h)
	if err != nil {
		return nil, err
	}
	t.write(b)
	return t, t.err
}

func encodeHeader(h *tracepb.Header) ([]byte, error) {
	message, err := proto.MarshalOptions{Deterministic: true}.Marshal(h)
	if err != nil {
		return nil, err
	}
	if len(message) > maxHeaderSize {
		return nil, SizeError{Part: "a header", Size: len(message), Limit: maxHeaderSize}
	}
	b := append(make([]byte, 0, headerSize+len(message)), magic...)
	b = binary.LittleEndian.AppendUint16(b, Major)
	b = binary.LittleEndian.AppendUint16(b, Minor)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(message)))
	b = binary.LittleEndian.AppendUint32(b, checksumOf(b, message))
	return append(b, message...), nil
}

func (t *Writer) write(b []byte) {
	if t.err != nil {
		return
	}
	n, err := t.w.Write(b)
	t.offset += int64(n)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	t.err = err
}

// Append adds a record. It is in the file once its block is: after Flush, Close, or enough further records. A record
// that is too large is a SizeError, after which the writer can still be used.
func (t *Writer) Append(r *Record) error {
	if t.err != nil {
		return t.err
	}
	size := proto.Size(r)
	if size > maxRecordSize {
		return SizeError{Part: "a record", Size: size, Limit: maxBlockSize}
	}
	if len(t.raw) > 0 && len(t.raw)+size > targetBlockSize {
		if err := t.Flush(); err != nil {
			return err
		}
	}
	raw, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(protowire.AppendVarint(t.raw, uint64(size)), r)
	if err != nil {
		return err
	}
	t.raw = raw
	t.head.include(unixMillis(t.header, r), r.Revision)
	t.Records++
	return nil
}

// Size returns the number of bytes written so far.
func (t *Writer) Size() int64 { return t.offset }

// blocks returns the number of blocks of records written so far.
func (t *Writer) blocks() int { return len(t.index.Blocks) }

// Flush writes what was appended as a block.
func (t *Writer) Flush() error {
	if t.head.records == 0 || t.err != nil {
		return t.err
	}
	t.index.Blocks = append(t.index.Blocks, t.head.indexEntry(t.offset))
	t.head.kind = blockOfRecords
	t.writeBlock(t.raw)
	t.raw, t.head = t.raw[:0], blockHead{}
	return t.err
}

// writeBlock writes a block in one call, so that a kill leaves at most one block truncated.
func (t *Writer) writeBlock(raw []byte) {
	t.packed = t.encoder.EncodeAll(raw, t.packed[:0])
	t.head.rawSize, t.head.packedSize = uint32(len(raw)), uint32(len(t.packed))
	t.head.compressedChecksum = checksum(t.packed)
	t.write(append(t.head.encode(), t.packed...))
}

// Close writes what is left, and the index. It does not close the underlying writer.
func (t *Writer) Close() error {
	if err := t.Flush(); err != nil {
		return err
	}
	index, err := proto.Marshal(&t.index)
	if err != nil {
		return err
	}
	if len(index) > maxBlockSize {
		return nil // readers rebuild the index by a scan
	}
	t.writeIndex(index)
	if t.err != nil {
		return t.err
	}
	t.err = ErrClosed
	return t.encoder.Close()
}

func (t *Writer) writeIndex(index []byte) {
	start := t.offset
	t.head = blockHead{kind: blockOfIndex}
	t.writeBlock(index)
	footer := binary.LittleEndian.AppendUint64(nil, uint64(start))
	footer = binary.LittleEndian.AppendUint32(footer, uint32(t.offset-start))
	footer = binary.LittleEndian.AppendUint32(footer, checksum(footer))
	t.write(append(footer, footMagic...))
}

// unixMillis returns a record's Unix time in milliseconds, by its source's clock.
func unixMillis(h *tracepb.Header, r *Record) float64 {
	if int(r.Source) < len(h.Sources) {
		return r.AtMs + h.Sources[r.Source].WallMs
	}
	return r.AtMs
}
