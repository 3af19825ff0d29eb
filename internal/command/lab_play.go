package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

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

const labPlayHelp = `
Runs a scenario with real allocators against emulated peers, on loopback sockets or in virtual time, and audits
the five rules from the frames that passed. Exit status 0 if they held, 1 if one broke.
`

func labPlayCommand() *cobra.Command {
	var o playOptions
	cmd := &cobra.Command{
		Use:   "play SCRIPT|FILE",
		Short: "Run a scenario and audit it",
		Long:  helpText(labPlayHelp),
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return o.play(cmd, args[0]) },
	}
	f := cmd.Flags()
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
	jsonFlag(cmd, &o.asJSON)
	return cmd
}

func (o *playOptions) play(cmd *cobra.Command, name string) error {
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
		o.run.Log = slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
	}
	result, err := runScenario(cmd, s, o.run, o.virtual)
	if err != nil {
		return err
	}
	return printResult(cmd, result, o.asJSON)
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
func runScenario(cmd *cobra.Command, s *scenario.Script, o simulation.Options, virtual bool) (*simulation.Result, error) {
	var result *simulation.Result
	var err error
	if virtual {
		result, err = simulation.PlayVirtual(s, o)
	} else {
		result, err = simulation.PlaySockets(cmd.Context(), s, o, func(p simulation.Progress) { printProgress(cmd, p) })
	}
	if errors.Is(err, context.Canceled) {
		err = errors.New("stopped before the scenario was over; nothing is audited")
	}
	if err != nil {
		return nil, runError{err}
	}
	return result, nil
}
