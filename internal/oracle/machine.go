package oracle

import (
	"slices"

	"grebeglade/placement"
)

// roundingTolerance prevents rounding errors from rejecting a workload that fits exactly.
const roundingTolerance = 1e-9

// machineState is a machine's state. Only a ready machine accepts workloads.
type machineState uint8

const (
	machineDown machineState = iota
	machineReady
	machineDraining // continues its running workloads and accepts none
)

// runningWorkload is a workload that runs on a machine.
type runningWorkload struct {
	workload *Workload
	since    placement.Millis
}

func (r runningWorkload) coreTime(until placement.Millis) float64 {
	return r.workload.Cores * float64(until-r.since)
}

// machine is the state of a machine at the current time of a placer.
type machine struct {
	*Machine
	state      machineState
	startedAt  placement.Millis
	firstStart bool      // the latest start was the machine's first
	requested  resources // sum of the requests of running workloads
	used       resources // sum of the use by running workloads
	running    []runningWorkload
	placedAt   []placement.Millis // times of all placements since the machine's start
}

// resources is an amount of each resource.
type resources struct {
	cores  float64
	memory float64
}

func (r *resources) add(cores, memory float64) {
	r.cores += cores
	r.memory += memory
}

// plus returns the resources increased by cores and memory.
func (r resources) plus(cores, memory float64) resources {
	r.add(cores, memory)
	return r
}

// within reports whether the resources fit in a capacity of cores and memory.
func (r resources) within(cores, memory float64) bool {
	return r.cores <= cores+roundingTolerance && r.memory <= memory+roundingTolerance
}

func (m *machine) start(now placement.Millis, first bool) {
	m.state = machineReady
	m.startedAt = now
	m.firstStart = first
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

// stop sets the machine to down and returns the workloads that were running on it.
func (m *machine) stop() []runningWorkload {
	lost := m.running
	m.state = machineDown
	m.running = nil
	m.placedAt = nil
	m.requested = resources{}
	m.used = resources{}
	return lost
}

// fits reports whether the machine accepts workloads and has the capacity for w.
func (m *machine) fits(w *Workload) bool {
	if m.state != machineReady {
		return false
	}
	requested := m.requested.plus(w.Cores, w.Memory)
	used := m.used.plus(w.UsedCores, w.UsedMemory)
	return requested.within(m.MaxRequestedCores, m.MaxRequestedMemory) && used.within(m.Cores, m.Memory)
}

func (m *machine) place(now placement.Millis, w *Workload) {
	m.running = append(m.running, runningWorkload{workload: w, since: now})
	m.placedAt = append(m.placedAt, now)
	m.requested.add(w.Cores, w.Memory)
	m.used.add(w.UsedCores, w.UsedMemory)
}

// remove removes a workload and returns it. ok is false if it is not running on the machine.
func (m *machine) remove(w *Workload) (removed runningWorkload, ok bool) {
	i := slices.IndexFunc(m.running, func(r runningWorkload) bool { return r.workload == w })
	if i < 0 {
		return runningWorkload{}, false
	}
	removed = m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	m.requested.add(-w.Cores, -w.Memory)
	m.used.add(-w.UsedCores, -w.UsedMemory)
	return removed, true
}

// placedSince returns the number of workloads placed on the machine after time t.
func (m *machine) placedSince(t placement.Millis) int {
	count := 0
	for _, at := range m.placedAt {
		if at > t {
			count++
		}
	}
	return count
}

// sharesScope reports whether two machines are in the same scope.
func (m *machine) sharesScope(other *machine, scope placement.Scope) bool {
	switch scope {
	case placement.ScopeNode:
		return m == other
	case placement.ScopeCell:
		return m.Zone == other.Zone && m.Cell == other.Cell
	case placement.ScopeZone:
		return m.Zone == other.Zone
	case placement.ScopeNone, placement.ScopeAll:
		return true
	}
	return true
}

// countService returns the number of workloads of a service that are running on the machine.
func (m *machine) countService(service uint64) int {
	count := 0
	for _, r := range m.running {
		if r.workload.Service == service {
			count++
		}
	}
	return count
}
