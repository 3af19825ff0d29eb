// Package command is grebeglade's command line.
//
// Exit codes: 0 done and well, 1 done and something is wrong, 2 bad input. With --json, standard output holds
// one JSON document and nothing else; logs and progress go to standard error.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// errWrong ends a command that is done and found something wrong; it has said what.
var errWrong = errors.New("something is wrong")

// failure ends a command that could not do its work although its input was good.
type failure struct{ error }

func (f failure) Unwrap() error { return f.error }

// Run runs a command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:   "grebeglade",
		Short: "Places long-running work on a cluster's machines",
		Long: "grebeglade places long-running work on a cluster's machines. Any number of allocators work side by " +
			"side;\neach goes by what it sees itself. Try it without any file: grebeglade demo",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(serveCommand(), platformCommand(), demoCommand(), submitCommand(), workloadsCommand(), gangsCommand(), nodesCommand(),
		configCommand(), labCommand(), stateCommand(), traceCommand(), benchCommand())
	err := root.ExecuteContext(ctx)
	var failed failure
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errWrong):
		return 1
	case errors.As(err, &failed):
		fmt.Fprintln(stderr, "grebeglade:", err)
		return 1
	}
	fmt.Fprintln(stderr, "grebeglade:", err)
	if strings.HasPrefix(err.Error(), "unknown") || strings.Contains(err.Error(), "flag") {
		fmt.Fprintln(stderr, "See 'grebeglade --help'.")
	}
	return 2
}

// printJSON writes one document.
func printJSON(c *cobra.Command, v any) error {
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return failure{err}
	}
	return nil
}

// printTable writes aligned columns, the first row as their heads.
func printTable(c *cobra.Command, rows [][]string) error { return writeTable(c.OutOrStdout(), rows) }

func writeTable(to io.Writer, rows [][]string) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return failure{err}
	}
	return nil
}

func jsonFlag(c *cobra.Command, on *bool) {
	c.Flags().BoolVar(on, "json", false, "print one JSON document")
}

// environment reads a default from the environment, so that a shell can be told once where an allocator is.
func environment(name, otherwise string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return otherwise
}
