package simulation

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"

	"google.golang.org/protobuf/encoding/protojson"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// History is what was seen of a day from outside: frames with their times and directions, connections, lives and deaths of
// processes. It is a Witness, and all that the auditor needs to judge the day, at once or from a file.
//
// A file holds one JSON document a line: first the terms, then what was seen, by time, last an end that counts it. So a file
// that was cut off, put out of order or garbled is an error with its line, and never passes.
type History struct {
	terms  scenario.Terms
	ended  placement.Millis
	mu     sync.Mutex // parties on sockets have goroutines of their own
	sights []sight
}

const (
	historyVersion = 1
	mostLine       = 16 << 20 // bytes of one line; a frame of the wire has a mebibyte at most
)

// sight is one thing that was seen.
type sight struct {
	what    string
	at      placement.Millis
	arrived placement.Millis // when a frame reached the machine; until when a process stands still
	gate    *Interceptor
	conn    transport.ConnID
	frame   *pb.Frame
}

// What can be seen of a party.
const (
	sends  = "sends"
	gets   = "gets"
	opens  = "opens"
	closes = "closes"
	starts = "starts"
	dies   = "dies"
	stands = "stands still"
)

// NewHistory makes a history of a day that is held to these terms.
func NewHistory(t scenario.Terms) *History { return &History{terms: t} }

func (h *History) add(s sight) {
	h.mu.Lock()
	h.sights = append(h.sights, s)
	h.mu.Unlock()
}

func (h *History) Frame(now, arrived placement.Millis, g *Interceptor, c transport.ConnID, out bool, f *pb.Frame) {
	what := gets
	if out {
		what = sends
	}
	h.add(sight{what, now, arrived, g, c, f})
}

func (h *History) Conn(now placement.Millis, g *Interceptor, c transport.ConnID, open bool) {
	what := closes
	if open {
		what = opens
	}
	h.add(sight{what, now, 0, g, c, nil})
}

func (h *History) Life(now placement.Millis, g *Interceptor, alive bool) {
	what := dies
	if alive {
		what = starts
	}
	h.add(sight{what, now, 0, g, 0, nil})
}

func (h *History) Still(now placement.Millis, g *Interceptor, until placement.Millis) {
	h.add(sight{stands, now, until, g, 0, nil})
}

// End ends the history. One party's sights keep their order: its clock never steps back.
func (h *History) End(now placement.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = now
	slices.SortStableFunc(h.sights, func(x, y sight) int { return cmp.Compare(x.at, y.at) })
}

// Audit judges the history by nothing but what it holds.
func (h *History) Audit() *Auditor {
	a := NewAuditor(h.terms)
	for _, s := range h.sights {
		switch s.what {
		case sends, gets:
			a.Frame(s.at, s.arrived, s.gate, s.conn, s.what == sends, s.frame)
		case opens, closes:
			a.Conn(s.at, s.gate, s.conn, s.what == opens)
		case starts, dies:
			a.Life(s.at, s.gate, s.what == starts)
		case stands:
			a.Still(s.at, s.gate, s.arrived)
		}
	}
	a.Finish(h.ended)
	return a
}

// The lines of a file.
type (
	historyHead struct {
		History int             `json:"history"`
		Terms   *scenario.Terms `json:"terms"`
	}
	historyLine struct {
		At      placement.Millis `json:"at"`
		Who     string           `json:"who,omitempty"`
		Role    string           `json:"role,omitempty"` // at a party's first start only
		ID      int              `json:"id,omitempty"`   // likewise
		What    string           `json:"what,omitempty"`
		Conn    transport.ConnID `json:"conn,omitempty"`
		Arrived placement.Millis `json:"arrived,omitempty"` // where it is another time
		Until   placement.Millis `json:"until,omitempty"`
		Frame   json.RawMessage  `json:"frame,omitempty"`
		End     *int             `json:"end,omitempty"` // how many lines stand between the first and this, the last
	}
)

// Write writes the history down.
func (h *History) Write(to io.Writer) error {
	w := bufio.NewWriter(to)
	e := json.NewEncoder(w)
	if err := e.Encode(historyHead{historyVersion, &h.terms}); err != nil {
		return err
	}
	named := map[*Interceptor]bool{}
	for _, s := range h.sights {
		l := historyLine{At: s.at, Who: s.gate.Name, What: s.what, Conn: s.conn}
		if !named[s.gate] {
			named[s.gate], l.Role, l.ID = true, s.gate.Role.String(), s.gate.ID
		}
		switch {
		case s.what == stands:
			l.Until = s.arrived
		case s.frame != nil && s.arrived != s.at:
			l.Arrived = s.arrived
		}
		if s.frame != nil {
			frame, err := protojson.Marshal(s.frame)
			if err != nil {
				return err
			}
			var text bytes.Buffer
			if err := json.Compact(&text, frame); err != nil { // protojson puts blanks in by chance
				return err
			}
			l.Frame = text.Bytes()
		}
		if err := e.Encode(l); err != nil {
			return err
		}
	}
	n := len(h.sights)
	if err := e.Encode(historyLine{At: h.ended, End: &n}); err != nil {
		return err
	}
	return w.Flush()
}

