package search

import (
	"slices"

	"grebeglade/internal/simulation"
)

// The least length in ms and the least load of a reduced script.
const (
	minReducedLength = 2e3
	minReducedLoad   = 0.05
)

// reductions make a script smaller, but for its faults. They return false if it is as small as it gets.
var reductions = []func(*generated) bool{
	func(script *generated) bool {
		had := script.gangs
		script.gangs = false
		return had
	},
	func(script *generated) bool {
		had := script.durable
		script.durable = false
		return had
	},
	func(script *generated) bool {
		script.allocators /= 2
		return script.allocators >= 1
	},
	func(script *generated) bool {
		script.smallNodes /= 2
		script.largeNodes /= 2
		return script.smallNodes >= 1
	},
	func(script *generated) bool {
		script.length /= 2
		return script.length >= minReducedLength
	},
	func(script *generated) bool {
		script.load /= 2
		return script.load > minReducedLoad
	},
}

// reducer looks for a smaller script that breaks the same rule.
type reducer struct {
	script *generated // the smallest so far
	rule   int
	mutant simulation.Mutant
}

// reduce makes a script smaller while it still breaks the rule: fewer faults first, then fewer allocators and nodes, a
// shorter run, a lower load. Every step is played; a step after which the rule holds is not taken.
func (g *generated) reduce(rule int, mutant simulation.Mutant) *generated {
	r := reducer{
		script: g,
		rule:   rule,
		mutant: mutant,
	}
	for reduced := true; reduced; {
		reduced = r.removeFaults()
		for _, reduction := range reductions {
			reduced = r.try(reduction) || reduced
		}
	}
	return r.script
}

// removeFaults removes each fault without which the rule still breaks, and reports whether there was any.
func (r *reducer) removeFaults() bool {
	removed := false
	for i := 0; i < len(r.script.faults); {
		without := func(script *generated) bool {
			script.faults = slices.Delete(script.faults, i, i+1)
			return true
		}
		if r.try(without) {
			removed = true
		} else {
			i++
		}
	}
	return removed
}

// try takes a step if it changes the script and the rule still breaks.
func (r *reducer) try(change func(*generated) bool) bool {
	changed := *r.script
	changed.faults = slices.Clone(r.script.faults)
	if !change(&changed) || !changed.breaks(r.rule, r.mutant) {
		return false
	}
	r.script = &changed
	return true
}
