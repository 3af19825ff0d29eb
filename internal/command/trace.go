package command

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/config"
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/replay"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

func traceCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "trace",
		Short: "Read, cut, merge, anonymise and replay traces",
		Long: "Traces hold what allocators were asked and what they decided. Record them with --trace DIR.\n" +
			"Where a command takes files, a directory stands for the trace files in it, in the order of writing.",
	}
	c.AddCommand(traceSummary(), traceCut(), traceMerge(), traceAnonymise(), traceVerify(), traceExport(), traceShow(),
		traceReplay(), traceExtract())
	return c
}

// openTraces opens files, and those in directories. Files without even a header are passed over with a word.
func openTraces(c *cobra.Command, args []string) ([]*trace.Reader, func(), error) {
	var names []string
	for _, a := range args {
		info, err := os.Stat(a)
		if err != nil {
			return nil, nil, err
		}
		if !info.IsDir() {
			names = append(names, a)
			continue
		}
		found := filesBelow(a)
		if len(found) == 0 {
			return nil, nil, fmt.Errorf("%s: no files *%s are in it", a, trace.FileExtension)
		}
		names = append(names, found...)
	}
	var readers []*trace.Reader
	closeAll := func() {
		for _, r := range readers {
			r.Close()
		}
	}
	for _, name := range names {
		r, err := trace.Open(name)
		if errors.Is(err, trace.ErrEmpty) {
			fmt.Fprintf(c.ErrOrStderr(), "%s: empty; passed over\n", name)
			continue
		}
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		for _, d := range r.Damage {
			fmt.Fprintf(c.ErrOrStderr(), "%s: %s\n", name, d)
		}
		readers = append(readers, r)
	}
	return readers, closeAll, nil
}

// onTraces is a command on the files and directories that it is given.
func onTraces(do func(c *cobra.Command, files []*trace.Reader) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		files, done, err := openTraces(c, args)
		if err != nil {
			return err
		}
		defer done()
		return do(c, files)
	}
}

// filesBelow are the trace files of a directory and of those in it, which hold one allocator each.
func filesBelow(dir string) []string {
	names, _, _ := trace.ListFiles(dir)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return names
	}
	for _, e := range entries {
		if e.IsDir() {
			names = append(names, filesBelow(filepath.Join(dir, e.Name()))...)
		}
	}
	return names
}

// output makes the file that a command writes; it must not be there yet. If writing fails it is taken away.
func output(name string, write func(*os.File) error) error {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s is there already; name another file with -o, or remove it", name)
	}
	if err != nil {
		return err
	}
	err = write(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		os.Remove(name)
		return failure{err}
	}
	return nil
}

func outputFlag(c *cobra.Command, out *string) {
	c.Flags().StringVarP(out, "output", "o", "", "file to write; it must not be there yet")
	if err := c.MarkFlagRequired("output"); err != nil {
		panic(err)
	}
}

func traceSummary() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "summary FILE|DIR...",
		Short: "Count asks, outcomes, waits and refusals",
		Args:  cobra.MinimumNArgs(1),
		RunE: onTraces(func(c *cobra.Command, files []*trace.Reader) error {
			s, err := trace.Summarise(files)
			if err != nil {
				return failure{err}
			}
			if asJSON {
				return printJSON(c, s)
			}
			return tellSummary(c, s)
		}),
	}
	jsonFlag(c, &asJSON)
	return c
}

func tellSummary(c *cobra.Command, s *trace.Summary) error {
	out := c.OutOrStdout()
	fmt.Fprintf(out, "%d records of %s, from %s to %s\n\n", s.Records, strings.Join(s.Sources, ", "), clock(s.FromMs), clock(s.ToMs))
	rows := [][]string{{"GROUP", "ASKS", "PLACED", "REJECTED", "UNSCHEDULABLE", "OPEN", "BINDS", "WAIT, MEDIAN", "P99", "LONGEST"}}
	for _, g := range s.Groups {
		ms := func(v float64) string { return fmt.Sprintf("%.1f ms", v) }
		rows = append(rows, []string{
			g.Group, strconv.Itoa(g.Asks), strconv.Itoa(g.Placed), strconv.Itoa(g.Rejected), strconv.Itoa(g.Unschedulable),
			strconv.Itoa(g.Open), strconv.Itoa(g.Binds), ms(g.MedianMs), ms(g.P99Ms), ms(g.MaxMs),
		})
	}
	if err := printTable(c, rows); err != nil {
		return err
	}
	fmt.Fprintf(out, "\nBinds without an answer: %d. Nodes without a connection: %d.\n", s.Unclear, s.NotThere)
	if len(s.Refusals) > 0 {
		rows = [][]string{{"", ""}, {"NODE", "REFUSED FOR", "TIMES"}}
		const most = 20
		for _, r := range s.Refusals[:min(len(s.Refusals), most)] {
			rows = append(rows, []string{number(r.Node), r.Reason, strconv.Itoa(r.Count)})
		}
		if err := printTable(c, rows); err != nil {
			return err
		}
		if len(s.Refusals) > most {
			fmt.Fprintf(out, "and %d more; --json lists all\n", len(s.Refusals)-most)
		}
	}
	if s.Missing > 0 {
		fmt.Fprintf(out, "MISSING: %d records could not be recorded\n", s.Missing)
	}
	for _, d := range s.Damage {
		fmt.Fprintf(out, "DAMAGED: %s\n", d)
	}
	return nil
}

