// Package codec encodes and decodes the three encodings of the platform's protocol: lines of JSON with clients, binary
// messages with nodes, and the discovery service's stream of server-sent events.
//
// Each message is decoded once, into a struct of named and checked fields. What cannot be framed is an error, after
// which nothing that follows on the connection can be trusted. A message that is framed correctly and whose content
// breaks the protocol is decoded into an Invalid, so that the receiver can name the workload that it rejects.
//
// ClientCodec, NodeCodec and DiscoveryCodec implement transport.Codec. The package does no I/O, and all that it holds
// is bounded.
package codec

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// MaxMessageSize bounds a message with a client or a node, in bytes.
const MaxMessageSize = 16 << 10

var (
	// ErrTooLong means that a message exceeds the size that the protocol allows.
	ErrTooLong = errors.New("message exceeds its size limit")
	// ErrMalformed means that bytes are no message of the protocol.
	ErrMalformed = errors.New("malformed message")
	// ErrUnsupported means that an encoding has no form for a message.
	ErrUnsupported = errors.New("message cannot be sent on this kind of connection")
	// ErrUnexpected means that the peer may not send a message of this kind.
	ErrUnexpected = errors.New("message is not expected from this peer")
)

// FieldError is a field of a message whose value cannot be used.
type FieldError struct {
	Field string // as the protocol names it
	Value string
	Want  string // what the value has to be
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %.40q; it must be %s", e.Field, e.Value, e.Want)
}

// Tag identifies a workload, or a health check, in all messages about it. The side that requests it chooses the tag.
type Tag uint64

// String returns the tag as 16 hexadecimal digits.
func (t Tag) String() string { return fmt.Sprintf("%016x", uint64(t)) }

const tagDigits = 16

func parseTag(s string) (Tag, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != tagDigits {
		return 0, fmt.Errorf("%w: tag %.40q is not %d hexadecimal digits", ErrMalformed, s, tagDigits)
	}
	return Tag(n), nil
}

// verb is the type of a message; its number is that of the binary encoding. The names are the protocol's own.
type verb uint8

const (
	verbStart    verb = 1
	verbPending  verb = 6
	verbStarted  verb = 9
	verbFinish   verb = 12
	verbFinished verb = 16
	verbNotice   verb = 44
	verbMove     verb = 51
	verbEcho     verb = 52
	verbEchoed   verb = 53
)

var verbNames = map[verb]string{
	verbStart:    "START",
	verbPending:  "PENDING",
	verbStarted:  "STARTED",
	verbFinish:   "FINISH",
	verbFinished: "FINISHED",
	verbNotice:   "NOTICE",
	verbMove:     "MOVE",
	verbEcho:     "ECHO",
	verbEchoed:   "ECHOED",
}

var verbsByName = func() map[string]verb {
	byName := make(map[string]verb, len(verbNames))
	for v, name := range verbNames {
		byName[name] = v
	}
	return byName
}()

// The causes of a health check and of its reply.
const (
	causeFailed Cause = 0
	causePassed Cause = 1
)

func (r *HealthReply) cause() Cause {
	if r.Passed {
		return causePassed
	}
	return causeFailed
}

func checkUTF8(s string) error {
	if !utf8.ValidString(s) {
		return fmt.Errorf("%w: text is not UTF-8: %.40q", ErrMalformed, s)
	}
	return nil
}

// forEachPair calls do with the parts of a list of the form name:value;name:value, until one fails.
func forEachPair(list string, do func(name, value string) error) error {
	for part := range strings.SplitSeq(list, ";") {
		if part == "" {
			continue
		}
		name, value, ok := strings.Cut(part, ":")
		if !ok {
			return fmt.Errorf("%w: %.40q is not name:value", ErrMalformed, part)
		}
		if err := do(name, value); err != nil {
			return err
		}
	}
	return nil
}
