package simulator

import (
	"encoding/binary"
	"fmt"
	"math"
)

// fieldReader reads the fields of one record in order. The first failed read sets err; that read and all later ones
// return zero values.
type fieldReader struct {
	data   []byte
	offset int
	err    error
}

// bytes returns the next n bytes. If fewer are left, it sets err and returns nil.
func (r *fieldReader) bytes(n int) []byte {
	if r.err == nil && (n < 0 || n > r.remaining()) {
		r.err = fmt.Errorf("field of %d bytes at offset %d exceeds the record's %d bytes", n, r.offset, len(r.data))
	}
	if r.err != nil {
		return nil
	}
	r.offset += n
	return r.data[r.offset-n : r.offset]
}

// remaining returns the number of unread bytes.
func (r *fieldReader) remaining() int { return len(r.data) - r.offset }

// skip reads and discards n bytes.
func (r *fieldReader) skip(n int) { r.bytes(n) }

func (r *fieldReader) uint8() uint8 {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *fieldReader) uint16() uint16 {
	if b := r.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *fieldReader) uint32() uint32 {
	if b := r.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *fieldReader) uint64() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *fieldReader) float32() float64 { return float64(math.Float32frombits(r.uint32())) }

// count returns n if the rest of the record can hold n elements of size bytes. Otherwise it sets err and returns 0, so
// that a count field alone allocates no memory.
func (r *fieldReader) count(n, size int) int {
	if r.err == nil && n > r.remaining()/size {
		r.err = fmt.Errorf("count of %d elements of %d bytes at offset %d exceeds the record's %d bytes",
			n, size, r.offset, len(r.data))
	}
	if r.err != nil {
		return 0
	}
	return n
}
