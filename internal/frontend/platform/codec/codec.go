// Package codec implements the three encodings of the platform's protocol: lines of JSON with clients, binary messages
// with nodes, and the discovery service's stream of server-sent events.
//
// Each message is decoded once, into a struct of validated fields. Input that is not a message of the protocol is an
// error, after which the rest of the connection's input cannot be trusted. A request with an invalid field, or a node's
// message with an invalid load report, is decoded into an Invalid, which has the message's tag, so that the receiver
// can reject the workload.
//
// ClientCodec, NodeCodec and DiscoveryCodec implement transport.Codec. The package does no I/O, and its buffers have
// size limits.
package codec

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// MaxMessageSize is the maximum size, in bytes, of a message on a client or node connection.
const MaxMessageSize = 16 << 10

var (
	// ErrTooLong means that a message exceeds its maximum size.
	ErrTooLong = errors.New("message exceeds its size limit")
	// ErrMalformed means that the input is not a valid message of the protocol.
	ErrMalformed = errors.New("malformed message")
	// ErrUnsupported means that a codec has no encoding for the type of a message.
	ErrUnsupported = errors.New("message cannot be sent on this kind of connection")
	// ErrUnexpected means that the protocol does not allow the peer to send this type of message.
	ErrUnexpected = errors.New("message type not allowed from this peer")
)

// FieldError reports a field of a message whose value is invalid.
type FieldError struct {
	Field string // protocol name
	Value string
	Want  string // description of the valid values; completes "it must be"
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s is %.40q; it must be %s", e.Field, e.Value, e.Want)
}

// Tag identifies a workload or a health check in all messages about it. The side that sends the request chooses it.
type Tag uint64

// String returns the tag as 16 hexadecimal digits.
func (t Tag) String() string { return fmt.Sprintf("%016x", uint64(t)) }

// tagDigits is the number of hexadecimal digits of a tag on client connections.
const tagDigits = 16

// parseTag parses a tag in the format of Tag.String, also with upper-case digits.
func parseTag(text string) (Tag, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != tagDigits {
		return 0, fmt.Errorf("%w: tag %.40q is not %d hexadecimal digits", ErrMalformed, text, tagDigits)
	}
	return Tag(n), nil
}

// verb is the type of a message on the wire: a number on node connections, a name on client connections. The constants
// have the names and numbers of the protocol.
type verb uint8

const (
	verbStart    verb = 1  // PlaceRequest or AdoptRequest from a client; Offer to a node
	verbPending  verb = 6  // Ignorable: progress
	verbStarted  verb = 9  // Confirmation
	verbFinish   verb = 12 // Termination
	verbFinished verb = 16 // Ignorable: acknowledgement of verbFinish
	verbNotice   verb = 44 // UsageReport
	verbMove     verb = 51 // Migration
	verbEcho     verb = 52 // HealthCheck
	verbEchoed   verb = 53 // HealthReply
)

// verbNames maps each verb to its name on client connections.
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

// Causes of a health reply. A health check has a cause field too, which is always causeFailed.
const (
	causeFailed Cause = 0
	causePassed Cause = 1
)

// cause returns the cause that encodes Passed.
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

// forEachPair calls handle for each pair of a list in the form name:value;name:value, up to the first error, which it
// returns.
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
