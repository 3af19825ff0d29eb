package codec

import (
	"bytes"
	"fmt"
	"strconv"
)

// eventLines decodes the lines of server-sent events. It keeps the bytes of an incomplete event, so that they need not
// be passed again. The zero value is ready to use.
type eventLines struct {
	line  []byte // start of a line whose end was not received
	event pendingEvent
}

// pendingEvent is an event whose terminating empty line was not received yet.
type pendingEvent struct {
	Event
	hasID   bool
	hasData bool
}

// incomplete reports whether a part of an event was decoded and its end was not.
func (l *eventLines) incomplete() bool { return len(l.line) > 0 || l.event.hasID || l.event.hasData }

// decode decodes the next bytes of the stream, and returns the events that they complete.
func (l *eventLines) decode(b []byte) (*EventBatch, error) {
	batch := &EventBatch{}
	for {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			break
		}
		line := b[:end]
		if len(l.line) > 0 {
			line = append(l.line, line...)
			l.line = nil
		}
		b = b[end+1:]
		if err := l.endLine(bytes.TrimSuffix(line, []byte("\r")), batch); err != nil {
			return nil, err
		}
	}
	l.line = append(l.line, b...)
	if len(l.line) > maxEventSize || len(l.event.Data) > maxEventSize {
		return nil, fmt.Errorf("%w: event exceeds %d bytes", ErrTooLong, maxEventSize)
	}
	return batch, nil
}

// endLine handles a complete line. An empty line ends the event, which is added to the batch if it is complete.
func (l *eventLines) endLine(line []byte, batch *EventBatch) error {
	if len(line) > 0 {
		return l.event.addLine(line)
	}
	if l.event.hasID && l.event.hasData {
		batch.Events = append(batch.Events, l.event.Event)
	}
	l.event = pendingEvent{}
	return nil
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