func clock(unixMs float64) string {
	return time.UnixMicro(int64(unixMs * 1000)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// spanFlags adds the bounds of time.
func spanFlags(c *cobra.Command, from, to *string) {
	c.Flags().StringVar(from, "from", "", `from this time on: "2026-03-02T07:15:00Z", or "+90s" after the first record`)
	c.Flags().StringVar(to, "to", "", "up to this time, written alike")
}

// parseSpan reads the bounds of time against what the files hold.
func parseSpan(files []*trace.Reader, from, to string) (s trace.Span, err error) {
	first := 0.0
	if strings.HasPrefix(from, "+") || strings.HasPrefix(to, "+") {
		for _, f := range files {
			if at := f.First(); at != 0 && (first == 0 || at < first) {
				first = at
			}
		}
	}
	parse := func(name, text string) float64 {
		if text == "" || err != nil {
			return 0
		}
		if after, ok := strings.CutPrefix(text, "+"); ok {
			d, derr := time.ParseDuration(after)
			if derr != nil {
				err = fmt.Errorf(`--%s %q is no time; write one such as "+90s"`, name, text)
			}
			return first + float64(d)/1e6
		}
		t, terr := time.Parse(time.RFC3339Nano, text)
		if terr != nil {
			err = fmt.Errorf(`--%s %q is no time; write one such as "2026-03-02T07:15:00Z" or "+90s"`, name, text)
		}
		return float64(t.UnixNano()) / 1e6
	}
	s.FromMs, s.ToMs = parse("from", from), parse("to", to)
	if err == nil && s.FromMs != 0 && s.ToMs != 0 && s.FromMs > s.ToMs {
		err = fmt.Errorf("--from %s is after --to %s", from, to)
	}
	return s, err
}

func traceCut() *cobra.Command {
	var out, from, to string
	c := &cobra.Command{
		Use:   "cut FILE -o FILE --from TIME --to TIME",
		Short: "Copy the records of a span of time",
		Args:  cobra.ExactArgs(1),
		RunE: onTraces(func(c *cobra.Command, files []*trace.Reader) error {
			if len(files) != 1 {
				return fmt.Errorf("cut takes one file, not %d; merge them first", len(files))
			}
			s, err := parseSpan(files, from, to)
			if err != nil {
				return err
			}
			return output(out, func(f *os.File) error {
				w, err := trace.NewWriter(f, trace.CopyHeader(files[0].Header))
				if err != nil {
					return err
				}
				err = trace.Cut(files[0], w, s)
				fmt.Fprintf(c.ErrOrStderr(), "%d records\n", w.Records)
				return err
			})
		}),
	}
	outputFlag(c, &out)
	spanFlags(c, &from, &to)
	return c
}

func traceMerge() *cobra.Command {
	var out string
	var asJSON bool
	c := &cobra.Command{
		Use:   "merge FILE|DIR... -o FILE",
		Short: "Put the traces of many allocators, or many files of one, into one file",
		Long: "Records are ordered by time; those of one allocator always by incarnation and revision. Records that stand\n" +
			"in several files are taken once. Clocks that differ are named.",
		Args: cobra.MinimumNArgs(1),
		RunE: onTraces(func(c *cobra.Command, files []*trace.Reader) error {
			var report *trace.MergeReport
			err := output(out, func(f *os.File) (err error) {
				report, err = trace.Merge(files, func(h *tracepb.Header) (*trace.Writer, error) { return trace.NewWriter(f, h) })
				return err
			})
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c, report)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d records of %d files, %d that stood in several\n", report.Records, len(files), report.Duplicates)
			for _, s := range report.Clocks {
				fmt.Fprintf(c.OutOrStdout(), "CLOCKS DIFFER: %s\n", s)
			}
			return nil
		}),
	}
	outputFlag(c, &out)
	jsonFlag(c, &asJSON)
	return c
}

func traceAnonymise() *cobra.Command {
	var out, keyFile string
	var coarsen bool
	c := &cobra.Command{
		Use:   "anonymise FILE --key-file FILE -o FILE",
		Short: "Replace all that names someone or something by pseudonyms",
		Long: "Replaces ids of workloads, services, asks, machines, places and the like, names, and all free text. Under one\n" +
			"key the same name has the same pseudonym in every file; keep the key, or destroy it. Times stay. A trace under\n" +
			"pseudonyms cannot be replayed: some choices rest on the ids themselves.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			key, err := os.ReadFile(keyFile)
			if err != nil {
				return err
			}
			a, err := trace.NewAnonymiser(key)
			if err != nil {
				return fmt.Errorf("%s: %w", keyFile, err)
			}
			a.Coarse = coarsen
			files, done, err := openTraces(c, args)
			if err != nil {
				return err
			}
			defer done()
			if len(files) != 1 {
				return fmt.Errorf("anonymise takes one file, not %d; merge them first", len(files))
			}
			h, err := a.Header(files[0].Header)
			if err != nil {
				return failure{err}
			}
			return output(out, func(f *os.File) error {
				w, err := trace.NewWriter(f, h)
				if err != nil {
					return err
				}
				return trace.Anonymise(files[0], w, a)
			})
		},
	}
	outputFlag(c, &out)
	c.Flags().StringVar(&keyFile, "key-file", "", "file with the key, 16 bytes or more")
	c.Flags().BoolVar(&coarsen, "coarsen", false, "also round cores, memory and the like to powers of two")
	if err := c.MarkFlagRequired("key-file"); err != nil {
		panic(err)
	}
	return c
}

