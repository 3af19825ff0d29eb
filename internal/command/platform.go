package command

import (
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/choice"
	"grebeglade/internal/link"
	"grebeglade/internal/platform"
	"grebeglade/internal/platform/wire"
)

const (
	heapShare = 0.5                   // of the process's memory, for Go's heap: its code and the sockets need the rest
	lookEvery = 20 * time.Millisecond // while it waits for the last answers
)

func platformCommand() *cobra.Command {
	var verbose bool
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run an allocator on the shared platform",
		Long: "Runs an allocator that speaks the shared platform's protocol. NODE_CONFIG names its configuration,\n" +
			"NODE_LISTEN the address that it listens on. SIGHUP has it read the journal service's address again,\n" +
			"SIGTERM answers what is pending and leaves; what it placed runs on.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			file := os.Getenv("NODE_CONFIG")
			if file == "" {
				return fmt.Errorf("NODE_CONFIG is not set; give the path of the platform's configuration")
			}
			conf, err := platform.ReadConfig(file, os.Getenv("NODE_LISTEN"))
			if err != nil {
				return err
			}
			level := slog.LevelInfo
			if verbose {
				level = slog.LevelDebug
			}
			log := slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: level}))
			runtime.GOMAXPROCS(max(1, int(math.Floor(conf.Limits.Cores))))
			debug.SetMemoryLimit(int64(heapShare * float64(conf.Limits.MemoryMB) * (1 << 20)))
			return servePlatform(c, conf, file, log)
		},
	}
	c.Flags().BoolVar(&verbose, "verbose", false, "log each thing that is not taken")
	return c
}

func servePlatform(c *cobra.Command, conf *platform.Config, file string, log *slog.Logger) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	p := platform.New(conf, log)
	loop := link.NewLoop(nil)
	if _, err := loop.Serve(p, func() link.Form { return wire.Lines{} }, conf.Listen, p.Limits()); err != nil {
		return failure{err}
	}
	loop.Run()
	log.Info("serving", "allocator", conf.Name, "listen", conf.Listen, "journal", conf.Journal)
	for stopping := false; !stopping; {
		select {
		case <-reload:
			again, err := platform.ReadConfig(file, conf.Listen)
			if err != nil {
				log.Error("the configuration stays as it was", "err", err)
				continue
			}
			loop.Ask(p, func(now choice.Millis) { p.Reload(now, again.Journal) })
		case <-c.Context().Done():
			stopping = true
		}
	}
	loop.Ask(p, p.Stop)
	for stopped := false; !stopped; {
		time.Sleep(lookEvery)
		loop.Ask(p, func(now choice.Millis) { stopped = p.Stopped(now) })
	}
	loop.Close()
	log.Info("stopped", "counts", fmt.Sprintf("%+v", p.Counts))
	return nil
}
