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

// A hunt over a bounded number of days finds each engine that breaks a rule, and makes the day smaller; the script
// that it writes breaks the same rule when it is played.
func TestSearch_FindsAndReducesEachMutant(t *testing.T) {
	for how, rule := range simulation.MutantRules {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			h := Search{
				Seed:       1,
				MaxRuns:    40,
				Allocators: 6,
				Nodes:      12,
				Mutant:     how,
			}
			if how == simulation.IgnoresWarmUp || how == simulation.RejectsUnknownOutcome || how == simulation.LeavesGangParts || how == simulation.StopsTwice ||
				how == simulation.IgnoresStorage || how == simulation.NeverSyncs {
				h.MaxRuns = 600 // these need more than chance gives every day
			}
			r, err := h.Run(context.Background(), nil)
			require.NoError(t, err)
			at := slices.IndexFunc(r.Findings, func(f Finding) bool { return f.Rule == rule })
			require.GreaterOrEqual(t, at, 0, "rule %d in %d days", rule, r.Runs)
			s, err := scenario.DecodeText("found.hcl", []byte(r.Findings[at].Script))
			require.NoError(t, err)
			again, err := simulation.PlayVirtual(s, simulation.Options{Seed: r.Findings[at].Seed, Mutant: how})
			require.NoError(t, err)
			assert.True(t, slices.ContainsFunc(again.Violations, func(b audit.Violation) bool { return b.Rule == rule }))
		})
	}
}

// What a hunt draws depends on its seed alone, and an honest engine breaks nothing.
func TestSearch_DependsOnSeedOnly(t *testing.T) {
	run := func(seed uint64) *Report {
		h := Search{
			Seed:       seed,
			MaxRuns:    150,
			Allocators: 8,
			Nodes:      16,
			KeepWorst:  2,
		}
		r, err := h.Run(context.Background(), nil)
		require.NoError(t, err)
		r.Seconds = 0
		return r
	}
	first := run(7)
	assert.Equal(t, first, run(7))
	for _, f := range first.Findings {
		assert.Zero(t, f.Rule, f.What)
	}
	assert.NotEqual(t, first.Faults, run(8).Faults)
	assert.LessOrEqual(t, first.Nearest.Cold, 1.0)
	assert.LessOrEqual(t, first.Nearest.Drain, 1.0)
}

// Days run one to a core and share nothing, so that neither the number of cores nor the order in which days end shows.
func TestSearch_DoesNotDependOnCores(t *testing.T) {
	run := func(cores int) *Report {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		h := Search{
			Seed:       3,
			MaxRuns:    40,
			Allocators: 6,
			Nodes:      12,
			KeepWorst:  3,
			Mutant:     simulation.TwoBinds,
		}
		r, err := h.Run(context.Background(), nil)
		require.NoError(t, err)
		r.Seconds = 0
		return r
	}
	one := run(1)
	assert.Equal(t, one, run(4))
	assert.NotEmpty(t, one.Findings)
}
