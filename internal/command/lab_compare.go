package command

import (
	"fmt"
	"math"

	"github.com/spf13/cobra"

	"grebeglade/internal/experiment"
)

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

const labCompareHelp = `
Compares two directories cell by cell, or two cells named as DIR:LEVEL/LEVEL, in pairs of the same seed. Shows for
each measure how B differs from A with a 95% interval, and where nothing is seen, how small a difference would have
been. Exit status 1 if anything is worse beyond chance.
`

func labCompareCommand() *cobra.Command {
	var o compareOptions
	cmd := &cobra.Command{
		Use:   "compare A B",
		Short: "Show how one experiment, or one cell of it, differs from another",
		Long:  helpText(labCompareHelp),
		Args:  cobra.ExactArgs(2),
		RunE:  func(cmd *cobra.Command, args []string) error { return o.run(cmd, args[0], args[1]) },
	}
	cmd.Flags().BoolVar(&o.showEqual, "all", false, "show also what is the same in every pair")
	jsonFlag(cmd, &o.asJSON)
	return cmd
}

func (o *compareOptions) run(cmd *cobra.Command, nameA, nameB string) error {
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
	if err := o.print(cmd, differences); err != nil {
		return err
	}
	for i := range differences {
		if differences[i].IsWorse() {
			return errProblemFound
		}
	}
	return nil
}

func (o *compareOptions) print(cmd *cobra.Command, differences []experiment.Difference) error {
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
		return printJSON(cmd, comparisons)
	}
	return printTable(cmd, rows)
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
