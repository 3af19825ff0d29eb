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

// A history file holds one JSON document per line: the terms, the events in order of time, and an end line with the
// number of events. Reading a truncated, reordered or malformed file fails with the line number, so that such a file
// never passes an audit.

const (
	fileVersion   = 1
	maxLineLength = 16 << 20 // bytes; a frame on the wire has at most 1 MiB
)

// fileHeader is the first line of a history file.
type fileHeader struct {
	Version int             `json:"history"`
	Terms   *scenario.Terms `json:"terms"`
}

// fileLine is any line after the first: an event or the end line.
type fileLine struct {
	At      placement.Millis `json:"at"`
	Process string           `json:"who,omitempty"`
	Role    string           `json:"role,omitempty"` // set only on the first start of the process
	ID      int              `json:"id,omitempty"`   // set only on the first start of the process
	Kind    EventKind        `json:"what,omitempty"`
	Conn    transport.ConnID `json:"conn,omitempty"`
	Arrived placement.Millis `json:"arrived,omitempty"` // arrival time of a frame, if different from At
	Until   placement.Millis `json:"until,omitempty"`   // end of a pause
	Frame   json.RawMessage  `json:"frame,omitempty"`
	End     *int             `json:"end,omitempty"` // number of events; set only on the end line
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

// writeLines writes the header, the events and the end line. The first line of a process also holds its role and ID.
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

// lineWriter writes one JSON document per line.
type lineWriter struct {
	encoder *json.Encoder
	number  int // number of the last line written
}

// write writes a document. Errors begin with the line number.
func (w *lineWriter) write(document any) error {
	w.number++
	if err := w.encoder.Encode(document); err != nil {
		return fmt.Errorf("line %d: %w", w.number, err)
	}
	return nil
}

// encodeEvent returns the line of an event, without the role and ID of its process.
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
	if err := json.Compact(&compact, frame); err != nil { // protojson varies its white space at random
		return line, fmt.Errorf("encode a frame: %w", err)
	}
	line.Frame = compact.Bytes()
	return line, nil
}

// WriteFile writes the history to the named file, which it creates or truncates.
func (h *History) WriteFile(name string) error {
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("create the history file: %w", err)
	}
	writeErr := h.Write(file)
	if err := file.Close(); err != nil {
		return errors.Join(writeErr, fmt.Errorf("close the history file: %w", err))
	}
	return writeErr
}

// ReadHistory reads a history that Write has written. Errors begin with the given name and the line number.
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

// fileReader reads a history file line by line.
type fileReader struct {
	name   string
	lines  *bufio.Scanner
	number int              // number of the current line
	lastAt placement.Millis // time of the preceding line
}

func newFileReader(name string, from io.Reader) *fileReader {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineLength)
	return &fileReader{name: name, lines: lines}
}

// errorf returns an error that begins with the name and the line number.
func (r *fileReader) errorf(format string, args ...any) error {
	return r.wrap(fmt.Errorf(format, args...))
}

func (r *fileReader) wrap(err error) error {
	return fmt.Errorf("%s:%d: %w", r.name, r.number, err)
}

// readTerms reads the header and returns its terms.
func (r *fileReader) readTerms() (scenario.Terms, error) {
	var header fileHeader
	if err := r.next(&header); err != nil {
		return scenario.Terms{}, err
	}
	terms := header.Terms
	complete := terms != nil && terms.Model != nil && len(terms.Groups) > 0
	if header.Version != fileVersion || !complete {
		return scenario.Terms{}, r.errorf("expected a header of history version %d with node model and groups", fileVersion)
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
		return line, r.errorf("time %v ms is before that of the preceding line: history out of order", float64(line.At))
	}
	r.lastAt = line.At
	return line, nil
}

// next decodes the next line, which must hold exactly one JSON document without unknown fields.
func (r *fileReader) next(into any) error {
	r.number++
	if !r.lines.Scan() {
		if err := r.lines.Err(); err != nil {
			return r.wrap(err)
		}
		return r.errorf("history truncated: no end line found; record the history again")
	}
	decoder := json.NewDecoder(bytes.NewReader(r.lines.Bytes()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return r.wrap(err)
	}
	if decoder.More() {
		return r.errorf("unexpected data after the JSON document")
	}
	return nil
}

// checkEnd checks that the number of events read equals the number on the end line, and that nothing follows that line.
func (r *fileReader) checkEnd(counted, read int) error {
	if counted != read {
		return r.errorf("read %d events, but the end line counts %d", read, counted)
	}
	if r.lines.Scan() {
		r.number++
		return r.errorf("unexpected data after the end line")
	}
	return nil
}

// eventDecoder decodes lines into events, and checks that they are consistent with the lines before.
type eventDecoder struct {
	processes map[string]*Process // key: process name
	running   map[string]bool     // key: process name
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
		return Event{}, fmt.Errorf("unknown event kind %q", line.Kind)
	}
	if len(line.Frame) > 0 {
		return Event{}, framePresenceError(line)
	}
	return event, nil
}

// process returns the process of a line. A process is added by its first start, which holds its role and ID.
func (d *eventDecoder) process(line *fileLine) (*Process, error) {
	if existing := d.processes[line.Process]; existing != nil {
		return existing, nil
	}
	role := pb.Role(pb.Role_value[line.Role])
	if role == pb.Role_ROLE_UNSPECIFIED || line.Kind != ProcessStarted {
		return nil, fmt.Errorf("first event of process %q is not a start with a valid role", line.Process)
	}
	added := &Process{
		Name: line.Process,
		Role: role,
		ID:   line.ID,
	}
	d.processes[line.Process] = added
	return added, nil
}

// setRunning records a start or an end of a process. Starts and ends must alternate.
func (d *eventDecoder) setRunning(line *fileLine, running bool) error {
	if d.running[line.Process] == running {
		return fmt.Errorf("process %q: event %q repeats without the opposite event in between", line.Process, line.Kind)
	}
	d.running[line.Process] = running
	return nil
}

// decodeFrame decodes the frame of a line into its event.
func (d *eventDecoder) decodeFrame(line *fileLine, event *Event) error {
	if len(line.Frame) == 0 {
		return framePresenceError(line)
	}
	if !d.running[line.Process] {
		return fmt.Errorf("process %q: event %q with a frame while the process is not running", line.Process, line.Kind)
	}
	event.Arrived = cmp.Or(line.Arrived, line.At)
	event.Frame = &pb.Frame{}
	if err := protojson.Unmarshal(line.Frame, event.Frame); err != nil {
		return fmt.Errorf("process %q: event %q: decode the frame: %w", line.Process, line.Kind, err)
	}
	if event.Frame.Body == nil {
		return fmt.Errorf("process %q: event %q: frame has no body", line.Process, line.Kind)
	}
	return nil
}

// framePresenceError is the error of a line that lacks the frame of its event, or holds a frame although its kind of
// event has none.
func framePresenceError(line *fileLine) error {
	return fmt.Errorf("process %q: event %q: frame missing or not allowed", line.Process, line.Kind)
}
