package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
)

type playOptions struct {
	run       simulation.Options
	overrides scenarioOverrides
	virtual   bool   // run in virtual time instead of on sockets
	mutant    string // a simulation.Mutant, "" for none
	verbose   bool
	asJSON    bool
}

const labPlayHelp = `
Runs a scenario with real allocators against emulated peers, on loopback sockets or in virtual time, and audits
the five rules from the frames that were sent. Exit status 0 if all rules held, 1 if one was broken.
`

// labPlayCommand defines "lab play".
func labPlayCommand() *cobra.Command {
	var options playOptions
	cmd := &cobra.Command{
		Use:   "play SCRIPT|FILE",
		Short: "Run a scenario and audit it",
		Long:  helpText(labPlayHelp),
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return options.play(cmd, args[0]) },
	}
	flags := cmd.Flags()
	flags.Uint64Var(&options.run.Seed, "seed", 1, "seed of all random choices")
	flags.BoolVar(&options.virtual, "virtual", false,
		"run in virtual time: fast, and with the same result for the same seed")
	options.overrides.addFlags(cmd)
	flags.StringVar(&options.mutant, "break", "",
		"variant of the allocators that breaks a rule, to test that the auditor detects it")
	flags.StringVar(&options.run.TraceDirectory, "trace", "",
		"directory for traces; each allocator records into a subdirectory")
	flags.StringVar(&options.run.HistoryFile, "history", "",
		"file for the history of frames, connections and processes, for 'lab check'")
	flags.BoolVar(&options.verbose, "verbose", false, "print the allocators' log to standard error")
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// play runs a scenario, audits it and prints the result.
func (o *playOptions) play(cmd *cobra.Command, name string) error {
	script, err := scenario.Open(name)
	if err != nil {
		return err
	}
	if err := o.overrides.apply(script); err != nil {
		return err
	}
	if err := checkMutant(o.mutant); err != nil {
		return err
	}
	o.run.Mutant = simulation.Mutant(o.mutant)
	if o.verbose {
		o.run.Log = slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
	}
	result, err := o.runScenario(cmd, script)
	if err != nil {
		return err
	}
	return printResult(cmd, result, o.asJSON)
}

// runScenario runs a scenario in virtual time or on loopback sockets.
func (o *playOptions) runScenario(cmd *cobra.Command, script *scenario.Script) (*simulation.Result, error) {
	if !o.virtual {
		return playSockets(cmd, script, o.run)
	}
	result, err := simulation.PlayVirtual(script, o.run)
	if err != nil {
		return nil, runError{err}
	}
	return result, nil
}

// playSockets runs a scenario on loopback sockets and prints its progress. It returns an error if the command's context
// is cancelled before the scenario is over.
func playSockets(
	cmd *cobra.Command, script *scenario.Script, options simulation.Options,
) (*simulation.Result, error) {
	onProgress := func(p simulation.Progress) { printProgress(cmd, p) }
	result, err := simulation.PlaySockets(cmd.Context(), script, options, onProgress)
	if errors.Is(err, context.Canceled) {
		err = errors.New("interrupted before the end of the scenario; the rules are not audited")
	}
	if err != nil {
		return nil, runError{err}
	}
	return result, nil
}

// checkMutant returns an error unless name is "" or a known simulation.Mutant.
func checkMutant(name string) error {
	if name == "" {
		return nil
	}
	if _, known := simulation.MutantRules[simulation.Mutant(name)]; !known {
		return fmt.Errorf("unknown value %q for --break; expected one of %v",
			name, slices.Sorted(maps.Keys(simulation.MutantRules)))
	}
	return nil
}
