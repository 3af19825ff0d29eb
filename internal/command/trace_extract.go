package command

import (
	"github.com/spf13/cobra"

	"grebeglade/internal/replay"
)

// traceExtractCommand defines "trace extract".
func traceExtractCommand() *cobra.Command {
	var workload uint32
	cmd := &cobra.Command{
		Use:   "extract FILE|DIR... --workload ID",
		Short: "Print the calls that a workload's decision depends on, as a Go test",
		Args:  cobra.MinimumNArgs(1),
		RunE: withTraces(func(cmd *cobra.Command, files traceFiles) error {
			reproduction, err := replay.ReproduceFiles(files, workload)
			if err != nil {
				return runError{err}
			}
			return reproduction.Print(cmd.OutOrStdout())
		}),
	}
	cmd.Flags().Uint32Var(&workload, "workload", 0, "id of the workload whose decision is extracted")
	requireFlag(cmd, "workload")
	return cmd
}
