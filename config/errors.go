package config

import (
	"fmt"
	"strings"
)

// LineError is one thing that is wrong with a file.
type LineError struct {
	File    string
	Line    int
	Problem string // what is wrong
	Fix     string // what to write instead, or ""
}

func (e LineError) Error() string {
	text := fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Problem)
	if e.Fix != "" {
		text += "; " + e.Fix
	}
	return text
}

// FileError is everything that is wrong with a file, in the order of its lines. Its text has a line for each.
type FileError []LineError

func (e FileError) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each LineError as an error of its own.
func (e FileError) Unwrap() []error {
	errs := make([]error, len(e))
	for i := range e {
		errs[i] = e[i]
	}
	return errs
}
