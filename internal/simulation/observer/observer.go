// Package observer records the traffic between the processes of a simulation run: frames with their times and
// directions, opened and closed connections, and starts, ends and pauses of processes. The internal state of a process
// is not observed.
package observer

import (
	"fmt"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Process identifies a process of a run: an allocator, a node, a client or the discovery service. Observers compare
// processes by pointer.
type Process struct {
	Name string
	Role pb.Role
	ID   int // unique within the role; for a node, its node ID
}

// Observer is notified of the events of the processes of a run. A frame is reported at both ends of its connection.
type Observer interface {
	// Frame is called when a process has sent a frame, or when a frame is delivered to it. A frame that was queued
	// before its delivery has an earlier arrival time.
	Frame(now, arrived placement.Millis, process *Process, conn transport.ConnID, sent bool, frame *pb.Frame)
	// Connection is called when a connection of a process opens or closes.
	Connection(now placement.Millis, process *Process, conn transport.ConnID, open bool)
	// Process is called when a process starts or is killed.
	Process(now placement.Millis, process *Process, running bool)
	// Pause is called when a process stops running until the given time.
	Pause(now placement.Millis, process *Process, until placement.Millis)
}

// Discard is an Observer that ignores all events.
type Discard struct{}

// Frame does nothing.
func (Discard) Frame(_, _ placement.Millis, _ *Process, _ transport.ConnID, _ bool, _ *pb.Frame) {}

// Connection does nothing.
func (Discard) Connection(placement.Millis, *Process, transport.ConnID, bool) {}

// Process does nothing.
func (Discard) Process(placement.Millis, *Process, bool) {}

// Pause does nothing.
func (Discard) Pause(placement.Millis, *Process, placement.Millis) {}

// Tee is an Observer that passes each event to all of its observers, in order.
type Tee []Observer

// Frame implements Observer.
func (t Tee) Frame(
	now, arrived placement.Millis, process *Process, conn transport.ConnID, sent bool, frame *pb.Frame,
) {
	for _, o := range t {
		o.Frame(now, arrived, process, conn, sent, frame)
	}
}

// Connection implements Observer.
func (t Tee) Connection(now placement.Millis, process *Process, conn transport.ConnID, open bool) {
	for _, o := range t {
		o.Connection(now, process, conn, open)
	}
}

// Process implements Observer.
func (t Tee) Process(now placement.Millis, process *Process, running bool) {
	for _, o := range t {
		o.Process(now, process, running)
	}
}

// Pause implements Observer.
func (t Tee) Pause(now placement.Millis, process *Process, until placement.Millis) {
	for _, o := range t {
		o.Pause(now, process, until)
	}
}

// BindKey identifies a bind, like pb.BindID, and can be used as a map key.
type BindKey struct {
	Allocator   string
	Incarnation uint64
	Workload    uint64
	Number      uint32
}

// KeyOf returns the key of a bind ID, or the zero key for nil.
func KeyOf(b *pb.BindID) BindKey {
	return BindKey{
		Allocator:   b.GetAllocator(),
		Incarnation: b.GetIncarnation(),
		Workload:    b.GetWorkload(),
		Number:      b.GetNumber(),
	}
}

// String returns the key in the form in which reports show it.
func (k BindKey) String() string {
	return fmt.Sprintf("%s.%d bind %d.%d", k.Allocator, k.Incarnation, k.Workload, k.Number)
}
