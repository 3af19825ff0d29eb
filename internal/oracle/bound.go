package oracle

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// Bound returns an upper bound on the core time of any schedule, in core milliseconds until the end. At each instant it
// treats the machines that are up as one machine, and counts the requested cores that fit on it. Each resource limits
// the cores independently, and the tightest limit counts.
func Bound(machines []Machine, workloads []Workload, end placement.Millis) float64 {
	dimensions := newDimensions(workloads)
	times := changeTimes(machines, workloads, end)
	coreTime := 0.0
	for i := range len(times) - 1 {
		from := times[i]
		if from >= end {
			break
		}
		until := min(times[i+1], end)
		coreTime += maxCores(dimensions, machines, from) * float64(until-from)
	}
	return coreTime
}

// changeTimes returns the sorted times at which a machine or a workload starts or ends, and the end.
func changeTimes(machines []Machine, workloads []Workload, end placement.Millis) []placement.Millis {
	times := []placement.Millis{end}
	for _, m := range machines {
		for _, s := range m.Up {
			times = append(times, s.From, s.Until)
		}
	}
	for _, w := range workloads {
		times = append(times, w.From, w.Until)
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// dimension is one resource limit of a machine, with the workloads' need for that resource.
type dimension struct {
	need      func(*Workload) float64
	capacity  func(*Machine) float64
	workloads []*Workload // sorted by cores per need, descending
}

// newDimensions returns the dimensions of requested and of used cores and memory.
func newDimensions(workloads []Workload) []dimension {
	dimensions := []dimension{
		{
			need:     func(w *Workload) float64 { return w.Cores },
			capacity: func(m *Machine) float64 { return m.MaxRequestedCores },
		},
		{
			need:     func(w *Workload) float64 { return w.Memory },
			capacity: func(m *Machine) float64 { return m.MaxRequestedMemory },
		},
		{
			need:     func(w *Workload) float64 { return w.UsedCores },
			capacity: func(m *Machine) float64 { return m.Cores },
		},
		{
			need:     func(w *Workload) float64 { return w.UsedMemory },
			capacity: func(m *Machine) float64 { return m.Memory },
		},
	}
	for i := range dimensions {
		dimensions[i].setWorkloads(workloads)
	}
	return dimensions
}

// setWorkloads sets the sorted workloads. It compares products instead of quotients, since a need may be zero.
func (d *dimension) setWorkloads(workloads []Workload) {
	for i := range workloads {
		d.workloads = append(d.workloads, &workloads[i])
	}
	slices.SortStableFunc(d.workloads, func(x, y *Workload) int {
		return cmp.Compare(d.need(x)*y.Cores, d.need(y)*x.Cores)
	})
}

// maxCores returns the most cores of workloads that can run at a point in time, by the tightest dimension.
func maxCores(dimensions []dimension, machines []Machine, at placement.Millis) float64 {
	cores := dimensions[0].maxCores(machines, at)
	for _, d := range dimensions[1:] {
		cores = min(cores, d.maxCores(machines, at))
	}
	return cores
}

// maxCores returns the most cores of workloads that can run at a point in time if only this dimension limits them. The
// last workload that is counted may be counted in part.
func (d *dimension) maxCores(machines []Machine, at placement.Millis) float64 {
	available := d.available(machines, at)
	cores := 0.0
	for _, w := range d.workloads {
		if available <= 0 {
			break
		}
		if !w.wantedAt(at) {
			continue
		}
		need := d.need(w)
		share := 1.0
		if need > available {
			share = available / need
		}
		cores += share * w.Cores
		available -= share * need
	}
	return cores
}

// available returns the total capacity of the machines that are up at a point in time.
func (d *dimension) available(machines []Machine, at placement.Millis) float64 {
	sum := 0.0
	for i := range machines {
		if slices.ContainsFunc(machines[i].Up, func(s Span) bool { return s.contains(at) }) {
			sum += d.capacity(&machines[i])
		}
	}
	return sum
}
