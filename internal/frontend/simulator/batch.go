package simulator

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	maxBatchSize     = 1 << 30   // maximum value of a batch's size field, in bytes
	batchHeaderSize  = 4 + 8 + 4 // bytes of size, time and count
	recordHeaderSize = 1 + 4     // bytes of code and size
	sizeFieldLength  = 4         // bytes of a batch's size field, which it does not count
)

// batch is a group of records that the simulator sends together and that get one reply.
type batch struct {
	time  uint64 // simulated time, in ns
	count int    // number of records
	body  []byte // encoded records
}

// record is one record of a batch.
type record struct {
	code   requestCode
	fields []byte
}

// RecordError reports a record that cannot be decoded, has invalid settings, or refers to a node list that was never
// sent.
type RecordError struct {
	Index  int // index of the record in its batch
	Code   uint8
	Offset int // offset of the record from the beginning of its batch, in bytes
	Err    error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d (code %d) at byte %d: %v", e.Index, e.Code, e.Offset, e.Err)
}

func (e *RecordError) Unwrap() error { return e.Err }

// readBatch reads one batch. The error is or wraps io.EOF if the input ends between two batches, or immediately after
// the size field of a batch: the adapter exits with success in both cases.
func readBatch(r *bufio.Reader) (batch, error) {
	b, bodySize, err := readBatchHeader(r)
	if err != nil {
		return batch{}, err
	}
	// The buffer grows with the bytes read, so that a large size field alone allocates no memory.
	b.body, err = io.ReadAll(io.LimitReader(r, int64(bodySize)))
	if err != nil {
		return batch{}, fmt.Errorf("read batch body: %w", err)
	}
	if len(b.body) < bodySize {
		return batch{}, fmt.Errorf("batch truncated: read %d of %d bytes",
			batchHeaderSize+len(b.body), batchHeaderSize+bodySize)
	}
	return b, nil
}

// readBatchHeader reads the header of a batch, and returns it with the size of the body in bytes.
func readBatchHeader(r *bufio.Reader) (b batch, bodySize int, err error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r, header[:sizeFieldLength]); errors.Is(err, io.EOF) {
		return batch{}, 0, io.EOF
	} else if err != nil {
		return batch{}, 0, fmt.Errorf("batch header truncated: %w", err)
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size < batchHeaderSize-sizeFieldLength || size > maxBatchSize {
		return batch{}, 0, fmt.Errorf("batch size of %d bytes is out of bounds", size)
	}
	if _, err := io.ReadFull(r, header[sizeFieldLength:]); err != nil {
		return batch{}, 0, fmt.Errorf("batch header truncated: %w", err)
	}
	b.time = binary.BigEndian.Uint64(header[sizeFieldLength:])
	b.count = int(binary.BigEndian.Uint32(header[sizeFieldLength+8:]))
	bodySize = size - (batchHeaderSize - sizeFieldLength)
	if b.count > bodySize/recordHeaderSize {
		return batch{}, 0, fmt.Errorf("batch of %d bytes cannot hold %d records", size, b.count)
	}
	return b, bodySize, nil
}

// forEach calls handle for each record, up to the first error. An error of decoding or handling a record is returned as
// a *RecordError; other errors mean that the batch itself is malformed.
func (b batch) forEach(handle func(record) error) error {
	offset := 0
	for i := range b.count {
		start := batchHeaderSize + offset
		if len(b.body)-offset < recordHeaderSize {
			return fmt.Errorf("record %d at byte %d: truncated header", i, start)
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
		return fmt.Errorf("batch has %d bytes after its last record, which ends at byte %d",
			len(b.body)-offset, batchHeaderSize+offset)
	}
	return nil
}

// splitRecord returns the code and the fields of the first record. Its header must be complete.
func splitRecord(body []byte) (requestCode, []byte, error) {
	code := requestCode(body[0])
	size := int(binary.BigEndian.Uint32(body[1:]))
	rest := body[recordHeaderSize:]
	if size > len(rest) {
		return code, nil, fmt.Errorf("record size is %d bytes, but %d are left in the batch", size, len(rest))
	}
	return code, rest[:size], nil
}
