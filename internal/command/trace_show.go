package command

import (
	"iter"

	"github.com/spf13/cobra"

	"grebeglade/internal/replay"
	"grebeglade/trace"
)

type showOptions struct {
	bounds spanFlags
	filter replay.Filter
	limit  int // maximum number of printed records
	asJSON bool
}

// traceShowCommand defines "trace show".
func traceShowCommand() *cobra.Command {
	var options showOptions
	cmd := &cobra.Command{
		Use:   "show FILE|DIR...",
		Short: "Print records, one per line",
		Args:  cobra.MinimumNArgs(1),
		RunE:  withTraces(options.run),
	}
	options.bounds.addFlags(cmd)
	flags := cmd.Flags()
	flags.Uint32Var(&options.filter.Workload, "workload", 0, "only records that concern this workload")
	flags.Uint64Var(&options.filter.Service, "service", 0, "only records that concern workloads of this service")
	flags.Uint32Var(&options.filter.Node, "node", 0, "only records that concern this node")
	flags.IntVar(&options.limit, "most", 1000, "maximum number of records to print")
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// run prints the matching records, as lines while they are read or as one JSON document, and the number of records
// left out because of the limit.
func (o *showOptions) run(cmd *cobra.Command, files traceFiles) error {
	span, err := o.bounds.span(files)
	if err != nil {
		return err
	}
	lines := []string{} // never null in JSON
	matched := 0
	for _, file := range files {
		for record := range o.matching(cmd, file, span) {
			matched++
			if matched > o.limit {
				continue
			}
			line := formatRecord(file, record)
			lines = append(lines, line)
			if !o.asJSON {
				cmd.Println(line)
			}
		}
	}
	if matched > o.limit {
		cmd.PrintErrf("%d more are left out; --most shows more\n", matched-o.limit)
	}
	if o.asJSON {
		return printJSON(cmd, lines)
	}
	return nil
}

// matching returns the records of a file in the span that match the filter. Damaged parts are reported and skipped.
func (o *showOptions) matching(cmd *cobra.Command, file *trace.Reader, span trace.Span) iter.Seq[*trace.Record] {
	return func(yield func(*trace.Record) bool) {
		match := o.filter.Matcher()
		for record, err := range file.Records(span) {
			if err != nil {
				cmd.PrintErrln(err)
				continue
			}
			if match(record) && !yield(record) {
				return
			}
		}
	}
}

// formatRecord describes a record in one line. If the file has several allocators, the line begins with the name of the
// record's allocator.
func formatRecord(file *trace.Reader, record *trace.Record) string {
	line := formatTime(file.UnixMillis(record)) + " " + replay.Describe(record)
	sources := file.Header.Sources
	if len(sources) > 1 && int(record.Source) < len(sources) {
		return sources[record.Source].Allocator + " " + line
	}
	return line
}
