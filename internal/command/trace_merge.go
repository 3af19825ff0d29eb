package command

import (
	"os"

	"github.com/spf13/cobra"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

type mergeOptions struct {
	out    string // file to write
	asJSON bool
}

const traceMergeHelp = `
Records are sorted by time; those of one allocator always by incarnation and revision. Records that are in several
files are copied once. Differences between the allocators' clocks are reported.
`

// traceMergeCommand defines "trace merge".
func traceMergeCommand() *cobra.Command {
	var options mergeOptions
	cmd := &cobra.Command{
		Use:   "merge FILE|DIR... -o FILE",
		Short: "Merge the traces of many allocators, or many files of one, into one file",
		Long:  helpText(traceMergeHelp),
		Args:  cobra.MinimumNArgs(1),
		RunE:  withTraces(options.run),
	}
	outputFlag(cmd, &options.out)
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// run merges the files and prints a report.
func (o *mergeOptions) run(cmd *cobra.Command, files traceFiles) error {
	var report *trace.MergeReport
	err := writeOutput(o.out, func(out *os.File) error {
		create := func(header *tracepb.Header) (*trace.Writer, error) { return trace.NewWriter(out, header) }
		var err error
		report, err = trace.Merge(files, create)
		return err
	})
	if err != nil {
		return err
	}
	return printOutput(cmd, o.asJSON, report, func() { printMerge(cmd, report, len(files)) })
}

// printMerge prints the numbers of records and duplicates, and the differences between the allocators' clocks.
func printMerge(cmd *cobra.Command, report *trace.MergeReport, files int) {
	cmd.Printf("%d records of %d files, %d that stood in several\n", report.Records, files, report.Duplicates)
	for _, difference := range report.Clocks {
		cmd.Printf("CLOCKS DIFFER: %s\n", difference)
	}
}
