package trace

import (
	"encoding/binary"
	"errors"
	"io"
)

// scan makes an index from the heads of the blocks. After a damaged one it goes on with the next that is intact.
func (t *Reader) scan(offset int64) {
	for offset < t.size {
		h, err := t.readHead(offset)
		if err != nil {
			t.Damage = append(t.Damage, Damage{Offset: offset, Problem: damageText(err)})
			next, found := t.findHead(offset + 1)
			if !found {
				return
			}
			offset = next
			continue
		}
		if h.kind != blockOfIndex {
			t.blocks = append(t.blocks, h.indexEntry(offset))
		}
		offset += h.size()
		if h.kind == blockOfIndex && t.size-offset <= footerSize {
			return // only the footer is damaged or cut off; no record is lost
		}
	}
}

func damageText(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return "the file is cut off in a block"
	}
	return err.Error()
}

// findHead finds the next intact block head from an offset on.
func (t *Reader) findHead(offset int64) (at int64, found bool) {
	const step, overlap = 1 << 16, 3 // a head's magic may lie across two steps
	buf := make([]byte, step+overlap)
	for ; offset < t.size; offset += step {
		n, err := t.readAt(buf, offset)
		if err != nil {
			return 0, false
		}
		for i := 0; i+4 <= n; i++ {
			if binary.LittleEndian.Uint32(buf[i:]) != blockMagic {
				continue
			}
			if _, err := t.readHead(offset + int64(i)); err == nil {
				return offset + int64(i), true
			}
		}
	}
	return 0, false
}
