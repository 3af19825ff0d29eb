package experiment

import (
	"errors"
	"fmt"
	"strings"
)

// ErrOneCell means that one side of a comparison is a cell and the other a whole experiment.
var ErrOneCell = errors.New("one side is a cell and the other a whole experiment; name a cell on both")

// OtherExperimentError means that a directory was written by another plan.
type OtherExperimentError struct {
	Dir string
}

func (e OtherExperimentError) Error() string {
	return fmt.Sprintf("%s holds another experiment, or an earlier text of this one; "+
		"give another directory, or remove it", e.Dir)
}

// NoExperimentError means that a directory holds no experiment.
type NoExperimentError struct {
	Dir string
}

func (e NoExperimentError) Error() string {
	return fmt.Sprintf("%s holds no experiment; make one with grebeglade lab run PLAN.hcl -o %s", e.Dir, e.Dir)
}

// MalformedRunError means that a line of the file of runs is no JSON document of a run.
type MalformedRunError struct {
	File string
	Line int
	Err  error
}

func (e MalformedRunError) Error() string {
	return fmt.Sprintf("%s:%d: no run: %v; remove the line, and it is run again", e.File, e.Line, e.Err)
}

// Unwrap returns Err.
func (e MalformedRunError) Unwrap() error { return e.Err }

// ForeignRunError means that a run in a directory does not belong to the plan in it.
type ForeignRunError struct {
	Dir  string
	Cell int
	Seed uint64
}

func (e ForeignRunError) Error() string {
	return fmt.Sprintf("%s: a run of cell %d, seed %d is not of the plan beside it", e.Dir, e.Cell, e.Seed)
}

// UnknownCellError means that an experiment has no cell of a name.
type UnknownCellError struct {
	Dir   string
	Cell  string
	Known []string
}

func (e UnknownCellError) Error() string {
	return fmt.Sprintf("%s has no cell %q; known are %s", e.Dir, e.Cell, strings.Join(e.Known, ", "))
}

// NothingInCommonError means that two sides of a comparison have no cell or no seed in common.
type NothingInCommonError struct {
	A       string
	B       string
	Missing string // what they do not share
	Fix     string // "" if there is none
}

func (e NothingInCommonError) Error() string {
	text := fmt.Sprintf("%s and %s have no %s", e.A, e.B, e.Missing)
	if e.Fix != "" {
		text += "; " + e.Fix
	}
	return text
}

// CommandError means that a command for another build failed.
type CommandError struct {
	Command string
	Err     error
	Output  string // first lines of its standard error
}

func (e CommandError) Error() string { return fmt.Sprintf("%s: %v: %s", e.Command, e.Err, e.Output) }

// Unwrap returns Err.
func (e CommandError) Unwrap() error { return e.Err }
