package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

func traceCutCommand() *cobra.Command {
	var out string
	var bounds spanFlags
	c := &cobra.Command{
		Use:   "cut FILE -o FILE --from TIME --to TIME",
		Short: "Copy the records of a span of time",
		Args:  cobra.ExactArgs(1),
		RunE: withTraces(func(c *cobra.Command, files traceFiles) error {
			file, err := files.only("cut")
			if err != nil {
				return err
			}
			span, err := bounds.span(files)
			if err != nil {
				return err
			}
			return writeOutput(out, func(f *os.File) error { return cutTrace(c, f, file, span) })
		}),
	}
	outputFlag(c, &out)
	bounds.add(c)
	return c
}

func cutTrace(c *cobra.Command, to *os.File, from *trace.Reader, span trace.Span) error {
	w, err := trace.NewWriter(to, trace.CopyHeader(from.Header))
	if err != nil {
		return err
	}
	err = trace.Cut(from, w, span)
	c.PrintErrf("%d records\n", w.Records)
	return err
}

func traceMergeCommand() *cobra.Command {
	var out string
	var asJSON bool
	c := &cobra.Command{
		Use:   "merge FILE|DIR... -o FILE",
		Short: "Merge the traces of many allocators, or many files of one, into one file",
		Long: "Records are ordered by time; those of one allocator always by incarnation and revision. Records that are in\n" +
			"several files are copied once. Clocks that differ are reported.",
		Args: cobra.MinimumNArgs(1),
		RunE: withTraces(func(c *cobra.Command, files traceFiles) error { return mergeTraces(c, files, out, asJSON) }),
	}
	outputFlag(c, &out)
	jsonFlag(c, &asJSON)
	return c
}

func mergeTraces(c *cobra.Command, files traceFiles, out string, asJSON bool) error {
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
		return printJSON(c, report)
	}
	c.Printf("%d records of %d files, %d that stood in several\n", report.Records, len(files), report.Duplicates)
	for _, s := range report.Clocks {
		c.Printf("CLOCKS DIFFER: %s\n", s)
	}
	return nil
}

type anonymiseOptions struct {
	out     string
	keyFile string
	coarsen bool
}

func traceAnonymiseCommand() *cobra.Command {
	var o anonymiseOptions
	c := &cobra.Command{
		Use:   "anonymise FILE --key-file FILE -o FILE",
		Short: "Replace everything that identifies someone or something by pseudonyms",
		Long: "Replaces ids of workloads, services, requests, nodes, places and the like, names, and all free text. With one key\n" +
			"the same name has the same pseudonym in every file; keep the key, or destroy it. Times stay. A trace under\n" +
			"pseudonyms cannot be replayed: some choices rest on the ids themselves.",
		Args: cobra.ExactArgs(1),
		RunE: o.run,
	}
	outputFlag(c, &o.out)
	c.Flags().StringVar(&o.keyFile, "key-file", "", "file with the key, 16 bytes or more")
	c.Flags().BoolVar(&o.coarsen, "coarsen", false, "also round cores, memory and the like to powers of two")
	requireFlag(c, "key-file")
	return c
}

func (o *anonymiseOptions) run(c *cobra.Command, args []string) error {
	key, err := os.ReadFile(o.keyFile)
	if err != nil {
		return err
	}
	a, err := trace.NewAnonymiser(key)
	if err != nil {
		return fmt.Errorf("%s: %w", o.keyFile, err)
	}
	a.Coarse = o.coarsen
	files, err := openTraces(c, args)
	if err != nil {
		return err
	}
	defer files.close()
	file, err := files.only("anonymise")
	if err != nil {
		return err
	}
	header, err := a.Header(file.Header)
	if err != nil {
		return runError{err}
	}
	return writeOutput(o.out, func(f *os.File) error {
		w, err := trace.NewWriter(f, header)
		if err != nil {
			return err
		}
		return trace.Anonymise(file, w, a)
	})
}

func traceVerifyCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "verify FILE|DIR...",
		Short: "Read each file to its end and report what is wrong with it",
		Args:  cobra.MinimumNArgs(1),
		RunE:  withTraces(func(c *cobra.Command, files traceFiles) error { return verifyTraces(c, files, asJSON) }),
	}
	jsonFlag(c, &asJSON)
	return c
}

func verifyTraces(c *cobra.Command, files traceFiles, asJSON bool) error {
	var checks []*trace.Check
	wrong := false
	for _, f := range files {
		check := trace.Verify(f)
		checks = append(checks, check)
		wrong = wrong || len(check.Wrong) > 0
		if !asJSON {
			printCheck(c, check)
		}
	}
	if asJSON {
		if err := printJSON(c, checks); err != nil {
			return err
		}
	}
	if wrong {
		return errProblemFound
	}
	return nil
}

func printCheck(c *cobra.Command, check *trace.Check) {
	c.Printf("%d records in %d blocks, index %s\n", check.Records, check.Blocks, check.Index)
	for _, w := range check.Wrong {
		c.Printf("  %s\n", w)
	}
}

func traceExportCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "export FILE|DIR... --parquet FILE",
		Short: "Write one row for each decision, for common tools",
		Args:  cobra.MinimumNArgs(1),
		RunE: withTraces(func(c *cobra.Command, files traceFiles) error {
			return writeOutput(out, func(f *os.File) error {
				rows, err := trace.Export(files, f)
				c.PrintErrf("%d rows\n", rows)
				return err
			})
		}),
	}
	c.Flags().StringVar(&out, "parquet", "", "Parquet file to write; it must not exist yet")
	requireFlag(c, "parquet")
	return c
}
