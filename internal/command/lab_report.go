package command

import (
	"github.com/spf13/cobra"

	"grebeglade/internal/experiment"
)

// labReportCommand defines "lab report".
func labReportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR",
		Short: "Write an experiment's report: one self-contained page, and its plots",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return writeReport(cmd, args[0]) },
	}
}

// writeReport writes the report into the experiment's directory, and prints its path.
func writeReport(cmd *cobra.Command, dir string) error {
	results, err := experiment.Read(dir)
	if err != nil {
		return err
	}
	path, err := results.WriteReport()
	if err != nil {
		return runError{err}
	}
	cmd.Printf("%s is written, and its plots beside it.\n", path)
	return nil
}
