package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/klauspost/compress/zstd"

	"grebeglade/trace/tracepb"
)

// blockHeader precedes the compressed contents of a block. The first and last times and revisions are the minimum and
// maximum over its records.
type blockHeader struct {
	kind               uint32
	compressedSize     uint32  // size of the compressed contents in bytes
	uncompressedSize   uint32  // size of the uncompressed contents in bytes
	records            uint32  // number of records
	compressedChecksum uint32  // checksum of the compressed contents
	firstMs            float64 // Unix time in milliseconds
	lastMs             float64 // Unix time in milliseconds
	firstRevision      uint64
	lastRevision       uint64
}

// include counts a record and extends the ranges of times and revisions to it.
func (h *blockHeader) include(unixMs float64, revision uint64) {
	if h.records == 0 {
		h.firstMs = unixMs
		h.lastMs = unixMs
		h.firstRevision = revision
		h.lastRevision = revision
	}
	h.firstMs = min(h.firstMs, unixMs)
	h.lastMs = max(h.lastMs, unixMs)
	h.firstRevision = min(h.firstRevision, revision)
	h.lastRevision = max(h.lastRevision, revision)
	h.records++
}

// indexEntry returns the index entry of the block, which begins at the given offset of the file.
func (h *blockHeader) indexEntry(offset int64) *tracepb.Block {
	return &tracepb.Block{
		Offset:        uint64(offset),
		Records:       uint64(h.records),
		FirstMs:       h.firstMs,
		LastMs:        h.lastMs,
		FirstRevision: h.firstRevision,
		LastRevision:  h.lastRevision,
	}
}

// size returns the size of the block in bytes, including the header.
func (h *blockHeader) size() int64 { return blockHeaderSize + int64(h.compressedSize) }

// encode returns the header in the layout that docs/trace-format.md specifies.
func (h *blockHeader) encode() []byte {
	order := binary.LittleEndian
	encoded := make([]byte, 0, blockHeaderSize)
	encoded = order.AppendUint32(encoded, blockMagic)
	encoded = order.AppendUint32(encoded, h.kind)
	encoded = order.AppendUint32(encoded, h.compressedSize)
	encoded = order.AppendUint32(encoded, h.uncompressedSize)
	encoded = order.AppendUint32(encoded, h.records)
	encoded = order.AppendUint32(encoded, h.compressedChecksum)
	encoded = order.AppendUint64(encoded, math.Float64bits(h.firstMs))
	encoded = order.AppendUint64(encoded, math.Float64bits(h.lastMs))
	encoded = order.AppendUint64(encoded, h.firstRevision)
	encoded = order.AppendUint64(encoded, h.lastRevision)
	encoded = order.AppendUint32(encoded, 0) // reserved
	return order.AppendUint32(encoded, checksum(encoded))
}

// decodeBlockHeader decodes the first blockHeaderSize bytes of b.
func decodeBlockHeader(b []byte) (blockHeader, error) {
	order := binary.LittleEndian
	if order.Uint32(b) != blockMagic {
		return blockHeader{}, errors.New("no block begins here")
	}
	if checksum(b[:blockHeaderSize-4]) != order.Uint32(b[blockHeaderSize-4:]) {
		return blockHeader{}, errors.New("the checksum of the block's header does not match")
	}
	header := blockHeader{
		kind:               order.Uint32(b[4:]),
		compressedSize:     order.Uint32(b[8:]),
		uncompressedSize:   order.Uint32(b[12:]),
		records:            order.Uint32(b[16:]),
		compressedChecksum: order.Uint32(b[20:]),
		firstMs:            math.Float64frombits(order.Uint64(b[24:])),
		lastMs:             math.Float64frombits(order.Uint64(b[32:])),
		firstRevision:      order.Uint64(b[40:]),
		lastRevision:       order.Uint64(b[48:]),
	}
	if size := max(header.uncompressedSize, header.compressedSize); size > maxBlockSize {
		return blockHeader{}, SizeError{
			Part:  "a block",
			Size:  int(size),
			Limit: maxBlockSize,
		}
	}
	return header, nil
}

// decompress verifies the checksum of a block's compressed contents and decompresses them. It reuses the memory of
// buffer.
func (h *blockHeader) decompress(decoder *zstd.Decoder, compressed, buffer []byte) ([]byte, error) {
	if checksum(compressed) != h.compressedChecksum {
		return nil, errors.New("the checksum of the block does not match")
	}
	raw, err := decoder.DecodeAll(compressed, buffer[:0])
	if err != nil {
		return nil, fmt.Errorf("the block cannot be decompressed: %w", err)
	}
	if len(raw) != int(h.uncompressedSize) {
		return nil, fmt.Errorf("the block holds %d bytes, not %d", len(raw), h.uncompressedSize)
	}
	return raw, nil
}