// write writes it into a file, unless that has no name.
func (h *History) write(file string) error {
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := h.Write(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// ReadHistory reads what Write wrote. What is wrong is named with its line.
func ReadHistory(name string, from io.Reader) (*History, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, mostLine)
	no := 0
	wrong := func(format string, a ...any) error {
		return fmt.Errorf("%s:%d: %s", name, no, fmt.Sprintf(format, a...))
	}
	next := func(into any) error {
		no++
		if !lines.Scan() {
			if err := lines.Err(); err != nil {
				return wrong("%v", err)
			}
			return wrong("the history is cut off: its end is missing; record it anew")
		}
		d := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		d.DisallowUnknownFields()
		if err := d.Decode(into); err != nil {
			return wrong("%v", err)
		}
		if d.More() {
			return wrong("something stands behind the document")
		}
		return nil
	}
	var head historyHead
	switch err := next(&head); {
	case err != nil:
		return nil, err
	case head.History != historyVersion || head.Terms == nil || head.Terms.Model == nil || len(head.Terms.Groups) == 0:
		return nil, wrong("no history of version %d; its first line must hold its terms", historyVersion)
	}
	h := &History{terms: *head.Terms}
	parties := map[string]*Interceptor{}
	lives := map[string]bool{}
	for last := placement.Millis(0); ; {
		var l historyLine
		if err := next(&l); err != nil {
			return nil, err
		}
		if l.At < last {
			return nil, wrong("at %v, which is before the line above: the history is out of order", float64(l.At))
		}
		last = l.At
		if l.End != nil {
			if *l.End != len(h.sights) {
				return nil, wrong("%d lines stand before the end, which counts %d", len(h.sights), *l.End)
			}
			if lines.Scan() {
				no++
				return nil, wrong("something stands behind the end")
			}
			h.ended = l.At
			return h, nil
		}
		s, err := l.sight(parties, lives)
		if err != nil {
			return nil, wrong("%v", err)
		}
		h.sights = append(h.sights, s)
	}
}

// sight says what a line means.
func (l *historyLine) sight(parties map[string]*Interceptor, lives map[string]bool) (sight, error) {
	g := parties[l.Who]
	if g == nil {
		role := pb.Role(pb.Role_value[l.Role])
		if role == pb.Role_ROLE_UNSPECIFIED || l.What != starts {
			return sight{}, fmt.Errorf("%q is seen for the first time, and it is not its start in a known role", l.Who)
		}
		g = &Interceptor{Name: l.Who, Role: role, ID: l.ID}
		parties[l.Who] = g
	}
	s := sight{l.What, l.At, l.Arrived, g, l.Conn, nil}
	frame := false
	switch l.What {
	case starts, dies:
		if lives[l.Who] == (l.What == starts) {
			return s, fmt.Errorf("%q %s, and did so before", l.Who, l.What)
		}
		lives[l.Who] = l.What == starts
	case sends, gets:
		frame = true
		s.arrived = cmp.Or(l.Arrived, l.At)
	case stands:
		s.arrived = l.Until
	case opens, closes:
	default:
		return s, fmt.Errorf("%q is nothing that is seen", l.What)
	}
	switch {
	case frame != (len(l.Frame) > 0):
		return s, fmt.Errorf("%q %s: a frame is missing, or one too many", l.Who, l.What)
	case frame && !lives[l.Who]:
		return s, fmt.Errorf("%q %s a frame while it is dead", l.Who, l.What)
	case frame:
		s.frame = &pb.Frame{}
		if err := protojson.Unmarshal(l.Frame, s.frame); err != nil {
			return s, err
		}
		if s.frame.Body == nil {
			return s, fmt.Errorf("%q %s a frame that holds nothing", l.Who, l.What)
		}
	}
	return s, nil
}

// both tells two witnesses.
type both [2]Observer

func (b both) Frame(now, arrived placement.Millis, g *Interceptor, c transport.ConnID, out bool, f *pb.Frame) {
	b[0].Frame(now, arrived, g, c, out, f)
	b[1].Frame(now, arrived, g, c, out, f)
}

func (b both) Conn(now placement.Millis, g *Interceptor, c transport.ConnID, open bool) {
	b[0].Conn(now, g, c, open)
	b[1].Conn(now, g, c, open)
}

func (b both) Life(now placement.Millis, g *Interceptor, alive bool) {
	b[0].Life(now, g, alive)
	b[1].Life(now, g, alive)
}

func (b both) Still(now placement.Millis, g *Interceptor, until placement.Millis) {
	b[0].Still(now, g, until)
	b[1].Still(now, g, until)
}
