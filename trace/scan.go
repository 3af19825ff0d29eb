package trace

import (
	"encoding/binary"
	"errors"
	"io"
)

// scan builds the index from the block headers, beginning at offset. It adds damaged parts to r.Damage and continues at
// the next intact block header.
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
		if header.kind != indexBlock {
			r.blocks = append(r.blocks, header.indexEntry(offset))
		}
		offset += header.size()
		if header.kind == indexBlock && r.size-offset <= footerSize {
			return // only the index or the footer is damaged; no record is lost
		}
	}
}

// damageText returns the description of an error for DamageError.Problem.
func damageText(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return "the file ends within a block"
	}
	return err.Error()
}

// findBlockHeader returns the position of the first intact block header at or after offset.
func (r *Reader) findBlockHeader(offset int64) (at int64, found bool) {
	const (
		step      = 1 << 16
		magicSize = 4
		overlap   = magicSize - 1 // the magic of a block header may span two steps
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
