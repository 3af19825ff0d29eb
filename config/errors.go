package config

import (
	"fmt"
	"strings"
)

// LineError is a problem in one line of a file.
type LineError struct {
	File    string
	Line    int    // line number, 1 for the first
	Problem string // what is wrong
	Fix     string // what to write instead, "" for no suggestion
}

func (e LineError) Error() string {
	text := fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
	if e.Fix != "" {
		text += "; " + e.Fix
	}
	return text
}

// FileError holds all problems of a file in line order. Its text has one line for each problem.
type FileError []LineError

func (e FileError) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each LineError as a separate error.
func (e FileError) Unwrap() []error {
	errs := make([]error, len(e))
	for i := range e {
		errs[i] = e[i]
	}
	return errs
}
