// Package storage keeps what an allocator must know after a crash: the binds that are out, or may have run, of workloads
// whose effect must not come about twice.
//
// A directory holds snapshots and logs, numbered in one row. A log is a header and records, each with its length and a
// checksum (CRC-32C); a snapshot is the same with one record. A snapshot of a number holds what all logs of lower numbers
// say, so that what is read at a start follows from what is live and not from history. Every life, and every log that
// grew too long, begins a log of the next number; nothing is ever appended to a file of an earlier life, whose end may be
// torn. Times are Unix milliseconds, as they must mean something to the next life. docs/state.md tells operators of it.
package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"grebeglade/internal/storage/statepb"
)

//go:generate protoc --proto_path=../.. --go_out=../.. --go_opt=module=grebeglade internal/storage/statepb/state.proto

const (
	magic    = "gbstate\n"
	version  = 1
	headSize = len(magic) + 2 + 8 + 4 // magic, version, number, checksum
	recSize  = 4 + 4                  // length and checksum in front of a record
	mostRec  = 64 << 20               // bytes of one record; more is none
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// VersionError means a directory that a later program wrote.
type VersionError struct {
	File    string
	Version uint16
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s is of version %d and this program reads up to %d: start the program that wrote it, or a newer one",
		e.File, e.Version, version)
}

// DamageError means a file that holds more behind what cannot be read: it was not cut off by a crash, but changed.
type DamageError struct {
	File string
	At   int
	What string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; restore the directory from a backup, or see what 'grebeglade state repair' would drop",
		e.File, e.At, e.What)
}

func header(number uint64) []byte {
	b := append([]byte(magic), 0, 0)
	binary.LittleEndian.PutUint16(b[len(magic):], version)
	b = binary.LittleEndian.AppendUint64(b, number)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, checksums))
}

// appendRecord adds a message with its length and checksum. The length is under the checksum too: zeros are no record.
func appendRecord(b []byte, m proto.Message) ([]byte, error) {
	at := len(b)
	b = append(b, make([]byte, recSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return b[:at], err
	}
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-recSize))
	binary.LittleEndian.PutUint32(b[at+4:], sum(b[at:at+4], b[at+recSize:]))
	return b, nil
}

func sum(length, body []byte) uint32 {
	return crc32.Update(crc32.Update(^uint32(0), checksums, length), checksums, body)
}

// errCut means that a file ends in the middle of something.
var errCut = errors.New("it ends in the middle of a record")

// checkHeader reads a file's first bytes. A file that ends within them was never begun.
func checkHeader(name string, b []byte, number uint64) error {
	switch {
	case len(b) < headSize:
		return errCut
	case string(b[:len(magic)]) != magic:
		return &DamageError{name, 0, "it is no file of a state directory"}
	}
	if v := binary.LittleEndian.Uint16(b[len(magic):]); v > version {
		return &VersionError{name, v}
	}
	if binary.LittleEndian.Uint32(b[headSize-4:]) != crc32.Checksum(b[:headSize-4], checksums) {
		return &DamageError{name, 0, "its header does not agree with its checksum"}
	}
	if n := binary.LittleEndian.Uint64(b[len(magic)+2:]); n != number {
		return &DamageError{name, 0, fmt.Sprintf("its header says that it is number %d", n)}
	}
	return nil
}

// record cuts the first record off.
func record(b []byte) (body, rest []byte, err error) {
	if len(b) < recSize {
		return nil, nil, errCut
	}
	n := binary.LittleEndian.Uint32(b)
	if n > mostRec {
		return nil, nil, fmt.Errorf("a record of %d bytes is none", n)
	}
	if len(b)-recSize < int(n) {
		return nil, nil, errCut
	}
	body = b[recSize : recSize+int(n)]
	if binary.LittleEndian.Uint32(b[4:]) != sum(b[:4], body) {
		return nil, nil, errors.New("a record does not agree with its checksum")
	}
	return body, b[recSize+int(n):], nil
}

// readLog hands over a log's entries. What a crash cut off, or left as it was never written, ends it; it returns how many
// bytes at its end that are. Anything readable behind is damage.
func readLog(name string, b []byte, number uint64, take func(*statepb.Entry)) (torn int, err error) {
	if err := checkHeader(name, b, number); err != nil {
		// A crash as a log begins leaves less than its header, or one that was not written whole, and nothing behind it.
		var damage *DamageError
		if errors.Is(err, errCut) || errors.As(err, &damage) && len(b) <= headSize {
			return len(b), nil
		}
		return 0, err
	}
	rest := b[headSize:]
	for len(rest) > 0 {
		body, next, err := record(rest)
		var e statepb.Entry
		if err == nil {
			err = proto.Unmarshal(body, &e)
		}
		if err != nil {
			at := len(b) - len(rest)
			if behind := readable(rest); behind > 0 {
				return 0, &DamageError{name, at, fmt.Sprintf("%v, and %d bytes further on there is a good one", err, behind)}
			}
			return len(rest), nil
		}
		take(&e)
		rest = next
	}
	return 0, nil
}

// readable looks for a good record beyond the first byte, and returns how far on it is, 0 for none. An empty body is no
// record that anybody writes.
func readable(b []byte) int {
	for at := 1; at+recSize < len(b); at++ {
		if body, _, err := record(b[at:]); err == nil && len(body) > 0 {
			return at
		}
	}
	return 0
}

func readSnapshot(name string, b []byte, number uint64) (*statepb.Snapshot, error) {
	if err := checkHeader(name, b, number); err != nil {
		return nil, err
	}
	body, rest, err := record(b[headSize:])
	if err != nil {
		return nil, &DamageError{name, headSize, err.Error()}
	}
	var s statepb.Snapshot
	if err := proto.Unmarshal(body, &s); err != nil {
		return nil, &DamageError{name, headSize, err.Error()}
	}
	if len(rest) > 0 {
		return nil, &DamageError{name, len(b) - len(rest), "something stands behind its record"}
	}
	return &s, nil
}
