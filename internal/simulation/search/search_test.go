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

// rareMutants are the mutants that break their rules in only a few of the generated runs.
var rareMutants = []simulation.Mutant{
	simulation.IgnoresWarmUp,
	simulation.RejectsUnknownOutcome,
	simulation.LeavesGangParts,
	simulation.StopsTwice,
	simulation.IgnoresStorage,
	simulation.NeverSyncs,
}

// A search that misses a mutant, or whose reduced script no longer breaks the rule, reports nothing that can be
// reproduced. Each mutant must be found within a bounded number of runs, and its reported script must break the rule.
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

// runSearch returns the report of a search without its duration, so that reports can be compared.
func runSearch(t *testing.T, search Search) *Report {
	t.Helper()
	report, err := search.Run(context.Background(), nil)
	require.NoError(t, err)
	report.Seconds = 0
	return report
}

// Findings must be reproducible: the report depends only on the seed, and an allocator without a mutation breaks no
// rule.
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

// Runs are played in parallel, one per core. State shared between them, or dependence on the order in which they end,
// would make the report depend on the number of cores.
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
	singleCore := run(1)
	assert.Equal(t, singleCore, run(4))
	assert.NotEmpty(t, singleCore.Findings)
}
