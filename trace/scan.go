package trace

import (
	"encoding/binary"
	"errors"
	"io"
)

// scan builds an index from the headers of the blocks. After a damaged one it continues with the next that is intact.
func (r *Reader) scan(offset int64) {
	for offset < r.size {
		header, err := r.readBlockHeader(offset)
		if err != nil {
			r.Damage = append(r.Damage, DamageError{Offset: offset, Problem: damageText(err)})
			next, found := r.findBlockHeader(offset + 1)
			if !found {
				return
			}
			offset = next
			continue
		}
		if header.kind != blockOfIndex {
			r.blocks = append(r.blocks, header.indexEntry(offset))
		}
		offset += header.size()
		if header.kind == blockOfIndex && r.size-offset <= footerSize {
			return // only the footer is damaged or truncated; no record is lost
		}
	}
}

// damageText returns what a DamageError says of an error.
func damageText(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return "the file ends within a block"
	}
	return err.Error()
}

// findBlockHeader finds the next intact block header from an offset on.
func (r *Reader) findBlockHeader(offset int64) (at int64, found bool) {
	const (
		step      = 1 << 16
		magicSize = 4
		overlap   = magicSize - 1 // a header's magic may lie across two steps
	)
	buffer := make([]byte, step+overlap)
	for ; offset < r.size; offset += step {
		size, err := r.readAt(buffer, offset)
		if err != nil {
			return 0, false
		}
		for i := 0; i+magicSize <= size; i++ {
			if binary.LittleEndian.Uint32(buffer[i:]) != blockMagic {
				continue
			}
			if _, err := r.readBlockHeader(offset + int64(i)); err == nil {
				return offset + int64(i), true
			}
		}
	}
	return 0, false
}
