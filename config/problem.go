package config

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	File string
	Line int
	What string // what is wrong
	Fix  string // what to write instead, or ""
}

func (p Problem) Error() string {
	s := fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.What)
	if p.Fix != "" {
		s += "; " + p.Fix
	}
	return s
}

// Problems is everything that is wrong with a file, in the order of its lines. Its text has a line for each.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each problem as an error of its own.
func (p Problems) Unwrap() []error {
	errs := make([]error, len(p))
	for i := range p {
		errs[i] = p[i]
	}
	return errs
}
