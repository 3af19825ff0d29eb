package codec

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxEventSize is the maximum size of a line, a chunk and an event of the discovery service, in bytes. A list of
	// several thousand nodes fits.
	maxEventSize = 1 << 20
	// maxChunkHeader is the maximum size, in bytes, of the line with the chunk size that precedes each chunk.
	maxChunkHeader = 32

	lineEnd = "\r\n"            // end of an HTTP header line
	headEnd = lineEnd + lineEnd // end of an HTTP response head
)

var (
	// ErrStatus means that the HTTP status of the discovery service's response is not 200.
	ErrStatus = errors.New("unexpected HTTP status from the discovery service")
	// ErrStreamEnded means that the discovery service ended its event stream.
	ErrStreamEnded = errors.New("discovery service ended the event stream")
)

// Subscribe requests the discovery service's events with revisions above After.
type Subscribe struct {
	Host  string // value of the HTTP Host header
	After uint64
}

// EventBatch holds the events that were completed by one call of Decode. A response head, a keep-alive comment or an
// incomplete event yields an empty batch.
type EventBatch struct{ Events []Event }

// Event is an event of the discovery service.
type Event struct {
	Revision uint64
	Data     []byte // JSON; decoded by DecodeEndpoints
}

// DiscoveryCodec encodes and decodes one connection to the discovery service: an HTTP request, answered by a stream of
// server-sent events. It has per-connection state; the zero value is ready for a new connection.
type DiscoveryCodec struct {
	streaming bool   // the response head was decoded
	chunked   bool   // the response uses chunked transfer encoding
	body      []byte // incomplete last line of the chunks received so far, if chunked
	event     pendingEvent
}

// pendingEvent is an event whose terminating empty line was not received yet.
type pendingEvent struct {
	Event
	hasID   bool
	hasData bool
}

// Urgent makes the transport deliver events ahead of queued messages, since a drain applies from the time when it is
// published.
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

// Decode decodes the complete response head, chunk or lines at the beginning of b into an *EventBatch, and returns the
// number of bytes decoded, which is 0 if nothing is complete.
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

// decodeHead decodes the response head, once it is complete.
func (s *DiscoveryCodec) decodeHead(b []byte) (*EventBatch, int, error) {
	end := bytes.Index(b, []byte(headEnd))
	if end < 0 {
		if len(b) > MaxMessageSize {
			return nil, 0, fmt.Errorf("%w: HTTP response head without an end", ErrTooLong)
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
			return nil, 0, fmt.Errorf("%w: chunk size line has no end", ErrMalformed)
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

// parseChunkSize parses the size in the line before a chunk, ignoring chunk extensions. It returns ErrStreamEnded for
// a chunk of 0 bytes, the last of the stream.
func parseChunkSize(header string) (int, error) {
	digits, _, _ := strings.Cut(header, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 32)
	if err != nil || size > maxEventSize {
		return 0, fmt.Errorf("%w: invalid chunk size %.20q", ErrMalformed, digits)
	}
	if size == 0 {
		return 0, ErrStreamEnded
	}
	return int(size), nil
}

// decodeLines decodes all complete lines, and returns their total length in bytes.
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
		return nil, used, fmt.Errorf("%w: event exceeds %d bytes", ErrTooLong, maxEventSize)
	}
	return batch, used, nil
}

// addLine adds a line to the event. The line must not be empty. Comments and unknown fields are ignored.
func (e *pendingEvent) addLine(text []byte) error {
	name, value, _ := bytes.Cut(text, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		revision, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return fmt.Errorf("%w: event id %.40q is not a number", ErrMalformed, value)
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
