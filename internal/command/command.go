// Package command implements grebeglade's command line.
//
// Exit codes: 0 for success, 1 if a command has found a problem or could not do its work, 2 for invalid input. With
// --json, standard output holds one JSON document and nothing else; logs and progress go to standard error.
//
// Most sub-commands have a file named after them. A function whose name ends in Command defines a sub-command and its
// flags. Where the flags set the fields of an options struct, a method of that struct does the work.
package command

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Run runs a command line and returns the exit code. SIGINT and SIGTERM cancel the command's context.
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
grebeglade places long-running workloads on a cluster's nodes. Any number of allocators share the nodes; each
decides from its own view of them. To try it without any file: grebeglade demo
`

// rootCommand defines the program's command with all its sub-commands. Cobra prints no errors and no usage, since
// exitCode prints errors.
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
