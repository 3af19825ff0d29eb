package experiment

import (
	"errors"
	"fmt"
	"strings"
)

// ErrOneCell means that one side of a comparison is a cell and the other side is a whole experiment.
var ErrOneCell = errors.New("one side is a cell and the other a whole experiment; name a cell on both")

// OtherExperimentError means that a directory contains a different plan.
type OtherExperimentError struct {
	Dir string
}

func (e OtherExperimentError) Error() string {
	return fmt.Sprintf("%s holds another experiment, or an earlier version of this one; "+
		"use another directory, or remove it", e.Dir)
}

// NoExperimentError means that a directory contains no experiment.
type NoExperimentError struct {
	Dir string
}

func (e NoExperimentError) Error() string {
	return fmt.Sprintf("%s holds no experiment; create one with grebeglade lab run PLAN.hcl -o %s", e.Dir, e.Dir)
}

// MalformedRunError means that a line of the runs file is not a valid run in JSON.
type MalformedRunError struct {
	File string
	Line int
	Err  error
}

func (e MalformedRunError) Error() string {
	return fmt.Sprintf("%s:%d: malformed run: %v; remove the line to have the run repeated", e.File, e.Line, e.Err)
}

// Unwrap returns Err.
func (e MalformedRunError) Unwrap() error { return e.Err }

// ForeignRunError means that a run in a directory does not belong to the directory's plan.
type ForeignRunError struct {
	Dir  string
	Cell int
	Seed uint64
}

func (e ForeignRunError) Error() string {
	return fmt.Sprintf("%s: the run of cell %d, seed %d does not belong to the directory's plan", e.Dir, e.Cell, e.Seed)
}

// UnknownCellError means that an experiment has no cell with the requested name.
type UnknownCellError struct {
	Dir   string
	Cell  string
	Known []string // names of the experiment's cells
}

func (e UnknownCellError) Error() string {
	return fmt.Sprintf("%s has no cell %q; known are %s", e.Dir, e.Cell, strings.Join(e.Known, ", "))
}

// NothingInCommonError means that two sides of a comparison have no cell or no seed in common.
type NothingInCommonError struct {
	A       string
	B       string
	Missing string // what the two sides do not have in common
	Fix     string // advice to the user; "" for none
}

func (e NothingInCommonError) Error() string {
	text := fmt.Sprintf("%s and %s have no %s", e.A, e.B, e.Missing)
	if e.Fix != "" {
		text += "; " + e.Fix
	}
	return text
}

// CommandError means that a command that makes or runs another build failed.
type CommandError struct {
	Command string
	Err     error
	Output  string // first lines of its standard error
}

func (e CommandError) Error() string { return fmt.Sprintf("%s: %v: %s", e.Command, e.Err, e.Output) }

// Unwrap returns Err.
func (e CommandError) Unwrap() error { return e.Err }
