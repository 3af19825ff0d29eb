package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// smallPlan has four cells and three seeds.
const smallPlan = `
about   = "a small one"
script  = "quiet"
repeats = 3
workers = 2

factor "size" {
  level "few" {
    nodes  = 4
    length = "2s"
  }
  level "more" {
    nodes  = 8
    length = "2s"
  }
}

factor "fault" {
  level "none" {}
  level "crash" {
    day {
      fault "crash" {
        at   = "500ms"
        for  = "1s"
        part = 1
      }
    }
  }
}
`

// smallPlanRuns is the number of runs of smallPlan.
const smallPlanRuns = 12

// Cells of smallPlan by index.
const (
	cellFewNone   = 0
	cellMoreCrash = 3
)

// eightSeedsPlan returns smallPlan with 8 seeds, which are enough for significant differences.
func eightSeedsPlan(t *testing.T) *Plan {
	t.Helper()
	return decodePlan(t, strings.Replace(smallPlan, "repeats = 3", "repeats = 8", 1))
}

func decodePlan(t *testing.T, text string) *Plan {
	t.Helper()
	plan, err := Decode("small.hcl", []byte(text))
	require.NoError(t, err)
	return plan
}

func runPlan(t *testing.T, p *Plan, dir string) *Report {
	t.Helper()
	report, err := p.Run(context.Background(), dir, nil)
	require.NoError(t, err)
	return report
}

func readResult(t *testing.T, dir string) *Result {
	t.Helper()
	result, err := Read(dir)
	require.NoError(t, err)
	return result
}

// writeDirectory writes smallPlan and the contents of its runs file into a directory.
func writeDirectory(t *testing.T, dir string, runs []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(filepath.Join(dir, planFile), []byte(smallPlan), fileMode))
	require.NoError(t, os.WriteFile(filepath.Join(dir, runsFile), runs, fileMode))
}

// writeReport writes the report of an experiment, and returns the text of its page.
func writeReport(t *testing.T, result *Result) string {
	t.Helper()
	path, err := result.WriteReport()
	require.NoError(t, err)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}

// reproducible returns the parts of all runs that do not depend on wall time. It removes the cost from the values.
func reproducible(r *Result) string {
	var text strings.Builder
	for _, run := range r.Runs {
		delete(run.Values, costMeasure)
		fmt.Fprintln(&text, run.Cell, run.Seed, run.Digest, run.Error, run.Values)
	}
	return text.String()
}
