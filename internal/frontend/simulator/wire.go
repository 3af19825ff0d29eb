// Package simulator speaks the bench's wire and translates it into calls of the decision module.
package simulator

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// maxFrame bounds what a batch may claim to hold before any memory is set aside for it.
const maxFrame = 1 << 30

// Codes of incoming records.
const (
	inAttach    = 1
	inPong      = 2
	inNewTask   = 4
	inSettled   = 5
	inStanding  = 6
	inSheet     = 7
	inHint      = 8
	inDirectory = 9
	inDropped   = 10
	inLanded    = 11
	inPowerOff  = 12
	inWakeup    = 13
)

// Codes of outgoing records.
const (
	outBind     = 67
	outObserve  = 68
	outAbort    = 70
	outTest     = 71
	outTakeOff  = 72
	outAlarm    = 74
	outPushBack = 76
)

// fields reads the fields of one record in order. The first read past its end sets err.
type fields struct {
	b   []byte
	off int
	err error
}

func (f *fields) take(n int) []byte {
	if f.err != nil || n < 0 || len(f.b)-f.off < n {
		if f.err == nil {
			f.err = fmt.Errorf("needs %d bytes at %d of %d", n, f.off, len(f.b))
		}
		return nil
	}
	f.off += n
	return f.b[f.off-n : f.off]
}

func (f *fields) u8() uint8 {
	if b := f.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fields) u16() uint16 {
	if b := f.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *fields) u32() uint32 {
	if b := f.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *fields) u64() uint64 {
	if b := f.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (f *fields) f32() float64 { return float64(math.Float32frombits(f.u32())) }

func (f *fields) skip(n int) { f.take(n) }

// count reads a number of elements of the given size and checks that the record can hold them.
func (f *fields) count(n, size int) int {
	if f.err == nil && n > (len(f.b)-f.off)/size {
		f.err = fmt.Errorf("counts %d elements of %d bytes at %d of %d", n, size, f.off, len(f.b))
	}
	if f.err != nil {
		return 0
	}
	return n
}

// readBatch reads one batch and hands each record to handle. It returns io.EOF at a clean end of input.
func readBatch(r *bufio.Reader, handle func(clock uint64, code uint8, f *fields) error) error {
	var head [16]byte
	if _, err := io.ReadFull(r, head[:4]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("batch header cut short: %w", err)
	}
	size := int(binary.BigEndian.Uint32(head[:4]))
	if size < 12 || size > maxFrame {
		return fmt.Errorf("batch header at byte 0 claims %d bytes", size)
	}
	if _, err := io.ReadFull(r, head[4:]); err != nil {
		return fmt.Errorf("batch header cut short: %w", err)
	}
	clock := binary.BigEndian.Uint64(head[4:])
	count := int(binary.BigEndian.Uint32(head[12:]))
	left := size - 12
	if count > left/5 {
		return fmt.Errorf("batch of %d bytes claims %d records", size, count)
	}
	// The body grows as it arrives, so that a claimed size alone allocates nothing.
	body, err := io.ReadAll(io.LimitReader(r, int64(left)))
	if err != nil {
		return fmt.Errorf("batch body: %w", err)
	}
	if len(body) < left {
		return fmt.Errorf("batch body cut short at byte %d of %d", 16+len(body), 16+left)
	}
	at := 0
	for i := range count {
		if len(body)-at < 5 {
			return fmt.Errorf("record %d at byte %d: header cut short", i, 16+at)
		}
		code, n := body[at], int(binary.BigEndian.Uint32(body[at+1:]))
		if n > len(body)-at-5 {
			return fmt.Errorf("record %d (code %d) at byte %d: claims %d bytes, batch has %d left",
				i, code, 16+at, n, len(body)-at-5)
		}
		f := &fields{b: body[at+5 : at+5+n]}
		err := handle(clock, code, f)
		if err == nil {
			err = f.err
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d) at byte %d: %w", i, code, 16+at, err)
		}
		at += 5 + n
	}
	if at != len(body) {
		return fmt.Errorf("batch holds %d bytes after its last record at byte %d", len(body)-at, 16+at)
	}
	return nil
}

// reply collects the outgoing records of one batch.
type reply struct {
	n int
	b []byte
}

func (p *reply) record(code uint8, instance uint16, parts ...any) {
	p.b = append(p.b, code, 0, 0, 0, 0)
	start := len(p.b)
	p.b = binary.BigEndian.AppendUint16(p.b, instance)
	for _, part := range parts {
		switch v := part.(type) {
		case uint8:
			p.b = append(p.b, v)
		case uint32:
			p.b = binary.BigEndian.AppendUint32(p.b, v)
		case uint64:
			p.b = binary.BigEndian.AppendUint64(p.b, v)
		default:
			panic(fmt.Sprintf("simulator: no encoding for %T", part))
		}
	}
	binary.BigEndian.PutUint32(p.b[start-4:], uint32(len(p.b)-start))
	p.n++
}

func (p *reply) flush(w *bufio.Writer) error {
	var head [8]byte
	binary.BigEndian.PutUint32(head[:], uint32(p.n))
	binary.BigEndian.PutUint32(head[4:], uint32(len(p.b)))
	p.n = 0
	if _, err := w.Write(head[:]); err != nil {
		return err
	}
	if _, err := w.Write(p.b); err != nil {
		return err
	}
	p.b = p.b[:0]
	return w.Flush()
}
