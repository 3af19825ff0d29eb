package trace

import (
	"io"
	"iter"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Span selects records by time, including both bounds. The zero value selects all records.
type Span struct {
	FromMs float64 // Unix time; 0 for no bound
	ToMs   float64 // Unix time; 0 for no bound
}

func (s Span) overlaps(first, last float64) bool {
	return (s.FromMs == 0 || last >= s.FromMs) && (s.ToMs == 0 || first <= s.ToMs)
}

// Records iterates over the records within a span in file order. For a block that cannot be read or decoded it
// yields a DamageError and continues with the next block. Blocks outside the span are not read.
func (r *Reader) Records(span Span) iter.Seq2[*Record, error] {
	return func(yield func(*Record, error) bool) {
		var raw []byte // reused for every block
		for _, block := range r.blocks {
			if !span.overlaps(block.FirstMs, block.LastMs) {
				continue
			}
			offset := int64(block.Offset)
			header, decompressed, err := r.readBlock(offset, raw)
			if err != nil {
				damage := DamageError{
					Offset:      offset,
					LostRecords: block.Records,
					Problem:     damageText(err),
				}
				if !yield(nil, damage) {
					return
				}
				continue
			}
			raw = decompressed
			if header.kind == recordBlock && !r.yieldRecords(raw, offset, span, yield) {
				return
			}
		}
	}
}

// yieldRecords yields the records within a span from the uncompressed contents of the block at offset. It returns false
// if the caller ended the iteration.
func (r *Reader) yieldRecords(raw []byte, offset int64, span Span, yield func(*Record, error) bool) bool {
	for len(raw) > 0 {
		size, prefix := protowire.ConsumeVarint(raw)
		if prefix < 0 || size > uint64(len(raw)-prefix) {
			return yield(nil, DamageError{Offset: offset, Problem: "a record is longer than its block"})
		}
		encoded := raw[prefix : prefix+int(size)]
		raw = raw[prefix+int(size):]
		record := &Record{}
		if err := proto.Unmarshal(encoded, record); err != nil {
			return yield(nil, DamageError{
				Offset:      offset,
				LostRecords: 1,
				Problem:     "a record cannot be decoded",
			})
		}
		if at := r.UnixMillis(record); span.overlaps(at, at) && !yield(record, nil) {
			return false
		}
	}
	return true
}

// readBlock reads and decompresses the block at offset. It reuses the memory of buffer.
func (r *Reader) readBlock(offset int64, buffer []byte) (header blockHeader, raw []byte, err error) {
	header, err = r.readBlockHeader(offset)
	if err != nil {
		return header, nil, err
	}
	compressed := make([]byte, header.compressedSize)
	if _, err := r.readAt(compressed, offset+blockHeaderSize); err != nil {
		return header, nil, err
	}
	raw, err = header.decompress(r.decoder, compressed, buffer)
	return header, raw, err
}

// readBlockHeader reads the header of the block at offset. The error is io.ErrUnexpectedEOF if the file ends within the
// block.
func (r *Reader) readBlockHeader(offset int64) (blockHeader, error) {
	if offset < 0 || offset > r.size-blockHeaderSize {
		return blockHeader{}, io.ErrUnexpectedEOF
	}
	var encoded [blockHeaderSize]byte
	if _, err := r.readAt(encoded[:], offset); err != nil {
		return blockHeader{}, err
	}
	header, err := decodeBlockHeader(encoded[:])
	if err != nil {
		return header, err
	}
	if offset+header.size() > r.size {
		return header, io.ErrUnexpectedEOF
	}
	return header, nil
}
