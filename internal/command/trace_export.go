package command

import (
	"os"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

// traceExportCommand defines "trace export".
func traceExportCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "export FILE|DIR... --parquet FILE",
		Short: "Write a Parquet file with one row for each decision",
		Args:  cobra.MinimumNArgs(1),
		RunE: withTraces(func(cmd *cobra.Command, files traceFiles) error {
			return exportTraces(cmd, files, out)
		}),
	}
	cmd.Flags().StringVar(&out, "parquet", "", "Parquet file to write; it must not exist yet")
	requireFlag(cmd, "parquet")
	return cmd
}

// exportTraces writes the decisions of all files and prints their number.
func exportTraces(cmd *cobra.Command, files traceFiles, name string) error {
	return writeOutput(name, func(out *os.File) error {
		rows, err := trace.Export(files, out)
		cmd.PrintErrf("%d rows\n", rows)
		return err
	})
}
