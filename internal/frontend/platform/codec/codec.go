// Package codec implements the three encodings of the platform's protocol: lines of JSON with clients, binary messages
// with nodes, and the discovery service's stream of server-sent events.
//
// Each message is decoded once, into a struct of checked fields. Bytes that cannot be framed are an error, after
// which nothing that follows on the connection can be trusted. A message that is framed correctly, but breaks the
// protocol, is decoded into an Invalid, so that the receiver can name the workload that it rejects.
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
	// ErrMalformed means that the bytes are not a message of the protocol.
	ErrMalformed = errors.New("malformed message")
	// ErrUnsupported means that an encoding cannot express a message.
	ErrUnsupported = errors.New("message cannot be sent on this kind of connection")
	// ErrUnexpected means that the peer may not send a message of this kind.
	ErrUnexpected = errors.New("message is not expected from this peer")
)

// FieldError reports a field of a message whose value is invalid.
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

// tagDigits is the length of a tag in the encoding for clients.
const tagDigits = 16

// parseTag decodes a tag of the encoding for clients.
func parseTag(text string) (Tag, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != tagDigits {
		return 0, fmt.Errorf("%w: tag %.40q is not %d hexadecimal digits", ErrMalformed, text, tagDigits)
	}
	return Tag(n), nil
}

// verb is the type of a message. Its numbers are those of the binary encoding, its names are the protocol's.
type verb uint8

const (
	verbStart    verb = 1  // from a client: PlaceRequest or AdoptRequest; to a node: Offer
	verbPending  verb = 6  // progress
	verbStarted  verb = 9  // Confirmation
	verbFinish   verb = 12 // Termination
	verbFinished verb = 16 // acknowledges verbFinish
	verbNotice   verb = 44 // Note
	verbMove     verb = 51 // Migration
	verbEcho     verb = 52 // HealthCheck
	verbEchoed   verb = 53 // HealthReply
)

// verbNames are the names of all verbs in the encoding for clients.
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

// verbsByName is the inverse of verbNames.
var verbsByName = func() map[string]verb {
	byName := make(map[string]verb, len(verbNames))
	for v, name := range verbNames {
		byName[name] = v
	}
	return byName
}()

// The causes of the reply to a health check. The check itself states a cause too, which is always causeFailed.
const (
	causeFailed Cause = 0
	causePassed Cause = 1
)

// cause returns the cause that states the result.
func (r *HealthReply) cause() Cause {
	if r.Passed {
		return causePassed
	}
	return causeFailed
}

// checkUTF8 returns an error if the text is not UTF-8.
func checkUTF8(text string) error {
	if !utf8.ValidString(text) {
		return fmt.Errorf("%w: text is not UTF-8: %.40q", ErrMalformed, text)
	}
	return nil
}

// forEachPair calls handle with each pair of a list of the form name:value;name:value, until one call fails.
func forEachPair(list string, handle func(name, value string) error) error {
	for part := range strings.SplitSeq(list, ";") {
		if part == "" {
			continue
		}
		name, value, ok := strings.Cut(part, ":")
		if !ok {
			return fmt.Errorf("%w: %.40q is not name:value", ErrMalformed, part)
		}
		if err := handle(name, value); err != nil {
			return err
		}
	}
	return nil
}
