package oracle

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// Bound returns the core time, in core milliseconds until the end, that no schedule can exceed: at each instant what is
// requested, as far as the machines that are up could run it if they were one machine. Each resource is limited
// independently of the others, and the tightest limit counts.
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

// changeTimes returns the times at which a machine or a workload starts or ends, and the end, in order.
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

// dimension is one of the resource limits of machines.
type dimension struct {
	need      func(*Workload) float64
	capacity  func(*Machine) float64
	workloads []*Workload // those with the most core time for their need come first
}

// newDimensions returns the limits on requested and on used cores and memory.
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

// setWorkloads sorts pointers to the workloads by cores per need, descending. The products avoid a division by zero.
func (d *dimension) setWorkloads(workloads []Workload) {
	for i := range workloads {
		d.workloads = append(d.workloads, &workloads[i])
	}
	slices.SortStableFunc(d.workloads, func(x, y *Workload) int {
		return cmp.Compare(d.need(x)*y.Cores, d.need(y)*x.Cores)
	})
}

// maxCores returns the cores of the workloads that can run at a time, by the tightest dimension.
func maxCores(dimensions []dimension, machines []Machine, at placement.Millis) float64 {
	cores := dimensions[0].maxCores(machines, at)
	for _, d := range dimensions[1:] {
		cores = min(cores, d.maxCores(machines, at))
	}
	return cores
}

// maxCores returns the cores of the workloads that can run at a time, if only this dimension limits them. The last of
// them may run in part.
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

// available returns the capacity of the machines that are up at a time.
func (d *dimension) available(machines []Machine, at placement.Millis) float64 {
	sum := 0.0
	for i := range machines {
		if slices.ContainsFunc(machines[i].Up, func(s Span) bool { return s.contains(at) }) {
			sum += d.capacity(&machines[i])
		}
	}
	return sum
}
