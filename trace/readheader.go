package trace

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"grebeglade/trace/tracepb"
)

// Offsets in a file's header.
const (
	majorOffset    = len(magic)
	minorOffset    = majorOffset + 2
	lengthOffset   = minorOffset + 2
	checksumOffset = lengthOffset + 4 // of the checksum, and the number of bytes in front of it that it covers
)

// Offsets in a footer.
const (
	indexLengthOffset    = 8
	footerChecksumOffset = indexLengthOffset + 4 // of the checksum, and the number of bytes that it covers
	footerMagicOffset    = footerChecksumOffset + 4
)

// readHeader reads the file's header, and returns the offset of the first block.
func (r *Reader) readHeader() (int64, error) {
	var fixed [headerSize]byte
	size, err := r.readAt(fixed[:], 0)
	if err != nil {
		return 0, err
	}
	if known := min(size, len(magic)); string(fixed[:known]) != magic[:known] {
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
	if checksumOf(fixed[:checksumOffset], message) != binary.LittleEndian.Uint32(fixed[checksumOffset:]) {
		return 0, DamageError{Problem: "the checksum of the header does not match"}
	}
	r.Minor = minor
	r.Header = &tracepb.Header{}
	if err := proto.Unmarshal(message, r.Header); err != nil {
		return 0, DamageError{Problem: "the header cannot be decoded"}
	}
	return headerSize + length, nil
}

// readIndex reads the index at the end of a file that was closed. It returns false if there is none that can be used.
func (r *Reader) readIndex(first int64) bool {
	offset, found := r.readFooter(first)
	if !found {
		return false
	}
	header, raw, err := r.readBlock(offset, nil)
	if err != nil || header.kind != blockOfIndex {
		return false
	}
	var index tracepb.Index
	if proto.Unmarshal(raw, &index) != nil {
		return false
	}
	r.blocks = index.Blocks
	return true
}

// readFooter returns the offset of the index block, false if there is no valid footer behind the first block.
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
