// Package trace reads and writes grebeglade's trace files. They record the requests that allocators received, the calls
// to their placement module, and its decisions.
//
// A file consists of a header, blocks of records compressed with zstd, and an index; docs/trace-format.md specifies it
// byte by byte. A completely written block stays readable even if the file is truncated or damaged after it. Records
// are read in the order in which they were appended. Times are milliseconds. Each reader and each writer is for use by
// one goroutine.
package trace

import (
	"hash/crc32"

	"grebeglade/trace/tracepb"
)

//go:generate protoc --proto_path=.. --go_out=.. --go_opt=module=grebeglade trace/tracepb/trace.proto

// Record is one entry of a trace: a call to the placement module with its decision, or another event.
type Record = tracepb.Record

// Major and Minor are the format version that this package writes. It reads every minor version of Major and ignores
// fields that it does not define.
const (
	Major = 1
	Minor = 1 // 1.1 added the gang records
)

// Magic strings and sizes of the file format; sizes are in bytes. The file header consists of magic, major and minor
// version, length of the header message, checksum, and the message. The footer consists of the offset and length of the
// index block, checksum, and footerMagic.
const (
	magic           = "gbtrace\n"
	footerMagic     = "gbindex\n"
	headerSize      = 8 + 2 + 2 + 4 + 4 // fixed part, without the message
	footerSize      = 8 + 4 + 4 + 8
	blockMagic      = 0x4b4c4247 // "GBLK", little-endian
	blockHeaderSize = 64
	maxBlockSize    = 16 << 20 // limit of a block's contents, both compressed and uncompressed
	maxHeaderSize   = 1 << 20  // limit of the header message
)

// Kinds of blocks. Readers skip blocks of other kinds.
const (
	recordBlock = 1
	indexBlock  = 2
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, checksumTable) }

// checksumConcat returns the checksum of the concatenated parts.
func checksumConcat(parts ...[]byte) (sum uint32) {
	for _, part := range parts {
		sum = crc32.Update(sum, checksumTable, part)
	}
	return sum
}
