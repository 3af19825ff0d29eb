package observer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"google.golang.org/protobuf/encoding/protojson"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// A file holds one JSON document a line: first the terms, then the events by time, last an end that counts them. So
// reading a truncated, reordered or malformed file fails with the line, and such a file never passes an audit.

const (
	fileVersion   = 1
	maxLineLength = 16 << 20 // bytes; a frame of the wire has a mebibyte at most
)

// fileHeader is the first line.
type fileHeader struct {
	Version int             `json:"history"`
	Terms   *scenario.Terms `json:"terms"`
}

// fileLine is any line after the first: an event or the end.
type fileLine struct {
	At      placement.Millis `json:"at"`
	Process string           `json:"who,omitempty"`
	Role    string           `json:"role,omitempty"` // at a process's first start only
	ID      int              `json:"id,omitempty"`   // likewise
	Kind    EventKind        `json:"what,omitempty"`
	Conn    transport.ConnID `json:"conn,omitempty"`
	Arrived placement.Millis `json:"arrived,omitempty"` // if it differs from At
	Until   placement.Millis `json:"until,omitempty"`
	Frame   json.RawMessage  `json:"frame,omitempty"`
	End     *int             `json:"end,omitempty"` // on the last line: the number of lines between the first and it
}

// Write writes the history to w.
func (h *History) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	if err := h.writeLines(&lineWriter{encoder: json.NewEncoder(buffered)}); err != nil {
		return fmt.Errorf("write the history: %w", err)
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("write the history: %w", err)
	}
	return nil
}

// writeLines writes the header, the events and the end. The first line of a process also says its role and id.
func (h *History) writeLines(lines *lineWriter) error {
	if err := lines.write(fileHeader{fileVersion, &h.terms}); err != nil {
		return err
	}
	described := map[*Process]bool{}
	for _, event := range h.events {
		line, err := encodeEvent(event)
		if err != nil {
			return err
		}
		if process := event.Process; !described[process] {
			described[process] = true
			line.Role = process.Role.String()
			line.ID = process.ID
		}
		if err := lines.write(line); err != nil {
			return err
		}
	}
	count := len(h.events)
	return lines.write(fileLine{At: h.ended, End: &count})
}

// lineWriter writes JSON documents line by line.
type lineWriter struct {
	encoder *json.Encoder
	number  int // of the last line
}

// write writes a document. Errors begin with the line.
func (w *lineWriter) write(document any) error {
	w.number++
	if err := w.encoder.Encode(document); err != nil {
		return fmt.Errorf("line %d: %w", w.number, err)
	}
	return nil
}

// encodeEvent returns the line of an event, without the process's role and id.
func encodeEvent(event Event) (fileLine, error) {
	line := fileLine{
		At:      event.At,
		Process: event.Process.Name,
		Kind:    event.Kind,
		Conn:    event.Conn,
		Until:   event.Until,
	}
	if event.Frame == nil {
		return line, nil
	}
	if event.Arrived != event.At {
		line.Arrived = event.Arrived
	}
	frame, err := protojson.Marshal(event.Frame)
	if err != nil {
		return line, fmt.Errorf("encode a frame: %w", err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, frame); err != nil { // protojson varies its spaces at random
		return line, fmt.Errorf("encode a frame: %w", err)
	}
	line.Frame = compact.Bytes()
	return line, nil
}

// WriteFile writes the history to a new file of that name.
func (h *History) WriteFile(name string) error {
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("create the history's file: %w", err)
	}
	writeErr := h.Write(file)
	if err := file.Close(); err != nil {
		return errors.Join(writeErr, fmt.Errorf("close the history's file: %w", err))
	}
	return writeErr
}

// ReadHistory reads what Write wrote. Errors begin with the name and the line.
func ReadHistory(name string, from io.Reader) (*History, error) {
	reader := newFileReader(name, from)
	terms, err := reader.readTerms()
	if err != nil {
		return nil, err
	}
	history := NewHistory(terms)
	decoder := newEventDecoder()
	for {
		line, err := reader.readLine()
		if err != nil {
			return nil, err
		}
		if line.End != nil {
			if err := reader.checkEnd(*line.End, len(history.events)); err != nil {
				return nil, err
			}
			history.ended = line.At
			return history, nil
		}
		event, err := decoder.decode(&line)
		if err != nil {
			return nil, reader.wrap(err)
		}
		history.events = append(history.events, event)
	}
}

// fileReader reads a file line by line.
type fileReader struct {
	name   string
	lines  *bufio.Scanner
	number int              // of the current line
	lastAt placement.Millis // of the line before
}

func newFileReader(name string, from io.Reader) *fileReader {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineLength)
	return &fileReader{name: name, lines: lines}
}

// errorf returns an error that begins with the name and the line.
func (r *fileReader) errorf(format string, args ...any) error {
	return r.wrap(fmt.Errorf(format, args...))
}

