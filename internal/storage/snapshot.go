package storage

import (
	"errors"
	"fmt"

	"grebeglade/internal/storage/statepb"

	"google.golang.org/protobuf/proto"
)

// encodeSnapshot returns the contents of the snapshot file with the given number. Equal arguments give equal bytes.
func encodeSnapshot(number uint64, incarnation *statepb.Incarnation, live liveBinds) ([]byte, error) {
	snapshot := &statepb.Snapshot{Incarnation: incarnation}
	for _, bind := range live.sorted() {
		snapshot.LiveBinds = append(snapshot.LiveBinds, &statepb.LiveBind{Bind: bind})
	}
	return appendRecord(encodeHeader(number), snapshot)
}

// decodeSnapshot decodes the contents of a snapshot file. A snapshot gets its final name after it is complete and
// synced, so a truncated one is corrupt.
func decodeSnapshot(name string, data []byte, number uint64) (*statepb.Snapshot, error) {
	corrupt := func(offset int, cause error) error {
		return &CorruptionError{
			File:   name,
			Offset: offset,
			Err:    cause,
		}
	}
	if err := checkHeader(name, data, number); err != nil {
		if errors.Is(err, ErrTruncated) {
			return nil, corrupt(len(data), err)
		}
		return nil, err
	}
	payload, rest, err := decodeRecord(data[headerSize:])
	if err != nil {
		return nil, corrupt(headerSize, err)
	}
	snapshot := &statepb.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, corrupt(headerSize, fmt.Errorf("decode the snapshot: %w", err))
	}
	if len(rest) > 0 {
		return nil, corrupt(len(data)-len(rest), ErrTrailingBytes)
	}
	return snapshot, nil
}
