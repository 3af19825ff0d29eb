package network

import (
	"math"

	"grebeglade/internal/oracle"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// lifecycle is the state of the process: its handler, its incarnation, and the calls that a pause defers.
type lifecycle struct {
	newHandler  func(incarnation uint64) transport.FrameHandler
	handler     transport.FrameHandler // nil while the process does not run
	incarnation uint64
	paused      bool
	deferred    []func(now placement.Millis) // calls that are made when the pause ends
	arrivedAt   placement.Millis             // host time at which the frame that is being delivered arrived
}

// Handler returns the handler of the running process, or nil while it does not run.
func (i *Interceptor) Handler() transport.FrameHandler { return i.handler }

// Alive reports whether the process runs.
func (i *Interceptor) Alive() bool { return i.handler != nil }

// Restart starts the process with the next incarnation, unless it runs.
func (i *Interceptor) Restart(now placement.Millis) {
	if i.handler != nil {
		return
	}
	i.incarnation++
	i.Uptime = append(i.Uptime, oracle.Span{From: now, Until: placement.Millis(math.Inf(1))})
	i.handler = i.newHandler(i.incarnation)
	i.observer.Process(now, &i.Process, true)
	i.handler.Start(i.clock.toLocal(now), i)
}

// Kill ends the process without a shutdown: its connections close, and its state is lost.
func (i *Interceptor) Kill(now placement.Millis) {
	if i.handler == nil {
		return
	}
	i.Uptime[len(i.Uptime)-1].Until = now
	i.observer.Process(now, &i.Process, false)
	if i.OnKill != nil {
		i.OnKill(i.handler)
	}
	i.handler = nil
	i.deferred = nil
	i.cut.dropQueues()
	i.closeAll(now)
}

// Pause stops the process until Resume is called. Events in between are delivered by Resume. The planned end of the
// pause, until, is only passed to the observer.
func (i *Interceptor) Pause(now, until placement.Millis) {
	if i.handler != nil {
		i.paused = true
		i.observer.Pause(now, &i.Process, until)
	}
}

// Resume ends a pause, and delivers the deferred events in order.
func (i *Interceptor) Resume(now placement.Millis) {
	i.paused = false
	deferred := i.deferred
	i.deferred = nil
	for _, call := range deferred {
		if i.handler != nil {
			call(now)
		}
	}
}

// deliver calls the process, now or when it resumes.
func (i *Interceptor) deliver(now placement.Millis, call func(now placement.Millis)) {
	if i.paused {
		i.deferred = append(i.deferred, call)
	} else if i.handler != nil {
		call(now)
	}
}
