package command

import (
	"os"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

func traceCutCommand() *cobra.Command {
	var out string
	var bounds spanFlags
	cmd := &cobra.Command{
		Use:   "cut FILE -o FILE --from TIME --to TIME",
		Short: "Copy the records of a span of time",
		Args:  cobra.ExactArgs(1),
		RunE: withTraces(func(cmd *cobra.Command, files traceFiles) error {
			file, err := files.only("cut")
			if err != nil {
				return err
			}
			span, err := bounds.span(files)
			if err != nil {
				return err
			}
			return writeOutput(out, func(f *os.File) error { return cutTrace(cmd, f, file, span) })
		}),
	}
	outputFlag(cmd, &out)
	bounds.add(cmd)
	return cmd
}

func cutTrace(cmd *cobra.Command, to *os.File, from *trace.Reader, span trace.Span) error {
	w, err := trace.NewWriter(to, trace.CopyHeader(from.Header))
	if err != nil {
		return err
	}
	err = trace.Cut(from, w, span)
	cmd.PrintErrf("%d records\n", w.Records)
	return err
}
