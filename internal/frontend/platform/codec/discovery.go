package codec

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxEventSize bounds a line, a chunk and an event of the discovery service, in bytes. A list of some thousands of
	// nodes fits.
	maxEventSize = 1 << 20
	// maxChunkHeader bounds the line in front of a chunk, in bytes.
	maxChunkHeader = 32

	lineEnd = "\r\n"            // of HTTP
	headEnd = lineEnd + lineEnd // of the head of a response
)

var (
	// ErrStatus means that the status of the discovery service's response is not 200.
	ErrStatus = errors.New("unexpected status of the discovery service")
	// ErrStreamEnded means that the discovery service ended its stream of events.
	ErrStreamEnded = errors.New("the stream of events has ended")
)

// Subscribe requests the events after a revision from the discovery service.
type Subscribe struct {
	Host  string
	After uint64
}

// EventBatch holds the complete events of one read from the discovery service. An empty batch only shows that the
// service responds.
type EventBatch struct{ Events []Event }

// Event is one numbered change.
type Event struct {
	Revision uint64
	Data     []byte // see DecodeEndpoints
}

// DiscoveryCodec is the encoding of one connection to the discovery service: an HTTP request, then server-sent events.
// The zero value is ready for a new connection.
type DiscoveryCodec struct {
	streaming bool   // the head of the response was decoded
	chunked   bool   // the response has the chunked transfer encoding
	body      []byte // of chunks: the part of the body that is not decoded yet, which is an incomplete line
	event     pendingEvent
}

// pendingEvent is an event of which some lines were decoded.
type pendingEvent struct {
	Event
	hasID   bool
	hasData bool
}

// Urgent has the transport deliver events ahead of other messages, as a drain applies from when it is published,
// however many messages are queued.
func (s *DiscoveryCodec) Urgent() {}

// Append appends the HTTP request of a Subscribe.
func (s *DiscoveryCodec) Append(b []byte, message any) ([]byte, error) {
	subscribe, ok := message.(Subscribe)
	if !ok {
		return b, fmt.Errorf("%w: %T to the discovery service", ErrUnsupported, message)
	}
	return fmt.Appendf(b, "GET /journal HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n",
		subscribe.Host, subscribe.After), nil
}

// Decode decodes what is complete at the beginning of b into an *EventBatch, and returns how many bytes it took.
func (s *DiscoveryCodec) Decode(b []byte) (message any, n int, err error) {
	var batch *EventBatch
	switch {
	case !s.streaming:
		batch, n, err = s.decodeHead(b)
	case s.chunked:
		batch, n, err = s.decodeChunk(b)
	default:
		batch, n, err = s.decodeLines(b)
	}
	if n == 0 || err != nil {
		return nil, 0, err
	}
	return batch, n, nil
}

// decodeHead decodes the head of the response, once it is complete.
func (s *DiscoveryCodec) decodeHead(b []byte) (*EventBatch, int, error) {
	end := bytes.Index(b, []byte(headEnd))
	if end < 0 {
		if len(b) > MaxMessageSize {
			return nil, 0, fmt.Errorf("%w: the head of the response has no end", ErrTooLong)
		}
		return nil, 0, nil
	}
	lines := strings.Split(string(b[:end]), lineEnd)
	statusLine := strings.Fields(lines[0])
	if len(statusLine) < 2 || statusLine[1] != "200" {
		return nil, 0, fmt.Errorf("%w: %.60q", ErrStatus, lines[0])
	}
	for _, header := range lines[1:] {
		name, value, _ := strings.Cut(header, ":")
		if strings.EqualFold(name, "Transfer-Encoding") && strings.Contains(strings.ToLower(value), "chunked") {
			s.chunked = true
		}
	}
	s.streaming = true
	return &EventBatch{}, end + len(headEnd), nil
}

// decodeChunk decodes one chunk, once it is complete.
func (s *DiscoveryCodec) decodeChunk(b []byte) (*EventBatch, int, error) {
	end := bytes.Index(b[:min(len(b), maxChunkHeader)], []byte(lineEnd))
	if end < 0 {
		if len(b) >= maxChunkHeader {
			return nil, 0, fmt.Errorf("%w: a chunk has no size", ErrMalformed)
		}
		return nil, 0, nil
	}
	size, err := parseChunkSize(string(b[:end]))
	if err != nil {
		return nil, 0, err
	}
	from := end + len(lineEnd)
	to := from + size
	if len(b) < to+len(lineEnd) {
		return nil, 0, nil
	}
	s.body = append(s.body, b[from:to]...)
	batch, used, err := s.decodeLines(s.body)
	s.body = append(s.body[:0], s.body[used:]...)
	return batch, to + len(lineEnd), err
}

// parseChunkSize decodes the line in front of a chunk. A chunk of no bytes ends the stream.
func parseChunkSize(header string) (int, error) {
	digits, _, _ := strings.Cut(header, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 32)
	if err != nil || size > maxEventSize {
		return 0, fmt.Errorf("%w: chunk size %.20q", ErrMalformed, digits)
	}
	if size == 0 {
		return 0, ErrStreamEnded
	}
	return int(size), nil
}

// decodeLines decodes all complete lines, and returns how many bytes they took.
func (s *DiscoveryCodec) decodeLines(b []byte) (*EventBatch, int, error) {
	batch := &EventBatch{}
	used := 0
	for {
		end := bytes.IndexByte(b[used:], '\n')
		if end < 0 {
			break
		}
		text := bytes.TrimSuffix(b[used:used+end], []byte("\r"))
		used += end + 1
		if len(text) > 0 {
			if err := s.event.addLine(text); err != nil {
				return nil, used, err
			}
			continue
		}
		if s.event.hasID && s.event.hasData {
			batch.Events = append(batch.Events, s.event.Event)
		}
		s.event = pendingEvent{}
	}
	if len(b)-used > maxEventSize || len(s.event.Data) > maxEventSize {
		return nil, used, fmt.Errorf("%w: an event of more than %d bytes", ErrTooLong, maxEventSize)
	}
	return batch, used, nil
}

// addLine adds a line that is not empty. Comments and unknown fields are ignored.
func (e *pendingEvent) addLine(text []byte) error {
	name, value, _ := bytes.Cut(text, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		revision, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return fmt.Errorf("%w: event number %.40q", ErrMalformed, value)
		}
		e.Revision = revision
		e.hasID = true
	case "data":
		if e.hasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		e.hasData = true
	}
	return nil
}
