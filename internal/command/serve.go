package command

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/config"
	"grebeglade/internal/daemon"
)

type serveOptions struct {
	file     string        // path of the configuration
	traceDir string        // directory for traces, "" for the configuration's
	grace    time.Duration // maximum time to drain
}

const serveHelp = `
Runs an allocator until it receives SIGTERM or SIGINT. It then rejects new requests, waits until pending ones
are answered, and exits; placed workloads keep running. A second signal ends it immediately.
`

// serveCommand defines "serve".
func serveCommand() *cobra.Command {
	var options serveOptions
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run an allocator",
		Long:  helpText(serveHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&options.file, "config", "", "the allocator's configuration, in HCL")
	flags.StringVar(&options.traceDir, "trace", "", "directory for traces of calls and decisions")
	flags.DurationVar(&options.grace, "grace", time.Minute, "maximum time to wait until pending requests are answered")
	requireFlag(cmd, "config")
	return cmd
}

// run serves until the command's context is done, and then drains. The error is errProblemFound if workloads are left
// without an answer.
func (o *serveOptions) run(cmd *cobra.Command) error {
	configuration, err := config.Load(o.file)
	if err != nil {
		return err
	}
	if o.traceDir != "" {
		configuration.Trace.Dir = o.traceDir
	}
	allocator, err := daemon.Start(configuration, daemon.NewLogger(configuration.Log, cmd.ErrOrStderr()))
	if err != nil {
		return runError{err}
	}
	defer allocator.Close()
	<-cmd.Context().Done()
	unanswered := o.drain(allocator)
	if unanswered > 0 {
		cmd.PrintErrf("left without an answer: %d workloads\n", unanswered)
	}
	return problemIf(unanswered > 0)
}

// drain drains the allocator until all requests are answered, the grace period is over or another signal arrives. It
// returns the number of unanswered workloads.
func (o *serveOptions) drain(allocator *daemon.Daemon) (unanswered int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.grace)
	defer cancel()
	return allocator.Drain(ctx)
}
