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

// labRunCommand defines "lab run".
func labRunCommand() *cobra.Command {
	var options experimentOptions
	cmd := &cobra.Command{
		Use:   "run EXPERIMENT.hcl -o DIR",
		Short: "Run an experiment: scenarios with something varied, each with the same seeds",
		Long:  helpText(labRunHelp),
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return options.run(cmd, args[0]) },
	}
	flags := cmd.Flags()
	flags.StringVarP(&options.dir, "output", "o", "", "directory for the results; by default named like the experiment")
	flags.IntVar(&options.workers, "workers", 0, "concurrent runs, instead of what the experiment says")
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// run runs or resumes an experiment and prints a summary. The error is errProblemFound if a run failed or broke a rule.
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
		plan.Limits.Workers = o.workers
	}
	onRun := func(run experiment.Run, done, of int) { printRun(cmd, run, done, of) }
	report, err := plan.Run(cmd.Context(), o.dir, onRun)
	if err != nil {
		return runError{err}
	}
	if err := printOutput(cmd, o.asJSON, report, func() { printExperiment(cmd, report, o.dir) }); err != nil {
		return err
	}
	return problemIf(report.Failed+report.Broken > 0)
}

// printRun prints the error of a run, if any, and now and then how many runs are done.
func printRun(cmd *cobra.Command, run experiment.Run, done, of int) {
	if run.Error != "" {
		cmd.PrintErrf("cell %d (%s), seed %d: %s\n", run.Cell, strings.Join(run.Levels, " / "), run.Seed, run.Error)
	}
	if done%progressInterval == 0 || done == of {
		cmd.PrintErrf("%d of %d runs\n", done, of)
	}
}

// printExperiment prints how many runs are done, and how to see their results.
func printExperiment(cmd *cobra.Command, report *experiment.Report, dir string) {
	cmd.Printf("%d of %d runs are done (%d of them before), in %.0f s; %d failed, in %d a rule broke.\n",
		report.Done, report.Total, report.Earlier, report.Seconds, report.Failed, report.Broken)
	if report.StopReason != "" {
		cmd.Printf("It is not complete: %s.\n", report.StopReason)
	}
	cmd.Printf("Read it: grebeglade lab report %s\n", dir)
}
