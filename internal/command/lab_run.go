package command

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"grebeglade/internal/experiment"
)

const progressInterval = 20 // runs between two lines of progress

type experimentOptions struct {
	dir     string
	workers int
	asJSON  bool
}

const labRunHelp = `
Runs the scenarios of an experiment in virtual time on all cores and keeps the results in a directory. Stopped or
killed, the same command resumes it. Exit status 1 if a rule broke in any run, or a run failed.
`

func labRunCommand() *cobra.Command {
	var o experimentOptions
	cmd := &cobra.Command{
		Use:   "run EXPERIMENT.hcl -o DIR",
		Short: "Run an experiment: scenarios with something varied, each with the same seeds",
		Long:  helpText(labRunHelp),
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return o.run(cmd, args[0]) },
	}
	cmd.Flags().StringVarP(&o.dir, "output", "o", "", "directory for the results; by default named like the experiment")
	cmd.Flags().IntVar(&o.workers, "workers", 0, "concurrent runs, instead of what the experiment says")
	jsonFlag(cmd, &o.asJSON)
	return cmd
}

func (o *experimentOptions) run(cmd *cobra.Command, file string) error {
	plan, err := experiment.Open(file)
	if err != nil {
		return err
	}
	if o.dir == "" {
		o.dir = plan.Name
	}
	if o.workers < 0 {
		return fmt.Errorf("--workers %d must not be below 0", o.workers)
	}
	if o.workers > 0 {
		plan.Workers = o.workers
	}
	report, err := plan.Run(cmd.Context(), o.dir, func(r experiment.Run, done, of int) { printRun(cmd, r, done, of) })
	if err != nil {
		return runError{err}
	}
	if o.asJSON {
		if err := printJSON(cmd, report); err != nil {
			return err
		}
	} else {
		printExperiment(cmd, report, o.dir)
	}
	if report.Failed+report.Broken > 0 {
		return errProblemFound
	}
	return nil
}

func printRun(cmd *cobra.Command, r experiment.Run, done, of int) {
	if r.Error != "" {
		cmd.PrintErrf("cell %d (%s), seed %d: %s\n", r.Cell, strings.Join(r.Levels, " / "), r.Seed, r.Error)
	}
	if done%progressInterval == 0 || done == of {
		cmd.PrintErrf("%d of %d runs\n", done, of)
	}
}

func printExperiment(cmd *cobra.Command, r *experiment.Report, dir string) {
	cmd.Printf("%d of %d runs are done (%d of them before), in %.0f s; %d failed, in %d a rule broke.\n",
		r.Done, r.Total, r.Earlier, r.Seconds, r.Failed, r.Broken)
	if r.StopReason != "" {
		cmd.Printf("It is not complete: %s.\n", r.StopReason)
	}
	cmd.Printf("Read it: grebeglade lab report %s\n", dir)
}
