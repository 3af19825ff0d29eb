package command

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitProblem  = 1 // done, and something is wrong
	exitBadInput = 2
)

// errProblemFound ends a command that is done and found something wrong, which it has printed.
var errProblemFound = errors.New("something is wrong")

// problemIf returns errProblemFound if a command has found and printed something wrong, and nil otherwise.
func problemIf(found bool) error {
	if found {
		return errProblemFound
	}
	return nil
}

// runError ends a command that could not do its work although its input was good.
type runError struct{ err error }

func (e runError) Error() string { return e.err.Error() }
func (e runError) Unwrap() error { return e.err }

// runErrorf returns a runError with the message and the wrapped errors of fmt.Errorf.
func runErrorf(format string, args ...any) error { return runError{fmt.Errorf(format, args...)} }

// inputError is a command's error about its input, as opposed to cobra's errors about the command line.
type inputError struct{ err error }

func (e inputError) Error() string { return e.err.Error() }
func (e inputError) Unwrap() error { return e.err }

// exitCode prints an error, unless the command has done so, and returns its exit code.
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

// markInputErrors makes cmd and all commands below it return their own errors as inputErrors, so that these can be
// distinguished from cobra's.
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
