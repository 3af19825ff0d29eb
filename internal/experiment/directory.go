package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
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

// prepareDirectory creates the directory, if necessary, and writes the plan into it. If the directory already contains
// the same plan, it returns the runs of earlier executions. A different plan in it is an OtherExperimentError.
func (p *Plan) prepareDirectory(dir string) ([]Run, error) {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, fmt.Errorf("create directory of experiment: %w", err)
	}
	path := filepath.Join(dir, planFile)
	text, err := readPlanText(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, p.write(path)
	case err != nil:
		return nil, err
	case !bytes.Equal(text, p.source.text):
		return nil, OtherExperimentError{Dir: dir}
	}
	return recoverRuns(filepath.Join(dir, runsFile))
}

func (p *Plan) write(file string) error {
	if err := os.WriteFile(file, p.source.text, fileMode); err != nil {
		return fmt.Errorf("write plan: %w", err)
	}
	return nil
}

// recoverRuns reads runs, and removes an incomplete last line, so that the next run is written on a new line.
func recoverRuns(file string) ([]Run, error) {
	runs, completeSize, err := readRuns(file)
	if err != nil {
		return nil, err
	}
	info, err := os.Stat(file)
	if errors.Is(err, os.ErrNotExist) {
		return runs, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read size of runs file: %w", err)
	}
	if info.Size() <= completeSize {
		return runs, nil
	}
	if err := os.Truncate(file, completeSize); err != nil {
		return nil, fmt.Errorf("remove incomplete last line of runs file: %w", err)
	}
	return runs, nil
}

// readRuns reads runs, one per line. A missing file is treated as empty. A last line without a newline, which a killed
// process leaves, is skipped; completeSize is the size in bytes of the lines before it.
func readRuns(file string) (runs []Run, completeSize int64, err error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read runs file: %w", err)
	}
	lineNumber := 0
	for line := range bytes.Lines(text) {
		lineNumber++
		if !bytes.HasSuffix(line, []byte("\n")) {
			break
		}
		var run Run
		if err := json.Unmarshal(line, &run); err != nil {
			return nil, 0, MalformedRunError{
				File: file,
				Line: lineNumber,
				Err:  err,
			}
		}
		runs = append(runs, run)
		completeSize += int64(len(line))
	}
	return runs, completeSize, nil
}

func openRunFile(file string) (*os.File, error) {
	out, err := os.OpenFile(file, os.O_APPEND|os.O_WRONLY|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open runs file: %w", err)
	}
	return out, nil
}

func appendRun(out *os.File, r *Run) error {
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode run: %w", err)
	}
	if _, err := out.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("write run: %w", err)
	}
	return nil
}
