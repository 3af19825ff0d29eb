package search

import (
	"context"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/scenario"
)

// rareMutants break their rules in few of the generated runs.
var rareMutants = []simulation.Mutant{
	simulation.IgnoresWarmUp,
	simulation.RejectsUnknownOutcome,
	simulation.LeavesGangParts,
	simulation.StopsTwice,
	simulation.IgnoresStorage,
	simulation.NeverSyncs,
}

// A bounded search finds each mutant and reduces the run; the script that it writes breaks the same rule when played.
func TestSearch_FindsAndReducesEachMutant(t *testing.T) {
	for mutant, rule := range simulation.MutantRules {
		t.Run(string(mutant), func(t *testing.T) {
			t.Parallel()
			search := Search{
				Seed:       1,
				MaxRuns:    40,
				Allocators: 6,
				Nodes:      12,
				Mutant:     mutant,
			}
			if slices.Contains(rareMutants, mutant) {
				search.MaxRuns = 600
			}
			report := runSearch(t, search)
			ofRule := func(finding Finding) bool { return finding.Rule == rule }
			i := slices.IndexFunc(report.Findings, ofRule)
			require.GreaterOrEqual(t, i, 0, "rule %d in %d runs", rule, report.Runs)
			finding := report.Findings[i]
			script, err := scenario.DecodeText("found.hcl", []byte(finding.Script))
			require.NoError(t, err)
			result, err := simulation.PlayVirtual(script, simulation.Options{Seed: finding.Seed, Mutant: mutant})
			require.NoError(t, err)
			breaksRule := func(violation audit.Violation) bool { return violation.Rule == rule }
			assert.True(t, slices.ContainsFunc(result.Violations, breaksRule))
		})
	}
}

// runSearch returns the report of a search, but for the time it took.
func runSearch(t *testing.T, search Search) *Report {
	t.Helper()
	report, err := search.Run(context.Background(), nil)
	require.NoError(t, err)
	report.Seconds = 0
	return report
}

// What a search draws depends on its seed alone, and an allocator that is no mutant breaks no rule.
func TestSearch_DependsOnSeedOnly(t *testing.T) {
	run := func(seed uint64) *Report {
		return runSearch(t, Search{
			Seed:       seed,
			MaxRuns:    150,
			Allocators: 8,
			Nodes:      16,
			KeepWorst:  2,
		})
	}
	first := run(7)
	assert.Equal(t, first, run(7))
	for _, finding := range first.Findings {
		assert.Zero(t, finding.Rule, finding.What)
	}
	assert.NotEqual(t, first.Faults, run(8).Faults)
	assert.LessOrEqual(t, first.Nearest.Cold, 1.0)
	assert.LessOrEqual(t, first.Nearest.Drain, 1.0)
}

// Runs are played one on each core and share nothing: neither the number of cores nor the order in which runs end
// affects the report.
func TestSearch_DoesNotDependOnCores(t *testing.T) {
	run := func(cores int) *Report {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		return runSearch(t, Search{
			Seed:       3,
			MaxRuns:    40,
			Allocators: 6,
			Nodes:      12,
			KeepWorst:  3,
			Mutant:     simulation.TwoBinds,
		})
	}
	one := run(1)
	assert.Equal(t, one, run(4))
	assert.NotEmpty(t, one.Findings)
}
