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

// A file holds one JSON document a line: first the terms, then the events by time, last an end that counts them. So a file
// that was truncated, reordered or garbled is an error that names its line, and never passes an audit.

const (
	fileVersion   = 1
	maxLineLength = 16 << 20 // bytes; a frame of the wire has a mebibyte at most
)

type fileHeader struct {
	Version int             `json:"history"`
	Terms   *scenario.Terms `json:"terms"`
}

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
	End     *int             `json:"end,omitempty"` // on the last line, the number of lines between the first and the last
}

// Write writes the history to w.
func (h *History) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	lines := json.NewEncoder(buffered)
	if err := lines.Encode(fileHeader{fileVersion, &h.terms}); err != nil {
		return err
	}
	described := map[*Process]bool{}
	for _, e := range h.events {
		l, err := encodeEvent(e)
		if err != nil {
			return err
		}
		if !described[e.Process] {
			described[e.Process], l.Role, l.ID = true, e.Process.Role.String(), e.Process.ID
		}
		if err := lines.Encode(l); err != nil {
			return err
		}
	}
	n := len(h.events)
	if err := lines.Encode(fileLine{At: h.ended, End: &n}); err != nil {
		return err
	}
	return buffered.Flush()
}

func encodeEvent(e Event) (fileLine, error) {
	l := fileLine{At: e.At, Process: e.Process.Name, Kind: e.Kind, Conn: e.Conn, Until: e.Until}
	if e.Frame == nil {
		return l, nil
	}
	if e.Arrived != e.At {
		l.Arrived = e.Arrived
	}
	frame, err := protojson.Marshal(e.Frame)
	if err != nil {
		return l, err
	}
	var text bytes.Buffer
	if err := json.Compact(&text, frame); err != nil { // protojson varies its spaces at random
		return l, err
	}
	l.Frame = text.Bytes()
	return l, nil
}

// WriteFile writes the history to a new file of that name.
func (h *History) WriteFile(name string) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(h.Write(f), f.Close())
}

// ReadHistory reads what Write wrote. Errors begin with the name and the line.
func ReadHistory(name string, from io.Reader) (*History, error) {
	r := &fileReader{name: name, lines: bufio.NewScanner(from)}
	r.lines.Buffer(nil, maxLineLength)
	var header fileHeader
	if err := r.next(&header); err != nil {
		return nil, err
	}
	if t := header.Terms; header.Version != fileVersion || t == nil || t.Model == nil || len(t.Groups) == 0 {
		return nil, r.errorf("no history of version %d; its first line must hold its terms", fileVersion)
	}
	h := &History{terms: *header.Terms}
	d := eventDecoder{processes: map[string]*Process{}, running: map[string]bool{}}
	for last := placement.Millis(0); ; {
		var l fileLine
		if err := r.next(&l); err != nil {
			return nil, err
		}
		if l.At < last {
			return nil, r.errorf("at %v, which is before the line above: the history is out of order", float64(l.At))
		}
		last = l.At
		if l.End != nil {
			if err := r.checkEnd(*l.End, len(h.events)); err != nil {
				return nil, err
			}
			h.ended = l.At
			return h, nil
		}
		e, err := d.decode(&l)
		if err != nil {
			return nil, r.errorf("%v", err)
		}
		h.events = append(h.events, e)
	}
}

// fileReader reads JSON documents line by line.
type fileReader struct {
	name   string
	lines  *bufio.Scanner
	number int // of the current line
}

func (r *fileReader) errorf(format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s", r.name, r.number, fmt.Sprintf(format, args...))
}

func (r *fileReader) next(into any) error {
	r.number++
	if !r.lines.Scan() {
		if err := r.lines.Err(); err != nil {
			return r.errorf("%v", err)
		}
		return r.errorf("the history is cut off: its end is missing; record it anew")
	}
	d := json.NewDecoder(bytes.NewReader(r.lines.Bytes()))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return r.errorf("%v", err)
	}
	if d.More() {
		return r.errorf("something stands behind the document")
	}
	return nil
}

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
	processes map[string]*Process
	running   map[string]bool
}

func (d *eventDecoder) decode(l *fileLine) (Event, error) {
	p, err := d.process(l)
	if err != nil {
		return Event{}, err
	}
	e := Event{Kind: l.Kind, At: l.At, Process: p, Conn: l.Conn}
	switch l.Kind {
	case ProcessStarted, ProcessKilled:
		if d.running[l.Process] == (l.Kind == ProcessStarted) {
			return e, fmt.Errorf("%q %s, and did so before", l.Process, l.Kind)
		}
		d.running[l.Process] = l.Kind == ProcessStarted
	case FrameSent, FrameReceived:
		err := d.frame(l, &e)
		return e, err
	case ProcessPaused:
		e.Until = l.Until
	case ConnectionOpened, ConnectionClosed:
	default:
		return e, fmt.Errorf("%q is nothing that is seen", l.Kind)
	}
	if len(l.Frame) > 0 {
		return e, frameCountError(l)
	}
	return e, nil
}

// process returns the process of a line. Its role and id are on the line of its first start.
func (d *eventDecoder) process(l *fileLine) (*Process, error) {
	if p := d.processes[l.Process]; p != nil {
		return p, nil
	}
	role := pb.Role(pb.Role_value[l.Role])
	if role == pb.Role_ROLE_UNSPECIFIED || l.Kind != ProcessStarted {
		return nil, fmt.Errorf("%q is seen for the first time, and it is not its start in a known role", l.Process)
	}
	p := &Process{Name: l.Process, Role: role, ID: l.ID}
	d.processes[l.Process] = p
	return p, nil
}

func (d *eventDecoder) frame(l *fileLine, e *Event) error {
	if len(l.Frame) == 0 {
		return frameCountError(l)
	}
	if !d.running[l.Process] {
		return fmt.Errorf("%q %s a frame while it is dead", l.Process, l.Kind)
	}
	e.Arrived = cmp.Or(l.Arrived, l.At)
	e.Frame = &pb.Frame{}
	if err := protojson.Unmarshal(l.Frame, e.Frame); err != nil {
		return err
	}
	if e.Frame.Body == nil {
		return fmt.Errorf("%q %s a frame that holds nothing", l.Process, l.Kind)
	}
	return nil
}

func frameCountError(l *fileLine) error {
	return fmt.Errorf("%q %s: a frame is missing, or one too many", l.Process, l.Kind)
}
