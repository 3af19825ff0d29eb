package search

import (
	"slices"

	"grebeglade/internal/simulation"
)

// Lower bounds for reduced scripts: the length in ms, and the load as a share of the fleet's cores.
const (
	minReducedLength = 2e3
	minReducedLoad   = 0.05
)

// reductions each make a script smaller in one property other than its faults. They return false if the property cannot
// be reduced further.
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

// reducer searches for a smaller script that breaks the same rule.
type reducer struct {
	script *generated // smallest script found so far
	rule   int
	mutant simulation.Mutant
}

// reduce returns a smaller script that still breaks the rule: first with fewer faults, then without gangs and durable
// state, with fewer allocators and nodes, a shorter run and a lower load, until nothing can be reduced further. Each
// reduced script is played, and discarded if the rule holds.
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

// removeFaults removes each fault that is not needed to break the rule, and reports whether it removed any.
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

// try applies a change if it returns true and the changed script still breaks the rule. It reports whether it did.
func (r *reducer) try(change func(*generated) bool) bool {
	changed := *r.script
	changed.faults = slices.Clone(r.script.faults)
	if !change(&changed) || !changed.breaks(r.rule, r.mutant) {
		return false
	}
	r.script = &changed
	return true
}
