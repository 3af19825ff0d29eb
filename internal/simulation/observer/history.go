package observer

import (
	"cmp"
	"slices"
	"sync"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// History is an Observer that keeps all events, so that a run can be audited after its end, directly or from a file.
// Its Observer methods are safe for concurrent use.
type History struct {
	terms  scenario.Terms
	ended  placement.Millis
	mu     sync.Mutex // guards events during the run: on sockets, each process has its own goroutine
	events []Event
}

// EventKind is the kind of an event, as written in history files.
type EventKind string

// The kinds of events.
const (
	FrameSent        EventKind = "sends"
	FrameReceived    EventKind = "gets"
	ConnectionOpened EventKind = "opens"
	ConnectionClosed EventKind = "closes"
	ProcessStarted   EventKind = "starts"
	ProcessKilled    EventKind = "dies"
	ProcessPaused    EventKind = "stands still"
)

// Event is one observation.
type Event struct {
	Kind    EventKind
	At      placement.Millis
	Arrived placement.Millis // time at which a frame reached the host of the process
	Until   placement.Millis // end of a pause
	Process *Process
	Conn    transport.ConnID
	Frame   *pb.Frame // nil unless Kind is FrameSent or FrameReceived
}

// NewHistory returns an empty history of a run that is audited under these terms.
func NewHistory(t scenario.Terms) *History { return &History{terms: t} }

// Terms returns the terms under which the run is audited.
func (h *History) Terms() scenario.Terms { return h.terms }

// Events returns the events, sorted by time after End. It must not be called while events are still added.
func (h *History) Events() []Event { return h.events }

func (h *History) add(e Event) {
	h.mu.Lock()
	h.events = append(h.events, e)
	h.mu.Unlock()
}

// Frame implements Observer.
func (h *History) Frame(
	now, arrived placement.Millis, process *Process, conn transport.ConnID, sent bool, frame *pb.Frame,
) {
	kind := FrameReceived
	if sent {
		kind = FrameSent
	}
	h.add(Event{
		Kind:    kind,
		At:      now,
		Arrived: arrived,
		Process: process,
		Conn:    conn,
		Frame:   frame,
	})
}

// Connection implements Observer.
func (h *History) Connection(now placement.Millis, process *Process, conn transport.ConnID, open bool) {
	kind := ConnectionClosed
	if open {
		kind = ConnectionOpened
	}
	h.add(Event{
		Kind:    kind,
		At:      now,
		Process: process,
		Conn:    conn,
	})
}

// Process implements Observer.
func (h *History) Process(now placement.Millis, process *Process, running bool) {
	kind := ProcessKilled
	if running {
		kind = ProcessStarted
	}
	h.add(Event{
		Kind:    kind,
		At:      now,
		Process: process,
	})
}

// Pause implements Observer.
func (h *History) Pause(now placement.Millis, process *Process, until placement.Millis) {
	h.add(Event{
		Kind:    ProcessPaused,
		At:      now,
		Until:   until,
		Process: process,
	})
}

// End ends the history and sorts its events by time. Events of one process keep their order, because the host's clock
// never steps back.
func (h *History) End(now placement.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = now
	slices.SortStableFunc(h.events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
}

// Ended returns the time at which the run ended, as passed to End.
func (h *History) Ended() placement.Millis { return h.ended }

// Replay notifies an observer of all events in the history, in order.
func (h *History) Replay(to Observer) {
	for _, event := range h.events {
		event.replay(to)
	}
}

// replay notifies an observer of the event.
func (e *Event) replay(to Observer) {
	switch e.Kind {
	case FrameSent, FrameReceived:
		to.Frame(e.At, e.Arrived, e.Process, e.Conn, e.Kind == FrameSent, e.Frame)
	case ConnectionOpened, ConnectionClosed:
		to.Connection(e.At, e.Process, e.Conn, e.Kind == ConnectionOpened)
	case ProcessStarted, ProcessKilled:
		to.Process(e.At, e.Process, e.Kind == ProcessStarted)
	case ProcessPaused:
		to.Pause(e.At, e.Process, e.Until)
	}
}
