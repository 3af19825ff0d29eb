package codec

import (
	"bytes"
	"fmt"
	"strconv"
)

// dataField begins the lines that have the data of an event.
var dataField = []byte("data:")

// eventLines decodes the lines of server-sent events. It keeps the bytes of an incomplete event, so that they need not
// be passed again. Of an event that is too large it keeps none, and goes on with the event that follows. The zero value
// is ready to use.
type eventLines struct {
	line     []byte // start of a line whose end was not received, unless skipping
	skipping bool   // the rest of the current line belongs to an event that is too large
	event    pendingEvent
}

// pendingEvent is an event whose terminating empty line was not received yet.
type pendingEvent struct {
	Event
	size    int // bytes received of it
	hasID   bool
	hasData bool
}

// tooLarge reports whether the event exceeds MaxEventSize. Its data is not kept.
func (e *pendingEvent) tooLarge() bool { return e.size > MaxEventSize }

// incomplete reports whether a part of an event was decoded and its end was not.
func (l *eventLines) incomplete() bool {
	return len(l.line) > 0 || l.skipping || l.event.hasID || l.event.hasData
}

// decode decodes the next bytes of the stream, and returns the events that they complete.
func (l *eventLines) decode(b []byte) (*EventBatch, error) {
	batch := &EventBatch{}
	for {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			return batch, l.keep(b)
		}
		if err := l.endLine(b[:end], batch); err != nil {
			return nil, err
		}
		b = b[end+1:]
	}
}

// keep keeps the start of a line whose end was not received, unless it belongs to an event that is too large. Other
// lines of that size, and events that have no end, are errors.
func (l *eventLines) keep(b []byte) error {
	l.event.size += len(b)
	if l.event.size > maxSkippedSize {
		return fmt.Errorf("%w: event exceeds %d bytes", ErrTooLong, maxSkippedSize)
	}
	if l.skipping {
		return nil
	}
	l.line = append(l.line, b...)
	if !l.event.tooLarge() {
		return nil
	}
	if !bytes.HasPrefix(l.line, dataField) {
		return fmt.Errorf("%w: line exceeds %d bytes", ErrTooLong, MaxEventSize)
	}
	l.skipping = true
	l.event.hasData = true
	l.event.Data = nil
	l.line = nil
	return nil
}

// endLine handles the last bytes of a line, without its line end.
func (l *eventLines) endLine(end []byte, batch *EventBatch) error {
	if l.skipping {
		l.skipping = false
		l.event.size += len(end)
		return nil
	}
	line := end
	if len(l.line) > 0 {
		l.line = append(l.line, end...)
		line = l.line
		l.line = nil
	}
	line = bytes.TrimSuffix(line, []byte("\r"))
	if len(line) > 0 {
		l.event.size += len(end)
		return l.event.addLine(line)
	}
	l.endEvent(batch)
	return nil
}

// endEvent adds the event to the batch, if it has a number and data.
func (l *eventLines) endEvent(batch *EventBatch) {
	if l.event.hasID && l.event.hasData {
		batch.Events = append(batch.Events, l.event.Event)
	}
	l.event = pendingEvent{}
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
		e.addData(value)
	}
	return nil
}

// addData adds a line of data, unless the event is too large.
func (e *pendingEvent) addData(value []byte) {
	switch {
	case e.tooLarge():
		e.Data = nil
	case e.hasData:
		e.Data = append(append(e.Data, '\n'), value...)
	default:
		e.Data = append([]byte{}, value...)
	}
	e.hasData = true
}
