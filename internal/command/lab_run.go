package command

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"grebeglade/internal/experiment"
)

const progressInterval = 20 // runs between two progress lines

type experimentOptions struct {
	dir     string // directory for the results, "" for the experiment's name
	workers int    // concurrent runs, 0 for the experiment's setting
	asJSON  bool
}

const labRunHelp = `
Runs the scenarios of an experiment in virtual time on all cores and stores the results in a directory. The same
command resumes an experiment that was stopped or killed. Exit status 1 if a run broke a rule or failed.
`

// labRunCommand defines "lab run".
func labRunCommand() *cobra.Command {
	var options experimentOptions
	cmd := &cobra.Command{
		Use:   "run EXPERIMENT.hcl -o DIR",
		Short: "Run an experiment: scenarios with varied parameters, each with the same seeds",
		Long:  helpText(labRunHelp),
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return options.run(cmd, args[0]) },
	}
	flags := cmd.Flags()
	flags.StringVarP(&options.dir, "output", "o", "", "directory for the results (default: the experiment's name)")
	flags.IntVar(&options.workers, "workers", 0, "number of concurrent runs, instead of the experiment's")
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
		return fmt.Errorf("--workers is %d; it must not be below 0", o.workers)
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

// printRun prints the error of a run, if any, and a progress line after every progressInterval runs and the last one.
func printRun(cmd *cobra.Command, run experiment.Run, done, of int) {
	if run.Error != "" {
		cmd.PrintErrf("cell %d (%s), seed %d: %s\n", run.Cell, strings.Join(run.Levels, " / "), run.Seed, run.Error)
	}
	if done%progressInterval == 0 || done == of {
		cmd.PrintErrf("%d of %d runs\n", done, of)
	}
}

// printExperiment prints the number of finished runs, and the command that reports their results.
func printExperiment(cmd *cobra.Command, report *experiment.Report, dir string) {
	cmd.Printf("%d of %d runs are done (%d of them before), in %.0f s; %d failed, in %d a rule broke.\n",
		report.Done, report.Total, report.Earlier, report.Seconds, report.Failed, report.Broken)
	if report.StopReason != "" {
		cmd.Printf("It is not complete: %s.\n", report.StopReason)
	}
	cmd.Printf("Read it: grebeglade lab report %s\n", dir)
}
