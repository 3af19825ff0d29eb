package codec

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	// MaxEventSize is the maximum size of an event of the discovery service, and of a chunk, in bytes. A list of
	// several thousand nodes fits.
	MaxEventSize = 1 << 20
	// maxSkippedSize is the size in bytes above which an event counts as one without an end.
	maxSkippedSize = 16 * MaxEventSize
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

// EventBatch holds the events that were completed by one call of Decode. A response head or a keep-alive comment yields
// an empty batch.
type EventBatch struct{ Events []Event }

// Event is an event of the discovery service.
type Event struct {
	Revision uint64
	Data     []byte // JSON; decoded by DecodeEndpoints. It is nil if the event was too large to be received
}

// DiscoveryCodec encodes and decodes one connection to the discovery service: an HTTP request, answered by a stream of
// server-sent events. It has per-connection state; the zero value is ready for a new connection.
type DiscoveryCodec struct {
	streaming bool // the response head was decoded
	chunked   bool // the response uses chunked transfer encoding
	chunk     chunkState
	lines     eventLines
}

// chunkState is the position in a stream of chunks.
type chunkState struct {
	remaining int  // bytes of the current chunk that were not received yet
	ending    bool // the data of the current chunk is complete, and the line end after it was not received
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

// Decode decodes the response head, once it is complete, and after it any bytes of the stream. The message is an
// *EventBatch, or nil if the bytes leave an event incomplete and complete no other. It returns the number of bytes
// decoded, which is 0 if nothing could be decoded.
func (s *DiscoveryCodec) Decode(b []byte) (message any, n int, err error) {
	var batch *EventBatch
	switch {
	case !s.streaming:
		batch, n, err = s.decodeHead(b)
	case s.chunked:
		batch, n, err = s.decodeChunk(b)
	default:
		batch, err = s.lines.decode(b)
		n = len(b)
	}
	if n == 0 || err != nil {
		return nil, 0, err
	}
	if batch == nil || len(batch.Events) == 0 && s.Assembling() {
		return nil, n, nil
	}
	return batch, n, nil
}

// Assembling reports whether a part of an event was decoded and its end was not.
func (s *DiscoveryCodec) Assembling() bool { return s.lines.incomplete() }

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

// decodeChunk decodes what was received of the current chunk, or the line before the next chunk. The batch is nil if no
// data of a chunk was decoded.
func (s *DiscoveryCodec) decodeChunk(b []byte) (*EventBatch, int, error) {
	switch {
	case s.chunk.remaining > 0:
		data := b[:min(len(b), s.chunk.remaining)]
		s.chunk.remaining -= len(data)
		s.chunk.ending = s.chunk.remaining == 0
		batch, err := s.lines.decode(data)
		return batch, len(data), err
	case s.chunk.ending:
		return nil, s.decodeChunkEnd(b), nil
	default:
		n, err := s.decodeChunkHeader(b)
		return nil, n, err
	}
}

// decodeChunkEnd decodes the line end after the data of a chunk, once it is complete.
func (s *DiscoveryCodec) decodeChunkEnd(b []byte) int {
	if len(b) < len(lineEnd) {
		return 0
	}
	s.chunk.ending = false
	return len(lineEnd)
}

// decodeChunkHeader decodes the line with the chunk size, once it is complete.
func (s *DiscoveryCodec) decodeChunkHeader(b []byte) (int, error) {
	end := bytes.Index(b[:min(len(b), maxChunkHeader)], []byte(lineEnd))
	if end < 0 {
		if len(b) >= maxChunkHeader {
			return 0, fmt.Errorf("%w: chunk size line has no end", ErrMalformed)
		}
		return 0, nil
	}
	size, err := parseChunkSize(string(b[:end]))
	if err != nil {
		return 0, err
	}
	s.chunk.remaining = size
	return end + len(lineEnd), nil
}

// parseChunkSize parses the size in the line before a chunk, ignoring chunk extensions. It returns ErrStreamEnded for
// a chunk of 0 bytes, the last of the stream.
func parseChunkSize(header string) (int, error) {
	digits, _, _ := strings.Cut(header, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 32)
	if err != nil || size > MaxEventSize {
		return 0, fmt.Errorf("%w: invalid chunk size %.20q", ErrMalformed, digits)
	}
	if size == 0 {
		return 0, ErrStreamEnded
	}
	return int(size), nil
}
