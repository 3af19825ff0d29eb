package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/audit"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

const maxBrokenShown = 5 // breaks of rules; --json shows more

type playOptions struct {
	run        simulation.Options
	virtual    bool
	allocators int
	nodes      int
	rate       float64
	load       float64
	length     time.Duration
	gangs      string
	mutant     string
	verbose    bool
	asJSON     bool
}

func labPlayCommand() *cobra.Command {
	var o playOptions
	c := &cobra.Command{
		Use:   "play SCRIPT|FILE",
		Short: "Run a scenario and audit it",
		Long: "Runs a scenario with real allocators against emulated peers, on loopback sockets or in virtual time, and audits\n" +
			"the five rules from the frames that passed. Exit status 0 if they held, 1 if one broke.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return o.play(c, args[0]) },
	}
	f := c.Flags()
	f.Uint64Var(&o.run.Seed, "seed", 1, "seed of all random choices")
	f.BoolVar(&o.virtual, "virtual", false, "in virtual time: fast, and the same result on every run of a seed")
	f.IntVar(&o.allocators, "allocators", 0, "so many allocators instead of the scenario's")
	f.IntVar(&o.nodes, "nodes", 0, "so many nodes instead of the scenario's; the load follows")
	f.Float64Var(&o.rate, "rate", 0, "so many new workloads a second instead of the scenario's")
	f.DurationVar(&o.length, "for", 0, "another length of the scenario; the faults follow")
	f.Float64Var(&o.load, "load", 0, "request that share of the fleet's cores, in the mean: 0.8 for 80%")
	f.StringVar(&o.gangs, "gangs", "together", "how clients request gangs: together, or to compare independent or for-ever")
	f.StringVar(&o.mutant, "break", "", "let the allocators break a rule on purpose, to see the auditor detect it")
	f.StringVar(&o.run.TraceDirectory, "trace", "", "record each allocator into a directory of its own below this one")
	f.StringVar(&o.run.HistoryFile, "history", "", "write everything seen from outside into this file, for 'lab check'")
	f.BoolVar(&o.verbose, "verbose", false, "show the allocators' log")
	jsonFlag(c, &o.asJSON)
	return c
}

func (o *playOptions) play(c *cobra.Command, name string) error {
	s, err := scenario.Open(name)
	if err != nil {
		return err
	}
	if err := o.adjust(s); err != nil {
		return err
	}
	if err := checkMutant(o.mutant); err != nil {
		return err
	}
	o.run.Mutant = simulation.Mutant(o.mutant)
	if o.verbose {
		o.run.Log = slog.New(slog.NewTextHandler(c.ErrOrStderr(), nil))
	}
	result, err := runScenario(c, s, o.run, o.virtual)
	if err != nil {
		return err
	}
	return printResult(c, result, o.asJSON)
}

// adjust changes a scenario as the flags say.
func (o *playOptions) adjust(s *scenario.Script) error {
	if o.allocators < 0 || o.nodes < 0 || o.rate < 0 || o.length < 0 {
		return errors.New("--allocators, --nodes, --rate and --for must not be below 0")
	}
	s.Resize(o.allocators, o.nodes)
	if o.length > 0 {
		s.SetLength(placement.Millis(milliseconds(o.length)))
	}
	if o.rate > 0 {
		s.Client.Rate = o.rate
	}
	if o.load > 0 {
		s.SetLoad(o.load)
	}
	switch policy := scenario.GangPolicy(o.gangs); policy {
	case scenario.Together, scenario.Independent, scenario.UntilPlaced:
		s.Client.GangPolicy = policy
	default:
		return fmt.Errorf("--gangs %q is not known; known are together, independent, for-ever", o.gangs)
	}
	return nil
}

// checkMutant checks the name of a rule-breaking variant; "" is none.
func checkMutant(name string) error {
	if _, ok := simulation.MutantRules[simulation.Mutant(name)]; !ok && name != "" {
		return fmt.Errorf("--break %q is not known; known are %v", name, slices.Sorted(maps.Keys(simulation.MutantRules)))
	}
	return nil
}

