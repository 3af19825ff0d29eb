package command

import (
	"fmt"
	"iter"

	"github.com/spf13/cobra"

	"grebeglade/internal/replay"
	"grebeglade/trace"
)

type showOptions struct {
	bounds spanFlags
	filter replay.Filter
	most   int
	asJSON bool
}

func traceShowCommand() *cobra.Command {
	var o showOptions
	cmd := &cobra.Command{
		Use:   "show FILE|DIR...",
		Short: "Print records, one a line",
		Args:  cobra.MinimumNArgs(1),
		RunE:  withTraces(o.run),
	}
	o.bounds.add(cmd)
	f := cmd.Flags()
	f.Uint32Var(&o.filter.Workload, "workload", 0, "only what concerns this workload")
	f.Uint64Var(&o.filter.Service, "service", 0, "only what concerns workloads of this service")
	f.Uint32Var(&o.filter.Node, "node", 0, "only what concerns this node")
	f.IntVar(&o.most, "most", 1000, "show so many at most")
	jsonFlag(cmd, &o.asJSON)
	return cmd
}

func (o *showOptions) run(cmd *cobra.Command, files traceFiles) error {
	span, err := o.bounds.span(files)
	if err != nil {
		return err
	}
	lines, matched := []string{}, 0
	for _, file := range files {
		for r := range o.matching(cmd, file, span) {
			if matched++; matched > o.most {
				continue
			}
			line := formatRecord(file, r)
			lines = append(lines, line)
			if !o.asJSON {
				cmd.Println(line)
			}
		}
	}
	if matched > o.most {
		cmd.PrintErrf("%d more are left out; --most shows more\n", matched-o.most)
	}
	if o.asJSON {
		return printJSON(cmd, lines)
	}
	return nil
}

// matching returns the records of a file that the filter accepts. Damage is reported and skipped.
func (o *showOptions) matching(cmd *cobra.Command, file *trace.Reader, span trace.Span) iter.Seq[*trace.Record] {
	return func(yield func(*trace.Record) bool) {
		match := o.filter.Matcher()
		for r, err := range file.Records(span) {
			if err != nil {
				cmd.PrintErrln(err)
				continue
			}
			if match(r) && !yield(r) {
				return
			}
		}
	}
}

// formatRecord describes a record in a line, with its allocator if the file holds several.
func formatRecord(file *trace.Reader, r *trace.Record) string {
	line := fmt.Sprintf("%s %s", formatTime(file.UnixMillis(r)), replay.Describe(r))
	if sources := file.Header.Sources; len(sources) > 1 && int(r.Source) < len(sources) {
		line = sources[r.Source].Allocator + " " + line
	}
	return line
}
