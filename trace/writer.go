package trace

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"grebeglade/trace/tracepb"
)

// targetBlockSize is how many bytes of records make a block: enough for zstd to find repetitions, few enough that a
// look-up reads little.
const targetBlockSize = 128 << 10

// maxRecordSize leaves room for a record's length in its block.
var maxRecordSize = maxBlockSize - protowire.SizeVarint(maxBlockSize)

// Writer writes one file. After a failed write nothing more is written, and every method returns that error.
type Writer struct {
	Records uint64 // appended so far

	output  io.Writer
	header  *tracepb.Header
	encoder *zstd.Encoder
	offset  int64
	raw     []byte // records of the next block
	packed  []byte
	next    blockHeader // of the next block
	index   tracepb.Index
	err     error
}

// NewWriter writes a file's header.
func NewWriter(output io.Writer, header *tracepb.Header) (*Writer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("start the compression of a trace: %w", err)
	}
	writer := &Writer{
		output:  output,
		header:  header,
		encoder: encoder,
	}
	encoded, err := encodeHeader(header)
	if err != nil {
		return nil, err
	}
	writer.write(encoded)
	return writer, writer.err
}

// encodeHeader returns the bytes of a file's header.
func encodeHeader(h *tracepb.Header) ([]byte, error) {
	message, err := proto.MarshalOptions{Deterministic: true}.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode the header of a trace: %w", err)
	}
	if len(message) > maxHeaderSize {
		return nil, SizeError{
			Part:  "a header",
			Size:  len(message),
			Limit: maxHeaderSize,
		}
	}
	order := binary.LittleEndian
	encoded := make([]byte, 0, headerSize+len(message))
	encoded = append(encoded, magic...)
	encoded = order.AppendUint16(encoded, Major)
	encoded = order.AppendUint16(encoded, Minor)
	encoded = order.AppendUint32(encoded, uint32(len(message)))
	encoded = order.AppendUint32(encoded, checksumOf(encoded, message))
	return append(encoded, message...), nil
}

// write writes bytes in one call, and keeps the first error.
func (w *Writer) write(b []byte) {
	if w.err != nil {
		return
	}
	n, err := w.output.Write(b)
	w.offset += int64(n)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		w.err = fmt.Errorf("write to a trace: %w", err)
	}
}

// Append adds a record. It is in the file once its block is: after Flush, Close, or enough further records. A record
// that is too large is a SizeError, after which the writer can still be used.
func (w *Writer) Append(record *Record) error {
	if w.err != nil {
		return w.err
	}
	size := proto.Size(record)
	if size > maxRecordSize {
		return SizeError{
			Part:  "a record",
			Size:  size,
			Limit: maxBlockSize,
		}
	}
	if len(w.raw) > 0 && len(w.raw)+size > targetBlockSize {
		if err := w.Flush(); err != nil {
			return err
		}
	}
	raw := protowire.AppendVarint(w.raw, uint64(size))
	raw, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(raw, record)
	if err != nil {
		return fmt.Errorf("encode a record of a trace: %w", err)
	}
	w.raw = raw
	w.next.include(unixMillis(w.header, record), record.Revision)
	w.Records++
	return nil
}

// Size returns the number of bytes written so far.
func (w *Writer) Size() int64 { return w.offset }

// blocks returns the number of blocks of records written so far.
func (w *Writer) blocks() int { return len(w.index.Blocks) }

// Flush writes what was appended as a block.
func (w *Writer) Flush() error {
	if w.next.records == 0 || w.err != nil {
		return w.err
	}
	w.index.Blocks = append(w.index.Blocks, w.next.indexEntry(w.offset))
	w.next.kind = blockOfRecords
	w.writeBlock(w.raw)
	w.raw = w.raw[:0]
	w.next = blockHeader{}
	return w.err
}

// writeBlock writes a block in one call, so that a kill leaves at most one block truncated.
func (w *Writer) writeBlock(raw []byte) {
	w.packed = w.encoder.EncodeAll(raw, w.packed[:0])
	w.next.rawSize = uint32(len(raw))
	w.next.packedSize = uint32(len(w.packed))
	w.next.compressedChecksum = checksum(w.packed)
	w.write(append(w.next.encode(), w.packed...))
}

// Close writes the last block and the index. It does not close the underlying writer.
func (w *Writer) Close() error {
	if err := w.Flush(); err != nil {
		return err
	}
	index, err := proto.Marshal(&w.index)
	if err != nil {
		return fmt.Errorf("encode the index of a trace: %w", err)
	}
	if len(index) > maxBlockSize {
		return nil // readers rebuild the index by a scan
	}
	w.writeIndex(index)
	if w.err != nil {
		return w.err
	}
	w.err = ErrClosed
	if err := w.encoder.Close(); err != nil {
		return fmt.Errorf("end the compression of a trace: %w", err)
	}
	return nil
}

// writeIndex writes the index block and the footer that points to it.
func (w *Writer) writeIndex(index []byte) {
	start := w.offset
	w.next = blockHeader{kind: blockOfIndex}
	w.writeBlock(index)
	footer := binary.LittleEndian.AppendUint64(nil, uint64(start))
	footer = binary.LittleEndian.AppendUint32(footer, uint32(w.offset-start))
	footer = binary.LittleEndian.AppendUint32(footer, checksum(footer))
	w.write(append(footer, footerMagic...))
}

// unixMillis returns a record's Unix time in milliseconds, by its source's clock.
func unixMillis(h *tracepb.Header, r *Record) float64 {
	if int(r.Source) < len(h.Sources) {
		return r.AtMs + h.Sources[r.Source].WallMs
	}
	return r.AtMs
}
