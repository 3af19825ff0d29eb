package emulator

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// process is what all emulated processes have: a network, and timers on its clock.
type process struct {
	network transport.FrameNetwork
	timers  transport.Timers
}

// Wake implements transport.FrameHandler.
func (p *process) Wake(now placement.Millis) {
	p.timers.RunDue(now)
	p.wake()
}

// wake has the network call Wake when the next timer is due. Each handler calls it last.
func (p *process) wake() {
	if at, ok := p.timers.Next(); ok {
		p.network.WakeAt(at)
	}
}
