// Package trace reads and writes grebeglade's trace files: the requests that allocators received, the calls of their
// placement module, and what it decided.
//
// A file is a header, blocks of records compressed with zstd, and an index; docs/trace-format.md specifies it byte by
// byte. A block that was written completely can be read, whatever happened after it. Times are milliseconds; the order
// of a file is that of its records. Readers and writers are for use by one goroutine each.
package trace

import (
	"hash/crc32"

	"grebeglade/trace/tracepb"
)

//go:generate protoc --proto_path=.. --go_out=.. --go_opt=module=grebeglade trace/tracepb/trace.proto

// Record is one call, decision or event.
type Record = tracepb.Record

// Major and Minor are the version that this package writes. It reads every minor version of its major one: fields that
// it does not know are ignored.
const (
	Major = 1
	Minor = 1 // added records of gangs
)

// The file format, in bytes. A header is magic, major and minor version, length of the header message, checksum, and
// the message. A footer is offset and length of the index block, checksum, and footerMagic.
const (
	magic           = "gbtrace\n"
	footerMagic     = "gbindex\n"
	headerSize      = 8 + 2 + 2 + 4 + 4 // without the message
	footerSize      = 8 + 4 + 4 + 8
	blockMagic      = 0x4b4c4247 // "GBLK", little-endian
	blockHeaderSize = 64
	maxBlockSize    = 16 << 20 // of a block's records, uncompressed
	maxHeaderSize   = 1 << 20  // of the header message
)

// Kinds of blocks. Readers skip others.
const (
	blockOfRecords = 1
	blockOfIndex   = 2
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, checksumTable) }

// checksumOf returns the checksum of parts as if they were one.
func checksumOf(parts ...[]byte) (sum uint32) {
	for _, part := range parts {
		sum = crc32.Update(sum, checksumTable, part)
	}
	return sum
}
