// Package trace reads and writes grebeglade's trace files: what allocators were asked and what they decided.
//
// A file is a header, blocks of records compressed with zstd, and an index; docs/trace-format.md specifies it
// byte by byte. A block that was written whole can be read, whatever happened after it. Times are milliseconds;
// a file's order is that of its records. Readers and writers belong to one goroutine each.
package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/klauspost/compress/zstd"

	"grebeglade/trace/tracepb"
)

//go:generate protoc --proto_path=.. --go_out=.. --go_opt=module=grebeglade trace/tracepb/trace.proto

// Record is one call, decision or event.
type Record = tracepb.Record

// Major and Minor are the version that this package writes. It reads every minor of its major: fields that it
// does not know are ignored.
const (
	Major = 1
	Minor = 1 // records of gangs
)

const (
	magic       = "gbtrace\n"
	blockMagic  = 0x4b4c4247 // "GBLK", little-endian
	footMagic   = "gbindex\n"
	headSize    = 8 + 2 + 2 + 4 + 4 // magic, major, minor, length of the header message, checksum
	blockSize   = 64                // of what stands in front of a block's bytes
	footSize    = 8 + 4 + 4 + 8     // offset and length of the index, checksum, magic
	mostRaw     = 16 << 20          // bytes of a block's records; more is no block
	mostHeader  = 1 << 20
	recordsKind = 1
	indexKind   = 2
)

var (
	// ErrEmpty means a file without even a header, as a crash right after its making leaves it.
	ErrEmpty = errors.New("the file is empty")
	// ErrNotTrace means that the file is something else.
	ErrNotTrace = errors.New("not a trace file")

	checksums = crc32.MakeTable(crc32.Castagnoli)
)

// VersionError means a file of a later major version.
type VersionError struct{ Major, Minor uint16 }

func (e VersionError) Error() string {
	return fmt.Sprintf("the trace is of format %d.%d and this program reads %d.x: read it with a newer grebeglade",
		e.Major, e.Minor, Major)
}

// Damage is a part of a file that cannot be read.
type Damage struct {
	Offset int64
	Lost   uint64 // records, where it is known how many
	What   string
}

func (d Damage) Error() string {
	if d.Lost > 0 {
		return fmt.Sprintf("at byte %d: %s; %d records cannot be read", d.Offset, d.What, d.Lost)
	}
	return fmt.Sprintf("at byte %d: %s", d.Offset, d.What)
}

// blockHead stands in front of a block's bytes.
type blockHead struct {
	kind            uint32
	packed, raw     uint32 // bytes, compressed and not
	records         uint32
	firstMs, lastMs float64
	firstRev        uint64
	lastRev         uint64
	payloadSum      uint32
}

func (h *blockHead) encode() []byte {
	b := make([]byte, 0, blockSize)
	le := binary.LittleEndian
	for _, v := range []uint32{blockMagic, h.kind, h.packed, h.raw, h.records} {
		b = le.AppendUint32(b, v)
	}
	b = le.AppendUint32(b, h.payloadSum)
	b = le.AppendUint64(b, bits(h.firstMs))
	b = le.AppendUint64(b, bits(h.lastMs))
	b = le.AppendUint64(b, h.firstRev)
	b = le.AppendUint64(b, h.lastRev)
	b = le.AppendUint32(b, 0)
	return le.AppendUint32(b, crc32.Checksum(b, checksums))
}

func decodeBlockHead(b []byte) (blockHead, error) {
	le := binary.LittleEndian
	if le.Uint32(b) != blockMagic {
		return blockHead{}, errors.New("no block begins here")
	}
	if crc32.Checksum(b[:blockSize-4], checksums) != le.Uint32(b[blockSize-4:]) {
		return blockHead{}, errors.New("the block's head is damaged")
	}
	h := blockHead{
		kind: le.Uint32(b[4:]), packed: le.Uint32(b[8:]), raw: le.Uint32(b[12:]), records: le.Uint32(b[16:]),
		payloadSum: le.Uint32(b[20:]), firstMs: float(le.Uint64(b[24:])), lastMs: float(le.Uint64(b[32:])),
		firstRev: le.Uint64(b[40:]), lastRev: le.Uint64(b[48:]),
	}
	if h.raw > mostRaw || h.packed > mostRaw {
		return blockHead{}, fmt.Errorf("a block of %d bytes is over the limit of %d", max(h.raw, h.packed), mostRaw)
	}
	return h, nil
}

// unpack checks and decompresses a block's bytes.
func (h *blockHead) unpack(d *zstd.Decoder, packed, into []byte) ([]byte, error) {
	if crc32.Checksum(packed, checksums) != h.payloadSum {
		return nil, errors.New("the block's bytes are damaged")
	}
	raw, err := d.DecodeAll(packed, into[:0])
	if err != nil {
		return nil, fmt.Errorf("the block cannot be decompressed: %w", err)
	}
	if len(raw) != int(h.raw) {
		return nil, fmt.Errorf("the block holds %d bytes, not %d", len(raw), h.raw)
	}
	return raw, nil
}