func (r *fileReader) wrap(err error) error {
	return fmt.Errorf("%s:%d: %w", r.name, r.number, err)
}

// readTerms reads the first line.
func (r *fileReader) readTerms() (scenario.Terms, error) {
	var header fileHeader
	if err := r.next(&header); err != nil {
		return scenario.Terms{}, err
	}
	terms := header.Terms
	complete := terms != nil && terms.Model != nil && len(terms.Groups) > 0
	if header.Version != fileVersion || !complete {
		return scenario.Terms{}, r.errorf("no history of version %d; its first line must hold its terms", fileVersion)
	}
	return *terms, nil
}

// readLine reads a line after the first.
func (r *fileReader) readLine() (fileLine, error) {
	var line fileLine
	if err := r.next(&line); err != nil {
		return line, err
	}
	if line.At < r.lastAt {
		return line, r.errorf("at %v, which is before the line above: the history is out of order", float64(line.At))
	}
	r.lastAt = line.At
	return line, nil
}

// next decodes the next line, which must hold one document without unknown fields.
func (r *fileReader) next(into any) error {
	r.number++
	if !r.lines.Scan() {
		if err := r.lines.Err(); err != nil {
			return r.wrap(err)
		}
		return r.errorf("the history is cut off: its end is missing; record it anew")
	}
	decoder := json.NewDecoder(bytes.NewReader(r.lines.Bytes()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return r.wrap(err)
	}
	if decoder.More() {
		return r.errorf("something stands behind the document")
	}
	return nil
}

// checkEnd checks that as many events were read as the end counts, and that nothing follows it.
func (r *fileReader) checkEnd(counted, read int) error {
	if counted != read {
		return r.errorf("%d lines stand before the end, which counts %d", read, counted)
	}
	if r.lines.Scan() {
		r.number++
		return r.errorf("something stands behind the end")
	}
	return nil
}

// eventDecoder turns lines into events, and checks that they fit together.
type eventDecoder struct {
	processes map[string]*Process // by name
	running   map[string]bool     // by name
}

func newEventDecoder() *eventDecoder {
	return &eventDecoder{
		processes: map[string]*Process{},
		running:   map[string]bool{},
	}
}

// decode returns the event of a line.
func (d *eventDecoder) decode(line *fileLine) (Event, error) {
	process, err := d.process(line)
	if err != nil {
		return Event{}, err
	}
	event := Event{
		Kind:    line.Kind,
		At:      line.At,
		Process: process,
		Conn:    line.Conn,
	}
	switch line.Kind {
	case FrameSent, FrameReceived:
		err := d.decodeFrame(line, &event)
		return event, err
	case ProcessStarted, ProcessKilled:
		if err := d.setRunning(line, line.Kind == ProcessStarted); err != nil {
			return Event{}, err
		}
	case ProcessPaused:
		event.Until = line.Until
	case ConnectionOpened, ConnectionClosed:
	default:
		return Event{}, fmt.Errorf("%q is nothing that is seen", line.Kind)
	}
	if len(line.Frame) > 0 {
		return Event{}, frameCountError(line)
	}
	return event, nil
}

// process returns the process of a line. Its role and id are on the line of its first start.
func (d *eventDecoder) process(line *fileLine) (*Process, error) {
	if known := d.processes[line.Process]; known != nil {
		return known, nil
	}
	role := pb.Role(pb.Role_value[line.Role])
	if role == pb.Role_ROLE_UNSPECIFIED || line.Kind != ProcessStarted {
		return nil, fmt.Errorf("%q is seen for the first time, and it is not its start in a known role", line.Process)
	}
	added := &Process{
		Name: line.Process,
		Role: role,
		ID:   line.ID,
	}
	d.processes[line.Process] = added
	return added, nil
}

// setRunning records a start or an end of a process, which must not repeat.
func (d *eventDecoder) setRunning(line *fileLine, running bool) error {
	if d.running[line.Process] == running {
		return fmt.Errorf("%q %s, and did so before", line.Process, line.Kind)
	}
	d.running[line.Process] = running
	return nil
}

// decodeFrame adds the frame of a line to its event.
func (d *eventDecoder) decodeFrame(line *fileLine, event *Event) error {
	if len(line.Frame) == 0 {
		return frameCountError(line)
	}
	if !d.running[line.Process] {
		return fmt.Errorf("%q %s a frame while it is dead", line.Process, line.Kind)
	}
	event.Arrived = cmp.Or(line.Arrived, line.At)
	event.Frame = &pb.Frame{}
	if err := protojson.Unmarshal(line.Frame, event.Frame); err != nil {
		return fmt.Errorf("%q %s a malformed frame: %w", line.Process, line.Kind, err)
	}
	if event.Frame.Body == nil {
		return fmt.Errorf("%q %s a frame that holds nothing", line.Process, line.Kind)
	}
	return nil
}

func frameCountError(line *fileLine) error {
	return fmt.Errorf("%q %s: a frame is missing, or one too many", line.Process, line.Kind)
}
