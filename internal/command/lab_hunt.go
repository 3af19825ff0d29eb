package command

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/search"
)

const minHuntNodes = 4

var errHuntFlags = errors.New(
	"--seconds or --days must be above 0, --allocators 1 or more, --nodes 4 or more, --worst 0 or more")

type huntOptions struct {
	search  search.Search
	seconds int    // maximum search time in seconds, 0 for no limit
	dir     string // directory for the scenarios found, "" to write none
	mutant  string // a simulation.Mutant, "" for none
	asJSON  bool
}

const labHuntHelp = `
Generates random scenarios with overlapping faults and runs them in virtual time on all cores. Reduces the first
scenario for each kind of violation to fewer faults and a smaller size that still break the rule. Exit status 1 if a
rule was broken.
`

// labHuntCommand defines "lab hunt".
func labHuntCommand() *cobra.Command {
	var options huntOptions
	cmd := &cobra.Command{
		Use:   "hunt --seconds N",
		Short: "Search for scenarios that break a rule, or that lose the most workloads",
		Long:  helpText(labHuntHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&options.seconds, "seconds", 0, "search time in seconds, 0 for no limit; reduction follows")
	flags.IntVar(&options.search.MaxRuns, "days", 0, "maximum number of scenarios to run, 0 for no limit")
	flags.Uint64Var(&options.search.Seed, "seed", 1, "seed of the generated scenarios")
	flags.IntVar(&options.search.Allocators, "allocators", 16, "maximum number of allocators in a scenario")
	flags.IntVar(&options.search.Nodes, "nodes", 24, "maximum number of nodes in a scenario")
	flags.IntVar(&options.search.KeepWorst, "worst", 1,
		"number of scenarios to keep that break no rule and lose the most workloads")
	flags.StringVarP(&options.dir, "output", "o", "", "directory for the scenarios found, as HCL files")
	flags.StringVar(&options.mutant, "break", "",
		"variant of the allocators that breaks a rule, to test that the search finds it")
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// check validates the flags.
func (o *huntOptions) check() error {
	limited := o.seconds >= 0 && o.search.MaxRuns >= 0 && o.seconds+o.search.MaxRuns > 0
	sized := o.search.Allocators >= 1 && o.search.Nodes >= minHuntNodes
	if !limited || !sized || o.search.KeepWorst < 0 {
		return errHuntFlags
	}
	return checkMutant(o.mutant)
}

// run searches, and writes and prints the findings. The error is errProblemFound if a scenario broke a rule.
func (o *huntOptions) run(cmd *cobra.Command) error {
	if err := o.check(); err != nil {
		return err
	}
	o.search.MaxTime = time.Duration(o.seconds) * time.Second
	o.search.Mutant = simulation.Mutant(o.mutant)
	report, err := o.search.Run(cmd.Context(), func(scenarios, found int) {
		cmd.PrintErrf("%d scenarios, %d break a rule\n", scenarios, found)
	})
	if err != nil {
		return runError{err}
	}
	if err := writeFindings(o.dir, report.Findings); err != nil {
		return runError{err}
	}
	if err := printOutput(cmd, o.asJSON, report, func() { printHunt(cmd, report, o.dir) }); err != nil {
		return err
	}
	return problemIf(slices.ContainsFunc(report.Findings, breaksRule))
}

// breaksRule reports whether a finding is a broken rule. Other findings are scenarios that lose many workloads.
func breaksRule(f search.Finding) bool { return f.Rule > 0 }

// writeFindings writes the scenario of each finding into a separate file, unless dir is "".
func writeFindings(dir string, findings []search.Finding) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("write the scenarios found: %w", err)
	}
	for _, finding := range findings {
		path := filepath.Join(dir, findingFile(finding))
		if err := os.WriteFile(path, []byte(finding.Script), 0o644); err != nil {
			return fmt.Errorf("write the scenarios found: %w", err)
		}
	}
	return nil
}

// findingFile returns the file name for the scenario of a finding.
func findingFile(f search.Finding) string {
	if breaksRule(f) {
		return fmt.Sprintf("rule%d-day%d-seed%d.hcl", f.Rule, f.Run, f.Seed)
	}
	return fmt.Sprintf("lost-day%d-seed%d.hcl", f.Run, f.Seed)
}

// printHunt prints how closely the scenarios approached each limit, and the findings.
func printHunt(cmd *cobra.Command, report *search.Report, dir string) {
	nearest := report.Nearest
	cmd.Printf("%d scenarios in %.0f s. Nearest approach to a limit, which is 1: "+
		"answers %.3f, drains %.3f, cold nodes %.3f, spread %.3f.\n",
		report.Runs, report.Seconds, nearest.Answer, nearest.Drain, nearest.Cold, nearest.Spread)
	for _, finding := range report.Findings {
		printFinding(cmd, finding)
	}
	if dir != "" && len(report.Findings) > 0 {
		cmd.Printf("Run them again: grebeglade lab play %s --virtual --seed SEED\n", filepath.Join(dir, "NAME.hcl"))
	}
}

func printFinding(cmd *cobra.Command, f search.Finding) {
	if breaksRule(f) {
		cmd.Printf("RULE %d BROKEN in scenario %d and %d others: %s; reduced: %s; seed %d\n",
			f.Rule, f.Run, f.Times-1, f.What, f.Reduction, f.Seed)
		return
	}
	cmd.Printf("Most lost in scenario %d: %.1f%% of the workloads wanted were not placed at their first request; "+
		"seed %d\n",
		f.Run, 100*f.Lost, f.Seed)
}
