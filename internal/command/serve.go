package command

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/config"
	"grebeglade/internal/daemon"
)

func serveCommand() *cobra.Command {
	var file, traceDir string
	var grace time.Duration
	c := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run an allocator",
		Long: "Runs an allocator until it gets SIGTERM or SIGINT. It then turns new asks away, waits until what it\n" +
			"holds has its answer, and leaves; what it placed runs on. A second signal ends it at once.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			conf, err := config.Load(file)
			if err != nil {
				return err
			}
			if traceDir != "" {
				conf.Trace.Dir = traceDir
			}
			d, err := daemon.Start(conf, daemon.Logger(conf.Log, c.ErrOrStderr()))
			if err != nil {
				return failure{err}
			}
			<-c.Context().Done()
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, grace)
			defer cancel()
			if left := d.Stop(ctx); left > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "left without an answer: %d workloads\n", left)
				return errWrong
			}
			return nil
		},
	}
	c.Flags().StringVar(&file, "config", "", "the allocator's settings, in HCL")
	c.Flags().StringVar(&traceDir, "trace", "", "record calls and decisions into files of this directory")
	c.Flags().DurationVar(&grace, "grace", time.Minute, "how long it may take to answer what is held")
	if err := c.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	return c
}

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Look at settings"}
	var asJSON bool
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Say what is wrong with an allocator's settings",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			conf, err := config.Load(args[0])
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c, conf)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is good: allocator %s, number %d of %d, listens on %s, list at %s, "+
				"%d groups, %d kinds of nodes\n", args[0], conf.Name, conf.Settings.Ordinal, conf.Settings.Allocators,
				conf.ListenAddress, conf.DiscoveryAddress, len(conf.GroupNames), len(conf.KindNames))
			return nil
		},
	}
	jsonFlag(check, &asJSON)
	c.AddCommand(check)
	return c
}
