package command

import (
	"os"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

type cutOptions struct {
	bounds spanFlags
	out    string
}

// traceCutCommand defines "trace cut".
func traceCutCommand() *cobra.Command {
	var options cutOptions
	cmd := &cobra.Command{
		Use:   "cut FILE -o FILE --from TIME --to TIME",
		Short: "Copy the records of a time span",
		Args:  cobra.ExactArgs(1),
		RunE:  withTraces(options.run),
	}
	outputFlag(cmd, &options.out)
	options.bounds.addFlags(cmd)
	return cmd
}

// run copies the records and prints their number.
func (o *cutOptions) run(cmd *cobra.Command, files traceFiles) error {
	file, err := files.single("cut")
	if err != nil {
		return err
	}
	span, err := o.bounds.span(files)
	if err != nil {
		return err
	}
	return writeOutput(o.out, func(out *os.File) error {
		writer, err := trace.NewWriter(out, trace.CopyHeader(file.Header))
		if err != nil {
			return err
		}
		err = trace.Cut(file, writer, span)
		cmd.PrintErrf("%d records\n", writer.Records)
		return err
	})
}
