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

type huntOptions struct {
	search  search.Search
	seconds int
	dir     string
	mutant  string
	asJSON  bool
}

const labHuntHelp = `
Draws scenarios with overlapping faults at random, runs them in virtual time on all cores, and reduces each that
breaks a rule to the fewest faults and the smallest size that still break it. Exit status 1 if one does.
`

func labHuntCommand() *cobra.Command {
	var o huntOptions
	cmd := &cobra.Command{
		Use:   "hunt --seconds N",
		Short: "Search for scenarios that break a rule, or in which most is lost",
		Long:  helpText(labHuntHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	f := cmd.Flags()
	f.IntVar(&o.seconds, "seconds", 0, "search for so long; reduction comes after")
	f.IntVar(&o.search.MaxRuns, "days", 0, "search over so many scenarios")
	f.Uint64Var(&o.search.Seed, "seed", 1, "seed of the scenarios that are drawn")
	f.IntVar(&o.search.Allocators, "allocators", 16, "allocators of a scenario, at most")
	f.IntVar(&o.search.Nodes, "nodes", 24, "nodes of a scenario, at most")
	f.IntVar(&o.search.KeepWorst, "worst", 1, "scenarios to keep that break nothing and lose most")
	f.StringVarP(&o.dir, "output", "o", "", "directory for what is found, as scenario files")
	f.StringVar(&o.mutant, "break", "", "let the allocators break a rule on purpose, to see the search find it")
	jsonFlag(cmd, &o.asJSON)
	return cmd
}

func (o *huntOptions) check() error {
	h := &o.search
	if o.seconds < 0 || h.MaxRuns < 0 || o.seconds+h.MaxRuns == 0 || h.Allocators < 1 || h.Nodes < minHuntNodes || h.KeepWorst < 0 {
		return errors.New("give --seconds or --days above 0, --allocators of 1 and --nodes of 4 or more")
	}
	return checkMutant(o.mutant)
}

func (o *huntOptions) run(cmd *cobra.Command) error {
	if err := o.check(); err != nil {
		return err
	}
	o.search.MaxTime, o.search.Mutant = time.Duration(o.seconds)*time.Second, simulation.Mutant(o.mutant)
	report, err := o.search.Run(cmd.Context(), func(scenarios, found int) {
		cmd.PrintErrf("%d scenarios, %d break a rule\n", scenarios, found)
	})
	if err != nil {
		return runError{err}
	}
	if err := writeFinds(o.dir, report.Findings); err != nil {
		return runError{err}
	}
	if o.asJSON {
		if err := printJSON(cmd, report); err != nil {
			return err
		}
	} else {
		printHunt(cmd, report, o.dir)
	}
	if slices.ContainsFunc(report.Findings, breaksRule) {
		return errProblemFound
	}
	return nil
}

func breaksRule(f search.Finding) bool { return f.Rule > 0 }

// writeFinds writes each scenario that was found into a file of its own, unless dir is "".
func writeFinds(dir string, finds []search.Finding) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, f := range finds {
		name := fmt.Sprintf("rule%d-day%d-seed%d.hcl", f.Rule, f.Run, f.Seed)
		if !breaksRule(f) {
			name = fmt.Sprintf("lost-day%d-seed%d.hcl", f.Run, f.Seed)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(f.Script), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func printHunt(cmd *cobra.Command, r *search.Report, dir string) {
	n := r.Nearest
	cmd.Printf("%d scenarios in %.0f s. Nearest approach to a limit, which is 1: answers %.3f, drains %.3f, cold nodes %.3f, spread %.3f.\n",
		r.Runs, r.Seconds, n.Answer, n.Drain, n.Cold, n.Spread)
	for _, f := range r.Findings {
		if breaksRule(f) {
			cmd.Printf("RULE %d BROKEN in scenario %d and %d others: %s; reduced: %s; seed %d\n", f.Rule, f.Run, f.Times-1, f.What, f.Reduction, f.Seed)
		} else {
			cmd.Printf("Most lost in scenario %d: %.1f%% of the workloads wanted were not placed at their first request; seed %d\n",
				f.Run, 100*f.Lost, f.Seed)
		}
	}
	if dir != "" && len(r.Findings) > 0 {
		cmd.Printf("Run them again: grebeglade lab play %s --virtual --seed SEED\n", filepath.Join(dir, "NAME.hcl"))
	}
}
