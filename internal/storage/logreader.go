package storage

import (
	"errors"
	"fmt"

	"grebeglade/internal/storage/statepb"

	"google.golang.org/protobuf/proto"
)

// decodeLog calls apply for each entry of a log. It returns the number of bytes without a valid record at the end, as a
// crash may leave them. The error is a *VersionError, or a *CorruptionError if the header is invalid or a valid record
// follows an invalid one.
func decodeLog(name string, data []byte, number uint64, apply func(*statepb.Entry)) (truncated int, err error) {
	if err := checkHeader(name, data, number); err != nil {
		if truncatedWhileCreated(data, err) {
			return len(data), nil
		}
		return 0, err
	}
	for rest := data[headerSize:]; len(rest) > 0; {
		entry, next, err := decodeEntry(rest)
		if err != nil {
			if distance, found := findNextRecord(rest); found {
				return 0, &CorruptionError{
					File:   name,
					Offset: len(data) - len(rest),
					Err:    fmt.Errorf("%w; the next valid record begins %d bytes later", err, distance),
				}
			}
			return len(rest), nil
		}
		apply(entry)
		rest = next
	}
	return 0, nil
}

// truncatedWhileCreated reports whether an error of checkHeader can result from a crash while the log was created: the
// file ends within the header, or directly after a header in which some bytes were not written.
func truncatedWhileCreated(data []byte, err error) bool {
	if errors.Is(err, ErrTruncated) {
		return true
	}
	var corruption *CorruptionError
	return errors.As(err, &corruption) && len(data) <= headerSize
}

// decodeEntry returns the entry in the first record of data, and the bytes after the record.
func decodeEntry(data []byte) (entry *statepb.Entry, rest []byte, err error) {
	payload, rest, err := decodeRecord(data)
	if err != nil {
		return nil, nil, err
	}
	entry = &statepb.Entry{}
	if err := proto.Unmarshal(payload, entry); err != nil {
		return nil, nil, fmt.Errorf("decode an entry: %w", err)
	}
	return entry, rest, nil
}
