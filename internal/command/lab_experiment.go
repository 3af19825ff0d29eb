package command

import (
	"fmt"
	"math"
	"strings"

	"github.com/spf13/cobra"

	"grebeglade/internal/experiment"
)

const progressInterval = 20 // runs between two lines of progress

type experimentOptions struct {
	dir     string
	workers int
	asJSON  bool
}

func labRunCommand() *cobra.Command {
	var o experimentOptions
	c := &cobra.Command{
		Use:   "run EXPERIMENT.hcl -o DIR",
		Short: "Run an experiment: scenarios with something varied, each with the same seeds",
		Long: "Runs the scenarios of an experiment in virtual time on all cores and keeps the results in a directory. Stopped or\n" +
			"killed, the same command resumes it. Exit status 1 if a rule broke in any run, or a run failed.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args[0]) },
	}
	c.Flags().StringVarP(&o.dir, "output", "o", "", "directory for the results; by default named like the experiment")
	c.Flags().IntVar(&o.workers, "workers", 0, "concurrent runs, instead of what the experiment says")
	jsonFlag(c, &o.asJSON)
	return c
}

func (o *experimentOptions) run(c *cobra.Command, file string) error {
	plan, err := experiment.Open(file)
	if err != nil {
		return err
	}
	if o.dir == "" {
		o.dir = plan.Name
	}
	if o.workers < 0 {
		return fmt.Errorf("--workers %d must not be below 0", o.workers)
	}
	if o.workers > 0 {
		plan.Limits.Workers = o.workers
	}
	report, err := plan.Run(c.Context(), o.dir, func(r experiment.Run, done, of int) { printRun(c, r, done, of) })
	if err != nil {
		return runError{err}
	}
	if o.asJSON {
		if err := printJSON(c, report); err != nil {
			return err
		}
	} else {
		printExperiment(c, report, o.dir)
	}
	if report.Failed+report.Broken > 0 {
		return errProblemFound
	}
	return nil
}

func printRun(c *cobra.Command, r experiment.Run, done, of int) {
	if r.Error != "" {
		c.PrintErrf("cell %d (%s), seed %d: %s\n", r.Cell, strings.Join(r.Levels, " / "), r.Seed, r.Error)
	}
	if done%progressInterval == 0 || done == of {
		c.PrintErrf("%d of %d runs\n", done, of)
	}
}

func printExperiment(c *cobra.Command, r *experiment.Report, dir string) {
	c.Printf("%d of %d runs are done (%d of them before), in %.0f s; %d failed, in %d a rule broke.\n",
		r.Done, r.Total, r.Earlier, r.Seconds, r.Failed, r.Broken)
	if r.StopReason != "" {
		c.Printf("It is not complete: %s.\n", r.StopReason)
	}
	c.Printf("Read it: grebeglade lab report %s\n", dir)
}

func labReportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR",
		Short: "Write an experiment's report: one self-contained page, and its plots",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			results, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			path, err := results.WriteReport()
			if err != nil {
				return runError{err}
			}
			c.Printf("%s is written, and its plots beside it.\n", path)
			return nil
		},
	}
}

// comparison is a difference as JSON shows it; bounds that are not finite are left out.
type comparison struct {
	Cell     string   `json:"cell"`
	Measure  string   `json:"measure"`
	A        float64  `json:"a"`
	B        float64  `json:"b"`
	Mean     float64  `json:"b_minus_a"`
	Low      *float64 `json:"low_95,omitempty"`
	High     *float64 `json:"high_95,omitempty"`
	Smallest *float64 `json:"smallest_seen,omitempty"`
	Pairs    int      `json:"pairs"`
	Sure     bool     `json:"sure"`
	Verdict  string   `json:"verdict"`
}

func newComparison(d *experiment.Difference) comparison {
	return comparison{
		Cell: d.Cell, Measure: d.Measure, A: d.A, B: d.B, Mean: d.Delta.Mean, Low: finite(d.Delta.Low),
		High: finite(d.Delta.High), Smallest: finite(d.Delta.SmallestDetectable), Pairs: d.Delta.N, Sure: d.Significant, Verdict: d.Verdict,
	}
}

type compareOptions struct {
	showEqual bool
	asJSON    bool
}

func labCompareCommand() *cobra.Command {
	var o compareOptions
	c := &cobra.Command{
		Use:   "compare A B",
		Short: "Show how one experiment, or one cell of it, differs from another",
		Long: "Compares two directories cell by cell, or two cells named as DIR:LEVEL/LEVEL, in pairs of the same seed. Shows for\n" +
			"each measure how B differs from A with a 95% interval, and where nothing is seen, how small a difference would have\n" +
			"been. Exit status 1 if anything is worse beyond chance.",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args[0], args[1]) },
	}
	c.Flags().BoolVar(&o.showEqual, "all", false, "show also what is the same in every pair")
	jsonFlag(c, &o.asJSON)
	return c
}

func (o *compareOptions) run(c *cobra.Command, nameA, nameB string) error {
	a, err := experiment.OpenSide(nameA)
	if err != nil {
		return err
	}
	b, err := experiment.OpenSide(nameB)
	if err != nil {
		return err
	}
	differences, err := experiment.Compare(a, b)
	if err != nil {
		return err
	}
	if err := o.print(c, differences); err != nil {
		return err
	}
	for i := range differences {
		if differences[i].IsWorse() {
			return errProblemFound
		}
	}
	return nil
}

func (o *compareOptions) print(c *cobra.Command, differences []experiment.Difference) error {
	var comparisons []comparison
	rows := [][]string{{"CELL", "FIGURE", "A", "B", "B - A", "95% FROM", "TO", "PAIRS", "VERDICT"}}
	for i := range differences {
		d := &differences[i]
		comparisons = append(comparisons, newComparison(d))
		if o.showEqual || !d.IsEqual() {
			rows = append(rows, differenceRow(d))
		}
	}
	if o.asJSON {
		return printJSON(c, comparisons)
	}
	return printTable(c, rows)
}

func differenceRow(d *experiment.Difference) []string {
	return []string{
		d.Cell, d.Measure, formatShort(d.A), formatShort(d.B), formatShort(d.Delta.Mean), formatShort(d.Delta.Low),
		formatShort(d.Delta.High), fmt.Sprint(d.Delta.N), d.Verdict,
	}
}

// finite returns nil for a value that JSON cannot hold.
func finite(v float64) *float64 {
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return nil
	}
	return &v
}

func formatShort(v float64) string { return fmt.Sprintf("%.4g", v) }
