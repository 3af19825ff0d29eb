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

// targetBlockSize is the target size of a block's uncompressed records, in bytes. A larger record gets a separate
// block. The size is large enough for zstd to find repetitions, and small enough for a lookup to read little data.
const targetBlockSize = 128 << 10

// maxRecordSize is the size limit of an encoded record, in bytes. It leaves room for the record's length prefix.
var maxRecordSize = maxBlockSize - protowire.SizeVarint(maxBlockSize)

// Writer writes one trace file. After a failed write it writes nothing more, and Append, Flush and Close return that
// error.
type Writer struct {
	Records uint64 // number of records appended

	output     io.Writer
	header     *tracepb.Header
	encoder    *zstd.Encoder
	offset     int64       // bytes written
	raw        []byte      // uncompressed records of the block being filled
	compressed []byte      // buffer, reused for every block
	next       blockHeader // header of the block being filled
	index      tracepb.Index
	err        error
}

// NewWriter writes the file header to output and returns a writer. For a header that is too large the error is a
// SizeError.
func NewWriter(output io.Writer, header *tracepb.Header) (*Writer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("create the zstd encoder of a trace: %w", err)
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

// encodeHeader returns the encoded file header. The error is a SizeError if the message exceeds maxHeaderSize.
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
	encoded = order.AppendUint32(encoded, checksumConcat(encoded, message))
	return append(encoded, message...), nil
}

// write writes bytes in one call, and stores the first error in w.err.
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

// Append adds a record. The record is written to the file with its block: by Flush, by Close, or once further records
// fill the block. For a record that is too large the error is a SizeError, and the writer stays usable.
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

// Flush writes the records appended since the last block as a block.
func (w *Writer) Flush() error {
	if w.next.records == 0 || w.err != nil {
		return w.err
	}
	w.index.Blocks = append(w.index.Blocks, w.next.indexEntry(w.offset))
	w.next.kind = recordBlock
	w.writeBlock(w.raw)
	w.raw = w.raw[:0]
	w.next = blockHeader{}
	return w.err
}

// writeBlock compresses a block and writes it in one call, so that a killed process leaves at most one truncated block.
func (w *Writer) writeBlock(raw []byte) {
	w.compressed = w.encoder.EncodeAll(raw, w.compressed[:0])
	w.next.uncompressedSize = uint32(len(raw))
	w.next.compressedSize = uint32(len(w.compressed))
	w.next.compressedChecksum = checksum(w.compressed)
	w.write(append(w.next.encode(), w.compressed...))
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
		return nil // readers rebuild a missing index by a scan
	}
	w.writeIndex(index)
	if w.err != nil {
		return w.err
	}
	w.err = ErrClosed
	if err := w.encoder.Close(); err != nil {
		return fmt.Errorf("close the zstd encoder of a trace: %w", err)
	}
	return nil
}

// writeIndex writes the index block and the footer that points to it.
func (w *Writer) writeIndex(index []byte) {
	start := w.offset
	w.next = blockHeader{kind: indexBlock}
	w.writeBlock(index)
	footer := binary.LittleEndian.AppendUint64(nil, uint64(start))
	footer = binary.LittleEndian.AppendUint32(footer, uint32(w.offset-start))
	footer = binary.LittleEndian.AppendUint32(footer, checksum(footer))
	w.write(append(footer, footerMagic...))
}

// unixMillis returns a record's Unix time in milliseconds by its source's clock, or AtMs if the header does not list
// the source.
func unixMillis(h *tracepb.Header, r *Record) float64 {
	if int(r.Source) < len(h.Sources) {
		return r.AtMs + h.Sources[r.Source].WallMs
	}
	return r.AtMs
}
