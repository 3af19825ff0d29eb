package command

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"grebeglade/internal/experiment"
)

type compareOptions struct {
	showEqual bool
	asJSON    bool
}

const labCompareHelp = `
Compares two directories cell by cell, or two cells named as DIR:LEVEL/LEVEL, in pairs of the same seed. Shows for
each measure how B differs from A with a 95% interval, and where nothing is seen, how small a difference would have
been. Exit status 1 if anything is worse beyond chance.
`

// labCompareCommand defines "lab compare".
func labCompareCommand() *cobra.Command {
	var options compareOptions
	cmd := &cobra.Command{
		Use:   "compare A B",
		Short: "Show how one experiment, or one cell of it, differs from another",
		Long:  helpText(labCompareHelp),
		Args:  cobra.ExactArgs(2),
		RunE:  func(cmd *cobra.Command, args []string) error { return options.run(cmd, args[0], args[1]) },
	}
	cmd.Flags().BoolVar(&options.showEqual, "all", false, "show also what is the same in every pair")
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// run prints the differences of B from A. The error is errProblemFound if B is worse in any measure.
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
	isWorse := func(d experiment.Difference) bool { return d.IsWorse() }
	return problemIf(slices.ContainsFunc(differences, isWorse))
}

// print prints all differences as JSON, or as a table without the measures that are equal, unless these are wanted.
func (o *compareOptions) print(cmd *cobra.Command, differences []experiment.Difference) error {
	var comparisons []comparison
	rows := [][]string{{"CELL", "FIGURE", "A", "B", "B - A", "95% FROM", "TO", "PAIRS", "VERDICT"}}
	for i := range differences {
		difference := &differences[i]
		comparisons = append(comparisons, newComparison(difference))
		if o.showEqual || !difference.IsEqual() {
			rows = append(rows, differenceRow(difference))
		}
	}
	if o.asJSON {
		return printJSON(cmd, comparisons)
	}
	return printTable(cmd, rows)
}

// differenceRow returns the row of a table for a difference.
func differenceRow(d *experiment.Difference) []string {
	return []string{
		d.Cell,
		d.Measure,
		formatShort(d.A),
		formatShort(d.B),
		formatShort(d.Delta.Mean),
		formatShort(d.Delta.Low),
		formatShort(d.Delta.High),
		strconv.Itoa(d.Delta.N),
		d.Verdict,
	}
}

// formatShort formats a measure with four significant digits.
func formatShort(v float64) string { return fmt.Sprintf("%.4g", v) }

// comparison is an experiment.Difference as JSON shows it.
type comparison struct {
	Cell    string  `json:"cell"`
	Measure string  `json:"measure"`
	A       float64 `json:"a"`
	B       float64 `json:"b"`
	delta
	Sure    bool   `json:"sure"`
	Verdict string `json:"verdict"`
}

// delta is an experiment.Estimate as JSON shows it, among the fields of a comparison. JSON has no infinity, so bounds
// that are not finite are left out.
type delta struct {
	Mean     float64  `json:"b_minus_a"`
	Low      *float64 `json:"low_95,omitempty"`
	High     *float64 `json:"high_95,omitempty"`
	Smallest *float64 `json:"smallest_seen,omitempty"`
	Pairs    int      `json:"pairs"`
}

// newComparison converts a difference for JSON.
func newComparison(difference *experiment.Difference) comparison {
	return comparison{
		Cell:    difference.Cell,
		Measure: difference.Measure,
		A:       difference.A,
		B:       difference.B,
		delta: delta{
			Mean:     difference.Delta.Mean,
			Low:      finite(difference.Delta.Low),
			High:     finite(difference.Delta.High),
			Smallest: finite(difference.Delta.SmallestDetectable),
			Pairs:    difference.Delta.N,
		},
		Sure:    difference.Significant,
		Verdict: difference.Verdict,
	}
}

// finite returns nil for a value that JSON cannot hold.
func finite(v float64) *float64 {
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return nil
	}
	return &v
}