func traceVerify() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "verify FILE|DIR...",
		Short: "Read all of each file and say what is wrong with it",
		Args:  cobra.MinimumNArgs(1),
		RunE: onTraces(func(c *cobra.Command, files []*trace.Reader) error {
			var checks []*trace.Check
			wrong := false
			for _, f := range files {
				k := trace.Verify(f)
				checks = append(checks, k)
				wrong = wrong || len(k.Wrong) > 0
				if !asJSON {
					fmt.Fprintf(c.OutOrStdout(), "%d records in %d blocks, index %s\n", k.Records, k.Blocks, k.Index)
					for _, w := range k.Wrong {
						fmt.Fprintf(c.OutOrStdout(), "  %s\n", w)
					}
				}
			}
			if asJSON {
				if err := printJSON(c, checks); err != nil {
					return err
				}
			}
			if wrong {
				return errWrong
			}
			return nil
		}),
	}
	jsonFlag(c, &asJSON)
	return c
}

func traceExport() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "export FILE|DIR... --parquet FILE",
		Short: "Write one row a decision, for common tools",
		Args:  cobra.MinimumNArgs(1),
		RunE: onTraces(func(c *cobra.Command, files []*trace.Reader) error {
			return output(out, func(f *os.File) error {
				n, err := trace.Export(files, f)
				fmt.Fprintf(c.ErrOrStderr(), "%d rows\n", n)
				return err
			})
		}),
	}
	c.Flags().StringVar(&out, "parquet", "", "Parquet file to write; it must not be there yet")
	if err := c.MarkFlagRequired("parquet"); err != nil {
		panic(err)
	}
	return c
}

func traceShow() *cobra.Command {
	var from, to string
	var filter replay.Filter
	var most int
	var asJSON bool
	c := &cobra.Command{
		Use:   "show FILE|DIR...",
		Short: "Print records, one a line",
		Args:  cobra.MinimumNArgs(1),
		RunE: onTraces(func(c *cobra.Command, files []*trace.Reader) error {
			s, err := parseSpan(files, from, to)
			if err != nil {
				return err
			}
			shown, lines := 0, []string{}
			for _, f := range files {
				match := filter.Matcher()
				for r, err := range f.Records(s) {
					if err != nil {
						fmt.Fprintln(c.ErrOrStderr(), err)
						continue
					}
					if !match(r) {
						continue
					}
					if shown++; shown > most {
						continue
					}
					line := fmt.Sprintf("%s %s", clock(f.UnixMillis(r)), replay.Describe(r))
					if len(f.Header.Sources) > 1 && int(r.Source) < len(f.Header.Sources) {
						line = f.Header.Sources[r.Source].Allocator + " " + line
					}
					if lines = append(lines, line); !asJSON {
						fmt.Fprintln(c.OutOrStdout(), line)
					}
				}
			}
			if shown > most {
				fmt.Fprintf(c.ErrOrStderr(), "%d more are left out; --most shows more\n", shown-most)
			}
			if asJSON {
				return printJSON(c, lines)
			}
			return nil
		}),
	}
	spanFlags(c, &from, &to)
	f := c.Flags()
	f.Uint32Var(&filter.Workload, "workload", 0, "only what concerns this workload")
	f.Uint64Var(&filter.Service, "service", 0, "only what concerns workloads of this service")
	f.Uint32Var(&filter.Node, "node", 0, "only what concerns this node")
	f.IntVar(&most, "most", 1000, "show so many at most")
	jsonFlag(c, &asJSON)
	return c
}

