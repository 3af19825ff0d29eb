package search

import (
	"fmt"
	"slices"
	"strings"
	"unicode"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/audit"
)

// Finding is a run that a search reports.
type Finding struct {
	Rule      int     `json:"rule,omitempty"` // number of the broken rule, or 0 for a run that placed few workloads
	What      string  `json:"what"`
	Lost      float64 `json:"lost"`   // share of the wanted workloads that their first requests did not place
	Run       int     `json:"day"`    // index of the run in the search
	Times     int     `json:"times"`  // runs whose first violation is of this kind
	Reduction string  `json:"shrunk"` // sizes of the script before and after reduction
	Script    string  `json:"script"` // text of the script, reduced if it broke a rule
	Seed      uint64  `json:"seed"`
}

// Report is the result of a search.
type Report struct {
	Runs     int            `json:"days"`
	Seconds  float64        `json:"seconds"`
	Findings []Finding      `json:"finds"`
	Faults   map[string]int `json:"faults"`  // number of injected faults, by kind
	Nearest  audit.LimitUse `json:"nearest"` // highest use of each limit in any run
}

// count adds a run to the report's totals.
func (r *Report) count(played outcome) {
	r.Runs++
	for _, fault := range played.script.faults {
		r.Faults[string(fault.Kind)]++
	}
	r.Nearest.RaiseTo(played.result.LimitUse)
}

// addViolations adds a finding with the reduced script of the first run for each kind of violation, and counts further
// runs of the same kind. The kind of a run is that of its first violation.
func (r *Report) addViolations(broken []outcome, mutant simulation.Mutant) {
	slices.SortFunc(broken, func(x, y outcome) int { return x.index - y.index })
	findings := map[string]int{} // index in r.Findings, by kind of violation
	for _, played := range broken {
		violation := played.result.Violations[0]
		kind := violationKind(violation)
		if i, found := findings[kind]; found {
			r.Findings[i].Times++
			continue
		}
		findings[kind] = len(r.Findings)
		before := played.script.size()
		reduced := played.script.reduce(violation.Rule, mutant)
		r.Findings = append(r.Findings, Finding{
			Rule:      violation.Rule,
			What:      violation.Message,
			Lost:      played.unplacedShare(),
			Run:       played.index,
			Times:     1,
			Reduction: before + " -> " + reduced.size(),
			Script:    reduced.text(),
			Seed:      reduced.seed,
		})
	}
}

// violationKind returns a key shared by all violations of one kind: the rule and the message without digits.
func violationKind(violation audit.Violation) string {
	withoutDigits := strings.Map(func(c rune) rune {
		if c <= unicode.MaxASCII && unicode.IsDigit(c) {
			return -1
		}
		return c
	}, violation.Message)
	return fmt.Sprintf("%d %s", violation.Rule, withoutDigits)
}

// addWorst adds the given runs without a violation, with their scripts not reduced.
func (r *Report) addWorst(worst []outcome) {
	for _, played := range worst {
		r.Findings = append(r.Findings, Finding{
			What:   "much is lost, and no rule is broken",
			Lost:   played.unplacedShare(),
			Run:    played.index,
			Times:  1,
			Script: played.script.text(),
			Seed:   played.script.seed,
		})
	}
}
