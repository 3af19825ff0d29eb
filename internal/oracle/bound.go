package oracle

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// Bound returns core time, in core milliseconds until the end, that no schedule can exceed: at each instant what is wanted
// then, as far as the machines that are up could hold it if they were one, in each dimension by itself.
func Bound(machines []Machine, wants []Want, end placement.Millis) float64 {
	dimensions := newDimensions(wants)
	times := changeTimes(machines, wants, end)
	total := 0.0
	for i := range len(times) - 1 {
		from, until := times[i], min(times[i+1], end)
		if from >= end {
			break
		}
		total += mostCores(dimensions, machines, from) * float64(until-from)
	}
	return total
}

// changeTimes returns the times at which machines or wants come or go, and the end, in order.
func changeTimes(machines []Machine, wants []Want, end placement.Millis) []placement.Millis {
	times := []placement.Millis{end}
	for _, m := range machines {
		for _, s := range m.Up {
			times = append(times, s.From, s.Until)
		}
	}
	for _, w := range wants {
		times = append(times, w.From, w.Until)
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// dimension is one of the limits of machines.
type dimension struct {
	need     func(*Want) float64
	capacity func(*Machine) float64
	wants    []*Want // those that give most core time for what they need come first
}

func newDimensions(wants []Want) []dimension {
	dimensions := []dimension{
		{need: func(w *Want) float64 { return w.Cores }, capacity: func(m *Machine) float64 { return m.AskCores }},
		{need: func(w *Want) float64 { return w.Memory }, capacity: func(m *Machine) float64 { return m.AskMemory }},
		{need: func(w *Want) float64 { return w.UsesCores }, capacity: func(m *Machine) float64 { return m.Cores }},
		{need: func(w *Want) float64 { return w.UsesMemory }, capacity: func(m *Machine) float64 { return m.Memory }},
	}
	for i := range dimensions {
		d := &dimensions[i]
		for j := range wants {
			d.wants = append(d.wants, &wants[j])
		}
		slices.SortStableFunc(d.wants, func(x, y *Want) int { return cmp.Compare(d.need(x)*y.Cores, d.need(y)*x.Cores) })
	}
	return dimensions
}

// mostCores returns the cores of the wants that can run at a time, by the tightest dimension.
func mostCores(dimensions []dimension, machines []Machine, at placement.Millis) float64 {
	most := dimensions[0].mostCores(machines, at)
	for _, d := range dimensions[1:] {
		most = min(most, d.mostCores(machines, at))
	}
	return most
}

// mostCores returns the cores of the wants that can run at a time, if only this dimension limits them. The last of them
// may run in part.
func (d *dimension) mostCores(machines []Machine, at placement.Millis) float64 {
	available := d.available(machines, at)
	cores := 0.0
	for _, w := range d.wants {
		if available <= 0 {
			break
		}
		if w.From > at || w.Until <= at {
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
