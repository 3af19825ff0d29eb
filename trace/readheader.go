package trace

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"grebeglade/trace/tracepb"
)

// Offsets in the file header.
const (
	majorOffset    = len(magic)
	minorOffset    = majorOffset + 2
	lengthOffset   = minorOffset + 2
	checksumOffset = lengthOffset + 4 // the checksum covers the bytes before it, and the header message
)

// Offsets in the footer.
const (
	indexLengthOffset    = 8
	footerChecksumOffset = indexLengthOffset + 4 // the checksum covers the bytes before it
	footerMagicOffset    = footerChecksumOffset + 4
)

// readHeader reads the file header, and returns the offset of the first block.
func (r *Reader) readHeader() (int64, error) {
	var fixed [headerSize]byte
	size, err := r.readAt(fixed[:], 0)
	if err != nil {
		return 0, err
	}
	if prefixSize := min(size, len(magic)); string(fixed[:prefixSize]) != magic[:prefixSize] {
		return 0, ErrNotTrace
	}
	if size < headerSize {
		return 0, DamageError{Problem: "the file ends within its header"}
	}
	major := binary.LittleEndian.Uint16(fixed[majorOffset:])
	minor := binary.LittleEndian.Uint16(fixed[minorOffset:])
	if major > Major {
		return 0, VersionError{Major: major, Minor: minor}
	}
	length := int64(binary.LittleEndian.Uint32(fixed[lengthOffset:]))
	if length > min(maxHeaderSize, r.size-headerSize) {
		return 0, DamageError{Problem: "the file ends within its header, or the header is damaged"}
	}
	message := make([]byte, length)
	if _, err := r.readAt(message, headerSize); err != nil {
		return 0, err
	}
	if checksumConcat(fixed[:checksumOffset], message) != binary.LittleEndian.Uint32(fixed[checksumOffset:]) {
		return 0, DamageError{Problem: "the checksum of the header does not match"}
	}
	r.Minor = minor
	r.Header = &tracepb.Header{}
	if err := proto.Unmarshal(message, r.Header); err != nil {
		return 0, DamageError{Problem: "the header cannot be decoded"}
	}
	return headerSize + length, nil
}

// readIndex reads the index at the end of the file. It returns false if the index is damaged or missing, as in a file
// that was not closed. The first block begins at offset first.
func (r *Reader) readIndex(first int64) bool {
	offset, found := r.readFooter(first)
	if !found {
		return false
	}
	header, raw, err := r.readBlock(offset, nil)
	if err != nil || header.kind != indexBlock {
		return false
	}
	var index tracepb.Index
	if proto.Unmarshal(raw, &index) != nil {
		return false
	}
	r.blocks = index.Blocks
	return true
}

// readFooter returns the offset of the index block, false if the file does not end in a valid footer.
func (r *Reader) readFooter(first int64) (offset int64, found bool) {
	if r.size < first+footerSize {
		return 0, false
	}
	var footer [footerSize]byte
	if _, err := r.input.ReadAt(footer[:], r.size-footerSize); err != nil {
		return 0, false
	}
	stored := binary.LittleEndian.Uint32(footer[footerChecksumOffset:])
	if string(footer[footerMagicOffset:]) != footerMagic || checksum(footer[:footerChecksumOffset]) != stored {
		return 0, false
	}
	index := binary.LittleEndian.Uint64(footer[:])
	length := binary.LittleEndian.Uint32(footer[indexLengthOffset:])
	if index > uint64(r.size) || int64(index)+int64(length) != r.size-footerSize {
		return 0, false
	}
	return int64(index), true
}