func traceReplay() *cobra.Command {
	var whatIf string
	var asJSON bool
	c := &cobra.Command{
		Use:   "replay FILE|DIR...",
		Short: "Feed the recorded calls to the module again and compare every step",
		Long: "Says \"identical\" where the module decides all of it again, or shows the first decision that differs, with what\n" +
			"came before. Exit status 1 if one differs. Files of one allocator must be given from its start on.\n\n" +
			"With --what-if the module gets other settings, and the asks are counted that it decides differently. What\n" +
			"nodes would have answered is unknown: recorded answers are used where a workload is bound as it was, wherever\n" +
			"that is; where the two differ the workload is left out from there on.",
		Args: cobra.MinimumNArgs(1),
		RunE: onTraces(func(c *cobra.Command, files []*trace.Reader) error {
			o := replay.Options{}
			if whatIf != "" {
				conf, err := config.Load(whatIf)
				if err != nil {
					return err
				}
				o.Settings = func(was placement.Settings) (placement.Settings, error) {
					s := native.WithSpreadVariants(conf.Settings)
					if len(s.Groups) != len(was.Groups) || len(s.NodeKinds) != len(was.NodeKinds) {
						return was, fmt.Errorf("the settings have %d groups and %d kinds, the trace has %d and %d; they must be as many",
							len(conf.GroupNames), len(s.NodeKinds), len(was.Groups)*len(conf.GroupNames)/len(s.Groups), len(was.NodeKinds))
					}
					s.Allocators, s.Ordinal = was.Allocators, was.Ordinal
					return s, nil
				}
			}
			reports, err := replay.Files(files, o)
			if err != nil {
				return failure{err}
			}
			if asJSON {
				if err := printJSON(c, reports); err != nil {
					return err
				}
			} else {
				for _, r := range reports {
					tellReplay(c, r)
				}
			}
			for _, r := range reports {
				if r.WhatIf == nil && !r.Identical() {
					return errWrong
				}
			}
			return nil
		}),
	}
	c.Flags().StringVar(&whatIf, "what-if", "", "an allocator's settings to decide with instead")
	jsonFlag(c, &asJSON)
	return c
}

func tellReplay(c *cobra.Command, r *replay.Report) {
	out := c.OutOrStdout()
	switch {
	case r.WhatIf != nil:
		w := r.WhatIf
		fmt.Fprintf(out, "%s, with other settings: of %d asks %d go to the same node, %d to another, %d are rejected that were bound, "+
			"%d are bound that were rejected, %d are rejected as before.\nWhat nodes would have answered is unknown.\n",
			r.Source, w.Asks, w.SameNode, w.OtherNode, w.NowRejected, w.NowBound, w.StillRejected)
	case r.Identical():
		fmt.Fprintf(out, "%s: identical, %d decisions\n", r.Source, r.Decisions)
	default:
		d := r.Differ
		fmt.Fprintf(out, "%s: DIFFERS after %d decisions, at revision %d\n  call:     %s\n  recorded: %s\n  decided:  %s\n  before it:\n",
			r.Source, r.Same, d.Revision, d.Call, d.Recorded, d.Decided)
		for _, b := range d.Before {
			fmt.Fprintf(out, "    %s\n", b)
		}
	}
}

func traceExtract() *cobra.Command {
	var id uint32
	c := &cobra.Command{
		Use:   "extract FILE|DIR... --workload ID",
		Short: "Print the short list of calls that a decision rests on, as a test in Go",
		Args:  cobra.MinimumNArgs(1),
		RunE: onTraces(func(c *cobra.Command, files []*trace.Reader) error {
			x, err := replay.ExtractFiles(files, id)
			if err != nil {
				return failure{err}
			}
			return x.Print(c.OutOrStdout())
		}),
	}
	c.Flags().Uint32Var(&id, "workload", 0, "whose decision")
	if err := c.MarkFlagRequired("workload"); err != nil {
		panic(err)
	}
	return c
}
