package command

import (
	"github.com/spf13/cobra"

	"grebeglade/internal/experiment"
)

func labReportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR",
		Short: "Write an experiment's report: one self-contained page, and its plots",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			results, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			path, err := results.WriteReport()
			if err != nil {
				return runError{err}
			}
			cmd.Printf("%s is written, and its plots beside it.\n", path)
			return nil
		},
	}
}
