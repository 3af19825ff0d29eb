package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/parquet-go/parquet-go"
)

// Files of an experiment's directory.
const (
	planFile    = "experiment.hcl"
	runsFile    = "runs.jsonl"
	parquetFile = "runs.parquet"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// claim makes the directory of a new experiment, or reads the runs that an earlier one of the same plan left in it.
func (p *Plan) claim(dir string) ([]Run, error) {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, planFile)
	source, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, os.WriteFile(path, p.source, fileMode)
	case err != nil:
		return nil, err
	case !bytes.Equal(source, p.source):
		return nil, OtherExperimentError{Dir: dir}
	}
	return recoverRuns(filepath.Join(dir, runsFile))
}

// recoverRuns reads runs, and removes an incomplete last line, so that the next run begins a line of its own.
func recoverRuns(file string) ([]Run, error) {
	runs, complete, err := readRuns(file)
	if err != nil {
		return nil, err
	}
	info, err := os.Stat(file)
	if errors.Is(err, os.ErrNotExist) {
		return runs, nil
	}
	if err != nil {
		return nil, err
	}
	if info.Size() > complete {
		return runs, os.Truncate(file, complete)
	}
	return runs, nil
}

// readRuns reads runs line by line, none if there is no file. It leaves out a last line that is incomplete, since its
// writer was killed, and returns the size of the lines before.
func readRuns(file string) (runs []Run, complete int64, err error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	number := 0
	for line := range bytes.Lines(text) {
		number++
		if !bytes.HasSuffix(line, []byte("\n")) {
			break
		}
		var r Run
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, 0, MalformedRunError{File: file, Line: number, Err: err}
		}
		runs = append(runs, r)
		complete += int64(len(line))
	}
	return runs, complete, nil
}

func openRunFile(file string) (*os.File, error) {
	return os.OpenFile(file, os.O_APPEND|os.O_WRONLY|os.O_CREATE, fileMode)
}

func appendRun(out *os.File, r *Run) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = out.Write(append(line, '\n'))
	return err
}

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
	return parquet.WriteFile(file, rows)
}

func (r *Run) rows() (rows []Row) {
	row := Row{
		Cell: int32(r.Cell), Levels: strings.Join(r.Levels, levelSeparator), Seed: r.Seed, Error: r.Error, Digest: r.Digest,
		Seconds: r.Seconds,
	}
	if r.Error != "" {
		rows = append(rows, row)
	}
	for _, m := range Measures {
		if v, ok := r.Values[m.Name]; ok {
			row.Measure, row.Value = m.Name, v
			rows = append(rows, row)
		}
	}
	return rows
}
