// Package oracle works out how much of a day's wanted core time could have run, by someone who knew the true state
// of every machine at every instant.
//
// Two figures bound the best. Bound is never below it: it lets workloads be split and moved at no cost, and minds
// only what the machines of an instant have together. Place is never above it: it is a placing that could have been
// done, by an online rule without any delay. Where the two meet, the best is known exactly; else it lies between.
// With rules, Place keeps the limits that a scheduler must keep besides those of the machines.
//
// Times are milliseconds, sizes cores and the unit of memory of the day. Nothing here does I/O.
package oracle

import (
	"cmp"
	"slices"

	"grebeglade/placement"
)

// Span is a stretch of time.
type Span struct{ From, Until placement.Millis }

// Machine is a machine with the times at which it is there.
type Machine struct {
	Zone, Cell          string
	Cores, Memory       float64 // what workloads can use
	AskCores, AskMemory float64 // what they may ask for, in sum, before the machine refuses
	Up                  []Span
	Drains              []Span // it takes nothing new
}

// Want is a workload: what it asks for, what it then uses, and when it is wanted.
type Want struct {
	From, Until           placement.Millis
	Service               uint64
	Cores, Memory         float64
	UsesCores, UsesMemory float64
	Spread                placement.Scope
	SpreadMost            int
	Again                 placement.Millis // after its machine died, until its owner asks again; below 0 for never
}

// Rules are the limits beyond those of the machines.
type Rules struct {
	// Bears is how many workloads a machine may be sent within Window, so long after its start; below 0 for any.
	Bears  func(up placement.Millis) float64
	Window placement.Millis
	Asked  bool // what a machine loses waits until its owner asks again
}

// placed is a workload on a machine.
type placed struct {
	w     *Want
	on    *machine
	since placement.Millis
}

type machine struct {
	*Machine
	up                  bool
	born                placement.Millis
	first               bool // of its lives: it has been up for long
	draining            bool
	askCores, askMemory float64
	useCores, useMemory float64
	here                []*placed
	sent                []placement.Millis
}

type change struct {
	at   placement.Millis
	rank int // what frees room comes first
	do   func()
}

// Place is the core time, in core milliseconds until the end, that a scheduler gets to run which places at once, sees
// all, and never moves anything: the largest that wait first, each where least is left over. Rules may be nil.
func Place(machines []Machine, wants []Want, end placement.Millis, rules *Rules) float64 {
	p := &placing{end: end, rules: rules}
	changes := p.changes
	for i := range machines {
		m := &machine{Machine: &machines[i]}
		p.machines = append(p.machines, m)
		for j, s := range m.Up {
			if s.Until <= s.From {
				continue
			}
			changes = append(changes,
				change{s.From, 1, func() { m.up, m.draining, m.born, m.first = true, false, s.From, j == 0 }},
				change{s.Until, 0, func() { p.dies(m, s.Until) }})
		}
		for _, s := range m.Drains {
			changes = append(changes, change{s.From, 1, func() { m.draining = true }}, change{s.Until, 1, func() { m.draining = false }})
		}
	}
	for i := range wants {
		w := &wants[i]
		if w.Until <= w.From {
			continue
		}
		changes = append(changes, change{w.From, 2, func() { p.waiting = append(p.waiting, w) }},
			change{w.Until, 0, func() { p.ends(w) }})
	}
	slices.SortStableFunc(changes, func(x, y change) int { return cmp.Or(cmp.Compare(x.at, y.at), x.rank-y.rank) })
	p.changes = changes
	for p.next < len(p.changes) {
		c := p.changes[p.next]
		if c.at >= end {
			break
		}
		p.next++
		c.do()
		if p.next == len(p.changes) || p.changes[p.next].at > c.at {
			p.placeAll(c.at)
		}
	}
	for _, m := range p.machines {
		for _, x := range m.here {
			p.ran += x.w.Cores * float64(min(end, x.w.Until)-x.since)
		}
	}
	return p.ran
}

type placing struct {
	machines []*machine
	waiting  []*Want
	end      placement.Millis
	rules    *Rules
	ran      float64
	changes  []change
	next     int // of them
}

// later has something come about at a time that is not over.
func (p *placing) later(c change) {
	at := p.next
	for at < len(p.changes) && p.changes[at].at <= c.at {
		at++
	}
	p.changes = slices.Insert(p.changes, at, c)
}

func (m *machine) add(w *Want, sign float64) {
	m.askCores += sign * w.Cores
	m.askMemory += sign * w.Memory
	m.useCores += sign * w.UsesCores
	m.useMemory += sign * w.UsesMemory
}

