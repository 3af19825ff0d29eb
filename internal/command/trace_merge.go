package command

import (
	"os"

	"github.com/spf13/cobra"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

const traceMergeHelp = `
Records are ordered by time; those of one allocator always by incarnation and revision. Records that are in
several files are copied once. Clocks that differ are reported.
`

func traceMergeCommand() *cobra.Command {
	var out string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "merge FILE|DIR... -o FILE",
		Short: "Merge the traces of many allocators, or many files of one, into one file",
		Long:  helpText(traceMergeHelp),
		Args:  cobra.MinimumNArgs(1),
		RunE:  withTraces(func(cmd *cobra.Command, files traceFiles) error { return mergeTraces(cmd, files, out, asJSON) }),
	}
	outputFlag(cmd, &out)
	jsonFlag(cmd, &asJSON)
	return cmd
}

func mergeTraces(cmd *cobra.Command, files traceFiles, out string, asJSON bool) error {
	var report *trace.MergeReport
	err := writeOutput(out, func(f *os.File) (err error) {
		create := func(h *tracepb.Header) (*trace.Writer, error) { return trace.NewWriter(f, h) }
		report, err = trace.Merge(files, create)
		return err
	})
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(cmd, report)
	}
	cmd.Printf("%d records of %d files, %d that stood in several\n", report.Records, len(files), report.Duplicates)
	for _, s := range report.Clocks {
		cmd.Printf("CLOCKS DIFFER: %s\n", s)
	}
	return nil
}
