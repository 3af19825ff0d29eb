package oracle

import (
	"slices"

	"grebeglade/placement"
)

// roundingSlack keeps rounding from rejecting what just fits.
const roundingSlack = 1e-9

// machineState is whether a machine accepts workloads.
type machineState uint8

const (
	machineDown machineState = iota
	machineReady
	machineDraining // runs what it has, and accepts nothing
)

// running is a workload that runs on a machine.
type running struct {
	want  *Want
	since placement.Millis
}

func (r running) coreTime(until placement.Millis) float64 {
	return r.want.Cores * float64(until-r.since)
}

// machine is a machine at the current time of a placer.
type machine struct {
	*Machine
	state           machineState
	startedAt       placement.Millis
	firstStart      bool // it has not been down yet
	requested, used size // sums over the workloads that run
	workloads       []running
	placedAt        []placement.Millis // times of all placements since its start
}

// size is an amount of each resource.
type size struct{ cores, memory float64 }

func (s *size) add(cores, memory float64) { s.cores, s.memory = s.cores+cores, s.memory+memory }

// fitsWithin reports whether there is capacity for an addition.
func (s size) fitsWithin(cores, memory, maxCores, maxMemory float64) bool {
	return s.cores+cores <= maxCores+roundingSlack && s.memory+memory <= maxMemory+roundingSlack
}

func (m *machine) start(now placement.Millis, first bool) {
	m.state, m.startedAt, m.firstStart = machineReady, now, first
}

func (m *machine) beginDrain() {
	if m.state == machineReady {
		m.state = machineDraining
	}
}

func (m *machine) endDrain() {
	if m.state == machineDraining {
		m.state = machineReady
	}
}

// stop takes the machine down and returns the workloads that ran on it.
func (m *machine) stop() []running {
	lost := m.workloads
	m.state, m.workloads, m.placedAt = machineDown, nil, nil
	m.requested, m.used = size{}, size{}
	return lost
}

// fits reports whether the machine accepts a workload and has the capacity for it.
func (m *machine) fits(w *Want) bool {
	return m.state == machineReady && m.requested.fitsWithin(w.Cores, w.Memory, m.AskCores, m.AskMemory) &&
		m.used.fitsWithin(w.UsesCores, w.UsesMemory, m.Cores, m.Memory)
}

func (m *machine) place(now placement.Millis, w *Want) {
	m.workloads = append(m.workloads, running{w, now})
	m.placedAt = append(m.placedAt, now)
	m.requested.add(w.Cores, w.Memory)
	m.used.add(w.UsesCores, w.UsesMemory)
}

// remove takes off a workload and returns it, if it runs on the machine.
func (m *machine) remove(w *Want) (r running, removed bool) {
	i := slices.IndexFunc(m.workloads, func(r running) bool { return r.want == w })
	if i < 0 {
		return running{}, false
	}
	r = m.workloads[i]
	m.workloads = slices.Delete(m.workloads, i, i+1)
	m.requested.add(-w.Cores, -w.Memory)
	m.used.add(-w.UsesCores, -w.UsesMemory)
	return r, true
}

// placedSince returns how many workloads were placed after a time.
func (m *machine) placedSince(t placement.Millis) (n int) {
	for _, at := range m.placedAt {
		if at > t {
			n++
		}
	}
	return n
}

// sharesScope reports whether two machines are in the same scope.
func (m *machine) sharesScope(o *machine, s placement.Scope) bool {
	switch s {
	case placement.ScopeNode:
		return m == o
	case placement.ScopeCell:
		return m.Zone == o.Zone && m.Cell == o.Cell
	case placement.ScopeZone:
		return m.Zone == o.Zone
	case placement.ScopeNone, placement.ScopeAll:
	}
	return true
}

// countService returns how many workloads of a service run on the machine.
func (m *machine) countService(service uint64) (n int) {
	for _, r := range m.workloads {
		if r.want.Service == service {
			n++
		}
	}
	return n
}
