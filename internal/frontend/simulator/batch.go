package simulator

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	maxBatchSize     = 1 << 30 // bytes that a batch may claim to hold
	batchHeaderSize  = 4 + 8 + 4
	recordHeaderSize = 1 + 4
	sizedFrom        = 4 // offset from which the size of a batch counts, in bytes
)

// batch is what the simulator sends at one time.
type batch struct {
	time  uint64 // in nanoseconds
	count int    // of records
	body  []byte // the records
}

// record is one record of a batch.
type record struct {
	code   requestCode
	fields []byte
}

// RecordError reports a record that cannot be decoded, or that refers to something that was never sent.
type RecordError struct {
	Index  int // in its batch
	Code   uint8
	Offset int // in its batch
	Err    error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d (code %d) at byte %d: %v", e.Index, e.Code, e.Offset, e.Err)
}

func (e *RecordError) Unwrap() error { return e.Err }

// readBatch reads one batch. It returns io.EOF if the input ends between two batches, or right behind the size of a
// batch: the adapter exits with success in both cases.
func readBatch(r *bufio.Reader) (batch, error) {
	b, bodySize, err := readBatchHeader(r)
	if err != nil {
		return batch{}, err
	}
	// The body grows as it arrives, so that a claimed size alone allocates nothing.
	b.body, err = io.ReadAll(io.LimitReader(r, int64(bodySize)))
	if err != nil {
		return batch{}, fmt.Errorf("batch body: %w", err)
	}
	if len(b.body) < bodySize {
		return batch{}, fmt.Errorf("batch body cut short at byte %d of %d",
			batchHeaderSize+len(b.body), batchHeaderSize+bodySize)
	}
	return b, nil
}

// readBatchHeader reads the header of a batch, and returns it with the size of the body in bytes.
func readBatchHeader(r *bufio.Reader) (b batch, bodySize int, err error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r, header[:sizedFrom]); errors.Is(err, io.EOF) {
		return batch{}, 0, io.EOF
	} else if err != nil {
		return batch{}, 0, fmt.Errorf("batch header cut short: %w", err)
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size < batchHeaderSize-sizedFrom || size > maxBatchSize {
		return batch{}, 0, fmt.Errorf("batch header at byte 0 claims %d bytes", size)
	}
	if _, err := io.ReadFull(r, header[sizedFrom:]); err != nil {
		return batch{}, 0, fmt.Errorf("batch header cut short: %w", err)
	}
	b.time = binary.BigEndian.Uint64(header[sizedFrom:])
	b.count = int(binary.BigEndian.Uint32(header[sizedFrom+8:]))
	bodySize = size - (batchHeaderSize - sizedFrom)
	if b.count > bodySize/recordHeaderSize {
		return batch{}, 0, fmt.Errorf("batch of %d bytes claims %d records", size, b.count)
	}
	return b, bodySize, nil
}

// forEach calls handle for each record, until one fails with a *RecordError.
func (b batch) forEach(handle func(record) error) error {
	offset := 0
	for i := range b.count {
		start := batchHeaderSize + offset
		if len(b.body)-offset < recordHeaderSize {
			return fmt.Errorf("record %d at byte %d: header cut short", i, start)
		}
		code, fields, err := splitRecord(b.body[offset:])
		if err == nil {
			err = handle(record{code: code, fields: fields})
		}
		if err != nil {
			return &RecordError{
				Index:  i,
				Code:   uint8(code),
				Offset: start,
				Err:    err,
			}
		}
		offset += recordHeaderSize + len(fields)
	}
	if offset != len(b.body) {
		return fmt.Errorf("batch holds %d bytes after its last record at byte %d",
			len(b.body)-offset, batchHeaderSize+offset)
	}
	return nil
}

// splitRecord returns the code and the fields of the first record, whose header is complete.
func splitRecord(body []byte) (requestCode, []byte, error) {
	code := requestCode(body[0])
	size := int(binary.BigEndian.Uint32(body[1:]))
	rest := body[recordHeaderSize:]
	if size > len(rest) {
		return code, nil, fmt.Errorf("claims %d bytes, batch has %d left", size, len(rest))
	}
	return code, rest[:size], nil
}
