package storage

import (
	"errors"
	"fmt"

	"grebeglade/internal/storage/statepb"

	"google.golang.org/protobuf/proto"
)

// decodeLog calls apply for each entry of a log. It returns how many bytes at the end are no complete record, as a
// crash leaves them. Such bytes in front of a valid record are a *CorruptionError.
func decodeLog(name string, data []byte, number uint64, apply func(*statepb.Entry)) (truncated int, err error) {
	if err := checkHeader(name, data, number); err != nil {
		if truncatedWhileCreated(data, err) {
			return len(data), nil
		}
		return 0, err
	}
	for rest := data[headerSize:]; len(rest) > 0; {
		entry, next, err := cutEntry(rest)
		if err != nil {
			if distance, found := nextRecord(rest); found {
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

// truncatedWhileCreated reports whether an error of checkHeader is what a crash leaves of a log that was being created:
// an incomplete header, or one of the right length with bytes that were never written, and nothing behind it.
func truncatedWhileCreated(data []byte, err error) bool {
	if errors.Is(err, ErrTruncated) {
		return true
	}
	var corruption *CorruptionError
	return errors.As(err, &corruption) && len(data) <= headerSize
}

// cutEntry returns the entry in the first record of data, and what follows that record.
func cutEntry(data []byte) (entry *statepb.Entry, rest []byte, err error) {
	payload, rest, err := cutRecord(data)
	if err != nil {
		return nil, nil, err
	}
	entry = &statepb.Entry{}
	if err := proto.Unmarshal(payload, entry); err != nil {
		return nil, nil, fmt.Errorf("decode an entry: %w", err)
	}
	return entry, rest, nil
}
