package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

const (
	magic         = "gbstate\n" // first bytes of each file
	formatVersion = 1           // version of header and records

	// Byte offsets of header fields.
	versionOffset  = len(magic)
	numberOffset   = versionOffset + 2
	checksumOffset = numberOffset + 8
	headerSize     = checksumOffset + 4

	// A record is the length of its payload, a checksum of length and payload, and the payload.
	lengthSize       = 4
	recordHeaderSize = lengthSize + 4
	maxPayloadSize   = 64 << 20 // limit, in bytes; a larger length is corrupt, and no memory is allocated for it
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeHeader returns the header of the file with the given number.
func encodeHeader(number uint64) []byte {
	b := make([]byte, 0, headerSize)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint16(b, formatVersion)
	b = binary.LittleEndian.AppendUint64(b, number)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// checkHeader checks the header of the file with the given number. It returns ErrTruncated if the file ends within its
// header, and a *CorruptionError or a *VersionError if the header is invalid.
func checkHeader(name string, data []byte, number uint64) error {
	if len(data) < headerSize {
		return ErrTruncated
	}
	if string(data[:versionOffset]) != magic {
		return corruptHeader(name, ErrNotStateFile)
	}
	// A later version may have a different header, so its version is checked before the checksum.
	if v := binary.LittleEndian.Uint16(data[versionOffset:]); v > formatVersion {
		return &VersionError{File: name, Version: v}
	}
	if binary.LittleEndian.Uint32(data[checksumOffset:]) != crc32.Checksum(data[:checksumOffset], castagnoli) {
		return corruptHeader(name, ErrHeaderChecksum)
	}
	if stored := binary.LittleEndian.Uint64(data[numberOffset:]); stored != number {
		return corruptHeader(name, fmt.Errorf("the header has number %d", stored))
	}
	return nil
}

func corruptHeader(name string, cause error) error {
	return &CorruptionError{
		File:   name,
		Offset: 0,
		Err:    cause,
	}
}

// appendRecord appends a message with its length and checksum to b. On error it returns b unchanged.
func appendRecord(b []byte, m proto.Message) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, recordHeaderSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return b[:start], fmt.Errorf("encode record: %w", err)
	}
	record := b[start:]
	length := record[:lengthSize]
	payload := record[recordHeaderSize:]
	binary.LittleEndian.PutUint32(length, uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[lengthSize:], recordChecksum(length, payload))
	return b, nil
}

// recordChecksum returns the checksum of length and payload. Its initial value is all ones, so that a sequence of zeros
// is not a valid record.
func recordChecksum(length, payload []byte) uint32 {
	checksum := crc32.Update(^uint32(0), castagnoli, length)
	return crc32.Update(checksum, castagnoli, payload)
}

// decodeRecord returns the payload of the first record in data, and the bytes after the record.
func decodeRecord(data []byte) (payload, rest []byte, err error) {
	if len(data) < recordHeaderSize {
		return nil, nil, ErrTruncated
	}
	length := binary.LittleEndian.Uint32(data)
	if length > maxPayloadSize {
		return nil, nil, fmt.Errorf("a record has %d bytes, which is more than %d", length, maxPayloadSize)
	}
	body := data[recordHeaderSize:]
	if len(body) < int(length) {
		return nil, nil, ErrTruncated
	}
	payload = body[:length]
	stored := binary.LittleEndian.Uint32(data[lengthSize:])
	if stored != recordChecksum(data[:lengthSize], payload) {
		return nil, nil, ErrRecordChecksum
	}
	return payload, body[length:], nil
}

// findNextRecord returns the offset of the first valid record that begins after the first byte of data. Records with an
// empty payload are skipped, since none is ever written.
func findNextRecord(data []byte) (offset int, found bool) {
	for offset := 1; offset+recordHeaderSize < len(data); offset++ {
		if payload, _, err := decodeRecord(data[offset:]); err == nil && len(payload) > 0 {
			return offset, true
		}
	}
	return 0, false
}
