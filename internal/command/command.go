// Package command is grebeglade's command line.
//
// Exit codes: 0 done and well, 1 done and something is wrong, 2 bad input. With --json, standard output holds one JSON
// document and nothing else; logs and progress go to standard error.
//
// Each sub-command has a file of its own, named after it. A function that ends in Command defines the flags, and the
// options that these fill have a method that does the work.
package command

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

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

const rootHelp = `
grebeglade places long-running workloads on a cluster's nodes. Any number of allocators work side by side;
each decides by what it sees itself. To try it without any file: grebeglade demo
`

// rootCommand defines the program's command with all its sub-commands. Errors and usage are printed by exitCode alone.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "grebeglade",
		Short:         "Places long-running workloads on a cluster's nodes",
		Long:          helpText(rootHelp),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		serveCommand(),
		platformCommand(),
		demoCommand(),
		submitCommand(),
		workloadsCommand(),
		gangsCommand(),
		nodesCommand(),
		configCommand(),
		labCommand(),
		stateCommand(),
		traceCommand(),
		benchCommand(),
	)
	markInputErrors(root)
	return root
}
