package command

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitProblem  = 1 // a problem was found, or the command could not do its work
	exitBadInput = 2 // the command line or an input is invalid
)

// errProblemFound is returned by a command that has found a problem and printed it. exitCode does not print it again.
var errProblemFound = errors.New("the command found a problem")

// problemIf returns errProblemFound if found is set, and nil otherwise.
func problemIf(found bool) error {
	if found {
		return errProblemFound
	}
	return nil
}

// runError is the error of a command that could not do its work although its input is valid. Its exit code
// is exitProblem.
type runError struct{ err error }

func (e runError) Error() string { return e.err.Error() }
func (e runError) Unwrap() error { return e.err }

// runErrorf returns a runError with the message and the wrapped errors of fmt.Errorf.
func runErrorf(format string, args ...any) error { return runError{fmt.Errorf(format, args...)} }

// inputError marks an error that a command returned, as opposed to cobra's errors about the syntax of the command line.
type inputError struct{ err error }

func (e inputError) Error() string { return e.err.Error() }
func (e inputError) Unwrap() error { return e.err }

// exitCode prints an error, unless it is errProblemFound, and returns its exit code. After cobra's errors about the
// syntax of the command line it also prints how to get help.
func exitCode(root *cobra.Command, err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errProblemFound):
		return exitProblem
	}
	root.PrintErrln("grebeglade:", err)
	var failed runError
	if errors.As(err, &failed) {
		return exitProblem
	}
	var input inputError
	if !errors.As(err, &input) {
		root.PrintErrln("See 'grebeglade --help'.")
	}
	return exitBadInput
}

// markInputErrors makes cmd and all its sub-commands wrap the errors of their RunE in an inputError, so that exitCode
// can distinguish them from cobra's.
func markInputErrors(cmd *cobra.Command) {
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			if err := run(cmd, args); err != nil {
				return inputError{err}
			}
			return nil
		}
	}
	for _, sub := range cmd.Commands() {
		markInputErrors(sub)
	}
}
