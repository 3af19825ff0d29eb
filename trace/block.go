package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/klauspost/compress/zstd"

	"grebeglade/trace/tracepb"
)

// blockHead precedes the compressed bytes of a block.
type blockHead struct {
	kind               uint32
	packedSize         uint32 // of the compressed bytes
	rawSize            uint32 // of the uncompressed bytes
	records            uint32
	firstMs, lastMs    float64 // Unix time, least and greatest
	firstRev, lastRev  uint64  // least and greatest
	compressedChecksum uint32
}

// include extends the ranges of time and revisions by a record.
func (h *blockHead) include(unixMs float64, revision uint64) {
	if h.records == 0 {
		h.firstMs, h.lastMs, h.firstRev, h.lastRev = unixMs, unixMs, revision, revision
	}
	h.firstMs, h.lastMs = min(h.firstMs, unixMs), max(h.lastMs, unixMs)
	h.firstRev, h.lastRev = min(h.firstRev, revision), max(h.lastRev, revision)
	h.records++
}

// indexEntry returns the index's entry of a block at an offset.
func (h *blockHead) indexEntry(offset int64) *tracepb.Block {
	return &tracepb.Block{
		Offset: uint64(offset), Records: uint64(h.records), FirstMs: h.firstMs, LastMs: h.lastMs,
		FirstRevision: h.firstRev, LastRevision: h.lastRev,
	}
}

// size returns the bytes of the whole block.
func (h *blockHead) size() int64 { return blockHeadSize + int64(h.packedSize) }

func (h *blockHead) encode() []byte {
	b := make([]byte, 0, blockHeadSize)
	le := binary.LittleEndian
	for _, v := range []uint32{blockMagic, h.kind, h.packedSize, h.rawSize, h.records, h.compressedChecksum} {
		b = le.AppendUint32(b, v)
	}
	for _, v := range []uint64{math.Float64bits(h.firstMs), math.Float64bits(h.lastMs), h.firstRev, h.lastRev} {
		b = le.AppendUint64(b, v)
	}
	b = le.AppendUint32(b, 0) // reserved
	return le.AppendUint32(b, checksum(b))
}

// decodeBlockHead decodes the first blockHeadSize bytes of b.
func decodeBlockHead(b []byte) (blockHead, error) {
	le := binary.LittleEndian
	if le.Uint32(b) != blockMagic {
		return blockHead{}, errors.New("no block begins here")
	}
	if checksum(b[:blockHeadSize-4]) != le.Uint32(b[blockHeadSize-4:]) {
		return blockHead{}, errors.New("the block's head is damaged")
	}
	h := blockHead{
		kind: le.Uint32(b[4:]), packedSize: le.Uint32(b[8:]), rawSize: le.Uint32(b[12:]), records: le.Uint32(b[16:]),
		compressedChecksum: le.Uint32(b[20:]),
		firstMs:            math.Float64frombits(le.Uint64(b[24:])), lastMs: math.Float64frombits(le.Uint64(b[32:])),
		firstRev: le.Uint64(b[40:]), lastRev: le.Uint64(b[48:]),
	}
	if size := max(h.rawSize, h.packedSize); size > maxBlockSize {
		return blockHead{}, SizeError{Part: "a block", Size: int(size), Limit: maxBlockSize}
	}
	return h, nil
}

// decompress checks and decompresses a block's bytes. It reuses the memory of into.
func (h *blockHead) decompress(d *zstd.Decoder, packed, into []byte) ([]byte, error) {
	if checksum(packed) != h.compressedChecksum {
		return nil, errors.New("the block's bytes are damaged")
	}
	raw, err := d.DecodeAll(packed, into[:0])
	if err != nil {
		return nil, fmt.Errorf("the block cannot be decompressed: %w", err)
	}
	if len(raw) != int(h.rawSize) {
		return nil, fmt.Errorf("the block holds %d bytes, not %d", len(raw), h.rawSize)
	}
	return raw, nil
}
