package experiment

import (
	"fmt"
	"strings"

	"github.com/parquet-go/parquet-go"
)

// Row is one value of one run in the Parquet file. A failed run has a row with its error.
type Row struct {
	Cell    int32   `parquet:"cell"`
	Levels  string  `parquet:"levels,dict"`
	Seed    uint64  `parquet:"seed"`
	Measure string  `parquet:"measure,dict"`
	Value   float64 `parquet:"value"`
	Error   string  `parquet:"error,dict"`
	Digest  string  `parquet:"digest,dict"`
	Seconds float64 `parquet:"seconds"`
}

func writeParquet(file string, runs []Run) error {
	var rows []Row
	for i := range runs {
		rows = append(rows, runs[i].rows()...)
	}
	if err := parquet.WriteFile(file, rows); err != nil {
		return fmt.Errorf("write Parquet file: %w", err)
	}
	return nil
}

// rows returns a row for each measure with a value, in the order of Measures. The first row of a failed run has its
// error and no measure.
func (r *Run) rows() (rows []Row) {
	common := Row{
		Cell:    int32(r.Cell),
		Levels:  strings.Join(r.Levels, levelSeparator),
		Seed:    r.Seed,
		Error:   r.Error,
		Digest:  r.Digest,
		Seconds: r.Seconds,
	}
	if r.Error != "" {
		rows = append(rows, common)
	}
	for _, m := range Measures {
		value, ok := r.Values[m.Name]
		if !ok {
			continue
		}
		measured := common
		measured.Measure = m.Name
		measured.Value = value
		rows = append(rows, measured)
	}
	return rows
}
