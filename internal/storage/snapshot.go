package storage

import (
	"errors"

	"grebeglade/internal/storage/statepb"

	"google.golang.org/protobuf/proto"
)

// encodeSnapshot returns the file of a snapshot with a number. Equal contents give equal bytes.
func encodeSnapshot(number uint64, incarnation *statepb.Incarnation, live liveBinds) ([]byte, error) {
	s := &statepb.Snapshot{Incarnation: incarnation}
	for _, b := range live.sorted() {
		s.LiveBinds = append(s.LiveBinds, &statepb.LiveBind{Bind: b})
	}
	return appendRecord(encodeHeader(number), s)
}

// decodeSnapshot returns what a snapshot holds. A snapshot gets its name once it is complete and synced, so that one that
// is truncated is corrupt.
func decodeSnapshot(name string, data []byte, number uint64) (*statepb.Snapshot, error) {
	if err := checkHeader(name, data, number); errors.Is(err, ErrTruncated) {
		return nil, &CorruptionError{File: name, Offset: len(data), Err: err}
	} else if err != nil {
		return nil, err
	}
	payload, rest, err := cutRecord(data[headerSize:])
	if err != nil {
		return nil, &CorruptionError{File: name, Offset: headerSize, Err: err}
	}
	s := &statepb.Snapshot{}
	if err := proto.Unmarshal(payload, s); err != nil {
		return nil, &CorruptionError{File: name, Offset: headerSize, Err: err}
	}
	if len(rest) > 0 {
		return nil, &CorruptionError{File: name, Offset: len(data) - len(rest), Err: ErrTrailingBytes}
	}
	return s, nil
}
