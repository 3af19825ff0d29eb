// Package network provides a virtual network with its clock, and the faults of networks, clocks and processes.
package network

import (
	"maps"
	"slices"

	"grebeglade/internal/oracle"
	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// Interceptor sits between a process and its network. It starts, kills, pauses and cuts off the process, injects faults
// into its connections and clock, and notifies an observer. Its methods must be called on the process's goroutine.
type Interceptor struct {
	observer.Process
	OnKill func(handler transport.FrameHandler) // called before Kill ends the process, or nil
	Uptime []oracle.Span                        // periods in which the process ran

	observer observer.Observer
	net      transport.FrameNetwork
	conns    map[transport.ConnID]bool // open, or dialed by the process
	lifecycle
	clock  clock
	cut    cut
	delays frameDelays
}

// NewInterceptor returns an interceptor of a process. At each start of the process, newHandler is called with the
// incarnation and returns the process's handler.
func NewInterceptor(
	name string, role pb.Role, id int, o observer.Observer, newHandler func(uint64) transport.FrameHandler,
) *Interceptor {
	return &Interceptor{
		Process: observer.Process{
			Name: name,
			Role: role,
			ID:   id,
		},
		observer:  o,
		conns:     map[transport.ConnID]bool{},
		lifecycle: lifecycle{newHandler: newHandler},
		delays:    frameDelays{until: map[transport.ConnID]placement.Millis{}},
	}
}

// Start implements transport.FrameHandler.
func (i *Interceptor) Start(now placement.Millis, net transport.FrameNetwork) {
	i.net = net
	i.Restart(now)
}

// Opened implements transport.FrameHandler.
func (i *Interceptor) Opened(now placement.Millis, conn transport.ConnID) {
	if i.handler == nil || i.cut.active() {
		i.rejectConnection(now, conn)
		return
	}
	i.conns[conn] = true
	i.observer.Connection(now, &i.Process, conn, true)
	i.deliver(now, func(now placement.Millis) { i.handler.Opened(i.clock.toLocal(now), conn) })
}

// rejectConnection closes a connection that has just opened. If the process dialed it, the process is notified.
func (i *Interceptor) rejectConnection(now placement.Millis, conn transport.ConnID) {
	i.net.Close(conn)
	if i.conns[conn] {
		delete(i.conns, conn)
		i.deliverClosed(now, conn, errCutOff)
	}
}

// Received implements transport.FrameHandler.
func (i *Interceptor) Received(now placement.Millis, conn transport.ConnID, frame *pb.Frame) {
	switch {
	case !i.conns[conn]:
	case i.cut.in:
		i.cut.queuedIn = append(i.cut.queuedIn, queuedFrame{conn, frame})
	case i.delays.active() && i.applyFaults(now, conn, frame):
	default:
		i.deliverFrame(now, conn, frame)
	}
}

// deliverFrame delivers a frame to the process, now or when it resumes.
func (i *Interceptor) deliverFrame(now placement.Millis, conn transport.ConnID, frame *pb.Frame) {
	if i.handler != nil && !i.paused { // the common case, without a closure
		i.handleFrame(now, now, conn, frame)
		return
	}
	arrived := now
	i.deliver(now, func(now placement.Millis) { i.handleFrame(now, arrived, conn, frame) })
}

func (i *Interceptor) handleFrame(now, arrived placement.Millis, conn transport.ConnID, frame *pb.Frame) {
	i.arrivedAt = arrived
	i.observer.Frame(now, arrived, &i.Process, conn, false, frame)
	i.handler.Received(i.clock.toLocal(now), conn, frame)
}

// Closed implements transport.FrameHandler.
func (i *Interceptor) Closed(now placement.Millis, conn transport.ConnID, reason error) {
	if !i.conns[conn] {
		return
	}
	delete(i.conns, conn)
	delete(i.delays.until, conn)
	i.deliver(now, func(now placement.Millis) {
		i.observer.Connection(now, &i.Process, conn, false)
		i.handler.Closed(i.clock.toLocal(now), conn, reason)
	})
}

// deliverClosed notifies the process of a closed connection, now or when it resumes.
func (i *Interceptor) deliverClosed(now placement.Millis, conn transport.ConnID, reason error) {
	i.deliver(now, func(now placement.Millis) { i.handler.Closed(i.clock.toLocal(now), conn, reason) })
}

// closeAll closes all connections, and returns them in order. The process is not notified.
func (i *Interceptor) closeAll(now placement.Millis) []transport.ConnID {
	all := slices.Sorted(maps.Keys(i.conns))
	for _, conn := range all {
		i.net.Close(conn)
		i.observer.Connection(now, &i.Process, conn, false)
	}
	clear(i.conns)
	return all
}

// Wake implements transport.FrameHandler.
func (i *Interceptor) Wake(now placement.Millis) {
	if i.handler != nil && !i.paused { // the common case, without a closure
		i.handler.Wake(i.clock.toLocal(now))
		return
	}
	i.deliver(now, func(now placement.Millis) { i.handler.Wake(i.clock.toLocal(now)) })
}

// Dial implements transport.FrameNetwork for the process.
func (i *Interceptor) Dial(addr string) transport.ConnID {
	conn := i.net.Dial(addr)
	i.conns[conn] = true
	return conn
}

// Send implements transport.FrameNetwork for the process.
func (i *Interceptor) Send(conn transport.ConnID, frame *pb.Frame) {
	if !i.conns[conn] {
		return
	}
	if i.cut.out {
		i.cut.queuedOut = append(i.cut.queuedOut, queuedFrame{conn, frame})
		return
	}
	i.net.Send(conn, frame)
	i.observer.Frame(i.net.Now(), i.net.Now(), &i.Process, conn, true, frame)
}

// Close implements transport.FrameNetwork for the process.
func (i *Interceptor) Close(conn transport.ConnID) {
	if i.conns[conn] {
		delete(i.conns, conn)
		i.observer.Connection(i.net.Now(), &i.Process, conn, false)
		i.net.Close(conn)
	}
}

// Arrived returns the local time at which the frame that is being delivered arrived. It is earlier than Now for frames
// that were queued during a pause, as they are delivered together.
func (i *Interceptor) Arrived() placement.Millis { return i.clock.toLocal(i.arrivedAt) }
