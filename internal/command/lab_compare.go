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
	showEqual bool // include measures that are equal in every pair
	asJSON    bool
}

const labCompareHelp = `
Compares two experiments' directories cell by cell, or two cells given as DIR:LEVEL/LEVEL, pairing runs with the
same seed. Shows for each measure the difference of B from A with its 95% confidence interval, and the smallest
difference that would have been detected if there is no significant one. Exit status 1 if a measure is
significantly worse.
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
	cmd.Flags().BoolVar(&options.showEqual, "all", false, "also show measures that are equal in every pair")
	jsonFlag(cmd, &options.asJSON)
	return cmd
}

// run prints the differences of B from A. The error is errProblemFound if B is significantly worse in a measure.
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

// print prints all differences as JSON, or as a table, which omits equal measures unless showEqual is set.
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

// differenceRow returns the table row for a difference.
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

// comparison is the JSON form of an experiment.Difference.
type comparison struct {
	Cell    string  `json:"cell"`
	Measure string  `json:"measure"`
	A       float64 `json:"a"`
	B       float64 `json:"b"`
	delta
	Sure    bool   `json:"sure"`
	Verdict string `json:"verdict"`
}

// delta is the JSON form of an experiment.Estimate, embedded in a comparison. Bounds that are not finite are omitted,
// since JSON cannot represent them.
type delta struct {
	Mean     float64  `json:"b_minus_a"`
	Low      *float64 `json:"low_95,omitempty"`
	High     *float64 `json:"high_95,omitempty"`
	Smallest *float64 `json:"smallest_seen,omitempty"`
	Pairs    int      `json:"pairs"`
}

// newComparison converts a difference to its JSON form.
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

// finite returns a pointer to v, or nil if v is infinite or NaN, which JSON cannot represent.
func finite(v float64) *float64 {
	if math.IsInf(v, 0) || math.IsNaN(v) {
		return nil
	}
	return &v
}
