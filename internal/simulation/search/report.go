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
	Rule      int     `json:"rule,omitempty"` // that broke; 0 for a run that only places little
	What      string  `json:"what"`
	Lost      float64 `json:"lost"` // share of the workloads wanted that were never placed
	Run       int     `json:"day"`  // index in the search
	Times     int     `json:"times"`
	Reduction string  `json:"shrunk"` // from which size to which
	Script    string  `json:"script"`
	Seed      uint64  `json:"seed"`
}

// Report is the result of a search.
type Report struct {
	Runs     int            `json:"days"`
	Seconds  float64        `json:"seconds"`
	Findings []Finding      `json:"finds"`
	Faults   map[string]int `json:"faults"`  // runs in which each was injected
	Nearest  audit.LimitUse `json:"nearest"` // how close to each limit any run came
}

// count adds a run to the report's totals.
func (r *Report) count(played outcome) {
	r.Runs++
	for _, fault := range played.script.faults {
		r.Faults[string(fault.Kind)]++
	}
	r.Nearest.RaiseTo(played.result.LimitUse)
}

// addViolations adds one run of each kind of violation, reduced, and counts the others.
func (r *Report) addViolations(broken []outcome, mutant simulation.Mutant) {
	slices.SortFunc(broken, func(x, y outcome) int { return x.index - y.index })
	findings := map[string]int{} // index of the finding of each kind
	for _, played := range broken {
		violation := played.result.Violations[0]
		kind := violationKind(violation)
		if i, known := findings[kind]; known {
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

// violationKind returns what violations of one kind have in common: the rule, and the message but for its digits.
func violationKind(violation audit.Violation) string {
	withoutDigits := strings.Map(func(c rune) rune {
		if c <= unicode.MaxASCII && unicode.IsDigit(c) {
			return -1
		}
		return c
	}, violation.Message)
	return fmt.Sprintf("%d %s", violation.Rule, withoutDigits)
}

// addWorst adds runs without a violation.
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
