package simulation

import (
	"grebeglade/internal/simulation/emulator"
	"grebeglade/placement"
)

// overloadLag is the added delay in ms before a registration takes effect, per unit of a discovery overload's size.
const overloadLag = 50

func (r *Run) planAllocatorCrash(fault plannedFault) { r.crash(r.allocators, fault) }
func (r *Run) planAllocatorPause(fault plannedFault) { r.pauseRepeatedly(r.allocators, fault) }

func (r *Run) planRequestBurst(fault plannedFault) {
	r.onClients(fault.from, func(_ placement.Millis, c *emulator.Client) { c.RateFactor = fault.Size })
	r.onClients(fault.until, func(_ placement.Millis, c *emulator.Client) { c.RateFactor = 1 })
}

func (r *Run) planHotAllocator(fault plannedFault) {
	r.onClients(fault.from, func(_ placement.Millis, c *emulator.Client) { c.FirstAllocatorShare = fault.Size })
	r.onClients(fault.until, func(_ placement.Millis, c *emulator.Client) { c.FirstAllocatorShare = 0 })
}

func (r *Run) planServiceRestart(fault plannedFault) {
	r.onClients(fault.from, func(now placement.Millis, c *emulator.Client) {
		c.Restart(now, fault.Size, fault.Duration)
	})
}

// planClientDisconnect breaks the connections of clients, which can reconnect 1 ms later.
func (r *Run) planClientDisconnect(fault plannedFault) {
	for _, process := range r.sample(r.clients, fault.Share) {
		r.host.RunAt(process, fault.from, process.Cut)
		r.host.RunAt(process, fault.from+1, process.BreakConnections)
		r.host.RunAt(process, fault.from+2, process.Heal)
	}
}

func (r *Run) planDiscoveryOverload(fault plannedFault) {
	r.onDiscovery(fault.from, func(_ placement.Millis, s *emulator.DiscoveryService) {
		s.Slowdown = fault.Size
		s.ExtraLag = placement.Millis(fault.Size) * overloadLag
	})
	r.onDiscovery(fault.until, func(_ placement.Millis, s *emulator.DiscoveryService) {
		s.Slowdown = 1
		s.ExtraLag = 0
	})
}

func (r *Run) planDiscoveryLate(fault plannedFault) {
	lag := placement.Millis(fault.Size)
	r.onDiscovery(fault.from, func(_ placement.Millis, s *emulator.DiscoveryService) { s.ExtraLag = lag })
	r.onDiscovery(fault.until, func(_ placement.Millis, s *emulator.DiscoveryService) { s.ExtraLag = 0 })
}

func (r *Run) planDiscoveryStale(fault plannedFault) {
	r.onDiscovery(fault.from, func(_ placement.Millis, s *emulator.DiscoveryService) { s.SetStale(true) })
	r.onDiscovery(fault.until, func(_ placement.Millis, s *emulator.DiscoveryService) { s.SetStale(false) })
}

func (r *Run) planDiscoveryWrong(fault plannedFault) { r.misreport(fault, fault.Size, false) }
func (r *Run) planDiscoveryEmpty(fault plannedFault) { r.misreport(fault, 1, true) }

// misreport makes the discovery service report a multiple of the free capacity, or no nodes, until the fault ends.
func (r *Run) misreport(fault plannedFault, capacityFactor float64, empty bool) {
	r.onDiscovery(fault.from, func(_ placement.Millis, s *emulator.DiscoveryService) {
		s.Misreport(capacityFactor, empty)
	})
	r.onDiscovery(fault.until, func(_ placement.Millis, s *emulator.DiscoveryService) { s.Misreport(1, false) })
}
