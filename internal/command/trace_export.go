package command

import (
	"os"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

func traceExportCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "export FILE|DIR... --parquet FILE",
		Short: "Write one row for each decision, for common tools",
		Args:  cobra.MinimumNArgs(1),
		RunE: withTraces(func(cmd *cobra.Command, files traceFiles) error {
			return writeOutput(out, func(f *os.File) error {
				rows, err := trace.Export(files, f)
				cmd.PrintErrf("%d rows\n", rows)
				return err
			})
		}),
	}
	cmd.Flags().StringVar(&out, "parquet", "", "Parquet file to write; it must not exist yet")
	requireFlag(cmd, "parquet")
	return cmd
}
