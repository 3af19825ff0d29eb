// Package command is grebeglade's command line.
//
// Exit codes: 0 done and well, 1 done and something is wrong, 2 bad input. With --json, standard output holds one JSON
// document and nothing else; logs and progress go to standard error.
package command

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

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

// runError ends a command that could not do its work although its input was good.
type runError struct{ err error }

func (e runError) Error() string { return e.err.Error() }
func (e runError) Unwrap() error { return e.err }

// inputError is a command's error about its input, as opposed to cobra's errors about the command line.
type inputError struct{ err error }

func (e inputError) Error() string { return e.err.Error() }
func (e inputError) Unwrap() error { return e.err }

// Run runs a command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := rootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	return exitCode(root, root.ExecuteContext(ctx))
}

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

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "grebeglade",
		Short: "Places long-running workloads on a cluster's nodes",
		Long: "grebeglade places long-running workloads on a cluster's nodes. Any number of allocators work side by side;\n" +
			"each decides by what it sees itself. To try it without any file: grebeglade demo",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(
		serveCommand(), platformCommand(), demoCommand(),
		submitCommand(), workloadsCommand(), gangsCommand(), nodesCommand(),
		configCommand(), labCommand(), stateCommand(), traceCommand(), benchCommand(),
	)
	markInputErrors(root)
	return root
}

// markInputErrors wraps the commands below c so that their own errors can be distinguished from cobra's.
func markInputErrors(c *cobra.Command) {
	if run := c.RunE; run != nil {
		c.RunE = func(c *cobra.Command, args []string) error {
			if err := run(c, args); err != nil {
				return inputError{err}
			}
			return nil
		}
	}
	for _, sub := range c.Commands() {
		markInputErrors(sub)
	}
}

// environmentOr returns a variable of the environment, or otherwise if it is not set.
func environmentOr(name, otherwise string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return otherwise
}

// requireFlag marks a flag as required. The flag must exist.
func requireFlag(c *cobra.Command, name string) {
	if err := c.MarkFlagRequired(name); err != nil {
		panic(err) // the flag is not defined: a mistake in this package
	}
}
