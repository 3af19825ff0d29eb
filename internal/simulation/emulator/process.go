package emulator

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// process has the fields and methods common to all emulated processes: a network, and timers on the network's clock.
type process struct {
	network transport.FrameNetwork
	timers  transport.Timers
}

// Wake implements transport.FrameHandler.
func (p *process) Wake(now placement.Millis) {
	p.timers.RunDue(now)
	p.scheduleWake()
}

// scheduleWake schedules a call of Wake for the next timer. Each handler method calls it last.
func (p *process) scheduleWake() {
	if at, ok := p.timers.Next(); ok {
		p.network.WakeAt(at)
	}
}
