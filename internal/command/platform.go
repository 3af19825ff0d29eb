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

	"grebeglade/internal/frontend/platform"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	heapShare = 0.5                    // of the process's memory, for Go's heap: its code and the sockets need the rest
	lookEvery = 20 * time.Millisecond  // while it waits for the last answers
	readEvery = 100 * time.Millisecond // between looks at a configuration that cannot be read
	readMost  = 10                     // looks; what a new configuration brings counts as told 4 s after its signal
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
			// A reload that comes before all is up must not end the process.
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
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
			return servePlatform(c, conf, file, reload, log)
		},
	}
	c.Flags().BoolVar(&verbose, "verbose", false, "log each thing that is not taken")
	return c
}

func servePlatform(c *cobra.Command, conf *platform.Config, file string, reload <-chan os.Signal, log *slog.Logger) error {
	p := platform.New(conf, log)
	loop := transport.NewLoop(nil)
	if _, err := loop.Listen(p, func() transport.Codec { return codec.ClientCodec{} }, conf.Listen, p.Limits()); err != nil {
		return failure{err}
	}
	loop.Run()
	defer loop.Close()
	log.Info("serving", "allocator", conf.Name, "listen", conf.Listen, "journal", conf.DiscoveryAddress)
	stop := c.Context().Done()
	var look, again <-chan time.Time // while it waits for the last answers; when the configuration is to be read once more
	tries := 0
	for {
		select {
		case <-reload:
			tries, again = 0, time.After(0)
		case <-again:
			// The file may be in the middle of being written, so it is read a few times.
			if conf, err := platform.ReadConfig(file, conf.Listen); err == nil {
				again = nil
				loop.Call(p, func(now placement.Millis) { p.Reload(now, conf.DiscoveryAddress) })
			} else if tries++; tries < readMost {
				again = time.After(readEvery)
			} else {
				again = nil
				log.Error("the configuration stays as it was", "err", err)
			}
		case <-stop:
			stop = nil
			loop.Call(p, p.Drain)
			ticker := time.NewTicker(lookEvery)
			defer ticker.Stop()
			look = ticker.C
		case <-look:
			stopped := false
			loop.Call(p, func(now placement.Millis) { stopped = p.Drained(now) })
			if stopped {
				log.Info("stopped", "counts", fmt.Sprintf("%+v", p.Counters))
				return nil
			}
		case err := <-loop.Failed():
			return failure{err}
		}
	}
}