// runScenario runs a scenario in virtual time or on sockets.
func runScenario(c *cobra.Command, s *scenario.Script, o simulation.Options, virtual bool) (*simulation.Result, error) {
	var result *simulation.Result
	var err error
	if virtual {
		result, err = simulation.PlayVirtual(s, o)
	} else {
		result, err = simulation.PlaySockets(c.Context(), s, o, func(p simulation.Progress) { printProgress(c, p) })
	}
	if errors.Is(err, context.Canceled) {
		err = errors.New("stopped before the scenario was over; nothing is audited")
	}
	if err != nil {
		return nil, runError{err}
	}
	return result, nil
}

func printProgress(c *cobra.Command, p simulation.Progress) {
	const millisPerSecond = 1000
	c.PrintErrf("%4.0f of %.0f s: %d requests, %d placed, %d rejected, %d unschedulable, %d waiting\n",
		float64(min(p.At, p.Of))/millisPerSecond, float64(p.Of)/millisPerSecond, p.Requests, p.Placed, p.Rejected, p.Unschedulable, p.Pending)
}

// printResult prints what a run came to. The error is errProblemFound if a rule broke.
func printResult(c *cobra.Command, r *simulation.Result, asJSON bool) error {
	if asJSON {
		if err := printJSON(c, r); err != nil {
			return err
		}
	} else {
		printResultText(c, r)
	}
	if len(r.Violations) > 0 {
		return errProblemFound
	}
	return nil
}

func printResultText(c *cobra.Command, r *simulation.Result) {
	how := "on loopback sockets"
	if r.Virtual {
		how = "in virtual time"
	}
	c.Printf("Scenario %q (%s), seed %d, %s: %d allocators, %d nodes, %.0f s, run in %.1f s.\n",
		r.Name, r.About, r.Seed, how, r.Allocators, r.Nodes, r.ScenarioSeconds, r.RanSeconds)
	c.Printf("Clients sent %d requests for %d workloads. Placed %d, rejected %d, unschedulable %d, withdrawn %d, lost with their "+
		"allocator or connection %d, without an answer %d.\n", r.Workloads, r.FirstRequests, r.Placed, r.Rejected,
		r.Unschedulable, r.Withdrawn, r.Disconnected, r.Unanswered)
	c.Printf("It took %d binds and %d migrations; half of the workloads were placed within %.0f ms, 99%% within %.0f ms.\n",
		r.Binds, r.Migrations, r.WaitMedian, r.Wait99)
	if r.Gangs > 0 {
		c.Printf("Of %d gangs %d were placed, half of them within %.0f ms, and %d were abandoned; %.1f%% of the parts' core time went to "+
			"gangs that were not placed. Parts left of incomplete gangs: %d.\n", r.Gangs, r.GangsPlaced, r.GangMedian, r.GangsAbandoned,
			100*r.GangWasted, r.PartialLeft)
	}
	var ends []string
	for _, reason := range slices.Sorted(maps.Keys(r.Ended)) {
		ends = append(ends, fmt.Sprintf("%d %s", r.Ended[reason], strings.ReplaceAll(strings.ToLower(reason), "_", " ")))
	}
	if len(ends) > 0 {
		c.Printf("Of those placed have ended: %s.\n", strings.Join(ends, ", "))
	}
	printAudit(c, r.Frames, r.Violations, r.MoreViolations)
}

// printAudit prints whether the rules held, and the frames of the first breaks. More is how many breaks were not kept.
func printAudit(c *cobra.Command, frames int, broken []audit.Violation, more int) {
	if len(broken) == 0 {
		c.Printf("All rules held, by the %d frames that passed.\n", frames)
		return
	}
	c.Printf("RULES WERE BROKEN, %d times:\n", len(broken)+more)
	for _, b := range broken[:min(len(broken), maxBrokenShown)] {
		c.Printf("  rule %d at %.0f ms: %s (workload %d, node %d)\n", b.Rule, b.At, b.Message, b.Workload, b.Node)
		for _, f := range b.Frames {
			c.Printf("    %s\n", f)
		}
	}
}