func (p *placing) dies(m *machine, at placement.Millis) {
	for _, x := range m.here {
		p.ran += x.w.Cores * float64(min(at, p.end)-x.since)
		switch w := x.w; {
		case p.rules == nil || !p.rules.Asked:
			p.waiting = append(p.waiting, w)
		case w.Again >= 0 && at+w.Again < w.Until:
			p.later(change{at + w.Again, 2, func() { p.waiting = append(p.waiting, w) }})
		}
	}
	m.up, m.here, m.sent = false, nil, nil
	m.askCores, m.askMemory, m.useCores, m.useMemory = 0, 0, 0, 0
}

func (p *placing) ends(w *Want) {
	p.waiting = slices.DeleteFunc(p.waiting, func(x *Want) bool { return x == w })
	for _, m := range p.machines {
		m.here = slices.DeleteFunc(m.here, func(x *placed) bool {
			if x.w != w {
				return false
			}
			p.ran += w.Cores * float64(w.Until-x.since)
			m.add(w, -1)
			return true
		})
	}
}

// slack keeps rounding from refusing what just fits.
const slack = 1e-9

func (p *placing) placeAll(now placement.Millis) {
	slices.SortStableFunc(p.waiting, func(x, y *Want) int { return cmp.Compare(y.Cores, x.Cores) })
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Want) bool {
		var best *machine
		left := 0.0
		for _, m := range p.machines {
			if !m.fits(w) || p.rules != nil && !p.allows(m, w, now) {
				continue
			}
			if l := m.Cores - m.useCores; best == nil || l < left {
				best, left = m, l
			}
		}
		if best == nil {
			return false
		}
		best.here = append(best.here, &placed{w, best, now})
		best.add(w, 1)
		best.sent = append(best.sent, now)
		return true
	})
}

func (m *machine) fits(w *Want) bool {
	return m.up && !m.draining && m.askCores+w.Cores <= m.AskCores+slack && m.askMemory+w.Memory <= m.AskMemory+slack &&
		m.useCores+w.UsesCores <= m.Cores+slack && m.useMemory+w.UsesMemory <= m.Memory+slack
}

// allows tells whether the rules let a workload go there.
func (p *placing) allows(m *machine, w *Want, now placement.Millis) bool {
	if p.rules.Bears != nil && !m.first {
		if most := p.rules.Bears(now - m.born); most >= 0 {
			recent := 0
			for _, at := range m.sent {
				if at > now-p.rules.Window {
					recent++
				}
			}
			if float64(recent+1) > most {
				return false
			}
		}
	}
	if w.Spread == placement.ScopeNone {
		return true
	}
	held := 0
	for _, o := range p.machines {
		if !o.near(m, w.Spread) {
			continue
		}
		for _, x := range o.here {
			if x.w.Service == w.Service {
				held++
			}
		}
	}
	return held < w.SpreadMost
}

func (m *machine) near(o *machine, s placement.Scope) bool {
	switch s {
	case placement.ScopeNode:
		return m == o
	case placement.ScopeCell:
		return m.Zone == o.Zone && m.Cell == o.Cell
	case placement.ScopeZone:
		return m.Zone == o.Zone
	}
	return true
}

// Bound is core time, in core milliseconds until the end, that no scheduler can exceed: at each instant what is
// wanted then, as far as the machines that are up could hold it if they were one, in each respect by itself.
func Bound(machines []Machine, wants []Want, end placement.Millis) float64 {
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
	times = slices.Compact(times)
	needs := []func(w *Want) float64{
		func(w *Want) float64 { return w.Cores }, func(w *Want) float64 { return w.Memory },
		func(w *Want) float64 { return w.UsesCores }, func(w *Want) float64 { return w.UsesMemory },
	}
	has := []func(m *Machine) float64{
		func(m *Machine) float64 { return m.AskCores }, func(m *Machine) float64 { return m.AskMemory },
		func(m *Machine) float64 { return m.Cores }, func(m *Machine) float64 { return m.Memory },
	}
	// Those that give most core time for what they take come first, in each respect.
	order := make([][]*Want, len(needs))
	for d, need := range needs {
		for i := range wants {
			order[d] = append(order[d], &wants[i])
		}
		slices.SortStableFunc(order[d], func(x, y *Want) int { return cmp.Compare(need(x)*y.Cores, need(y)*x.Cores) })
	}
	total := 0.0
	for i := range len(times) - 1 {
		from, until := times[i], min(times[i+1], end)
		if from >= end {
			break
		}
		most := -1.0
		for d, need := range needs {
			room := 0.0
			for j := range machines {
				if slices.ContainsFunc(machines[j].Up, func(s Span) bool { return s.From <= from && from < s.Until }) {
					room += has[d](&machines[j])
				}
			}
			cores := 0.0
			for _, w := range order[d] {
				if w.From > from || w.Until <= from || room <= 0 {
					continue
				}
				n := need(w)
				share := 1.0
				if n > room {
					share = room / n
				}
				cores += share * w.Cores
				room -= share * n
			}
			if most < 0 || cores < most {
				most = cores
			}
		}
		total += most * float64(until-from)
	}
	return total
}
