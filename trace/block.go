package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/klauspost/compress/zstd"

	"grebeglade/trace/tracepb"
)

// blockHeader precedes the compressed bytes of a block. The times and revisions are the least and the greatest of its
// records.
type blockHeader struct {
	kind               uint32
	packedSize         uint32 // of the compressed bytes
	rawSize            uint32 // of the uncompressed bytes
	records            uint32
	compressedChecksum uint32
	firstMs            float64 // Unix time
	lastMs             float64 // Unix time
	firstRevision      uint64
	lastRevision       uint64
}

// include extends the ranges of times and revisions by a record.
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

// indexEntry returns the index's entry of a block at an offset.
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

// size returns the bytes of the whole block.
func (h *blockHeader) size() int64 { return blockHeaderSize + int64(h.packedSize) }

// encode returns the header's bytes, as docs/trace-format.md lays them out.
func (h *blockHeader) encode() []byte {
	order := binary.LittleEndian
	encoded := make([]byte, 0, blockHeaderSize)
	encoded = order.AppendUint32(encoded, blockMagic)
	encoded = order.AppendUint32(encoded, h.kind)
	encoded = order.AppendUint32(encoded, h.packedSize)
	encoded = order.AppendUint32(encoded, h.rawSize)
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
		packedSize:         order.Uint32(b[8:]),
		rawSize:            order.Uint32(b[12:]),
		records:            order.Uint32(b[16:]),
		compressedChecksum: order.Uint32(b[20:]),
		firstMs:            math.Float64frombits(order.Uint64(b[24:])),
		lastMs:             math.Float64frombits(order.Uint64(b[32:])),
		firstRevision:      order.Uint64(b[40:]),
		lastRevision:       order.Uint64(b[48:]),
	}
	if size := max(header.rawSize, header.packedSize); size > maxBlockSize {
		return blockHeader{}, SizeError{
			Part:  "a block",
			Size:  int(size),
			Limit: maxBlockSize,
		}
	}
	return header, nil
}

// decompress checks and decompresses a block's bytes. It reuses the memory of into.
func (h *blockHeader) decompress(decoder *zstd.Decoder, packed, into []byte) ([]byte, error) {
	if checksum(packed) != h.compressedChecksum {
		return nil, errors.New("the checksum of the block does not match")
	}
	raw, err := decoder.DecodeAll(packed, into[:0])
	if err != nil {
		return nil, fmt.Errorf("the block cannot be decompressed: %w", err)
	}
	if len(raw) != int(h.rawSize) {
		return nil, fmt.Errorf("the block holds %d bytes, not %d", len(raw), h.rawSize)
	}
	return raw, nil
}
