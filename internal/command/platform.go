package command

import (
	"errors"
	"fmt"
	"io"
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
	heapShare         = 0.5                    // heap share of the memory limit; the rest is for code and sockets
	drainPollInterval = 20 * time.Millisecond  // time between two calls of drained
	reloadInterval    = 100 * time.Millisecond // time between attempts to read a new configuration

	// maxReloadAttempts limits the attempts of a reload, which take 0.9 s in all. A new configuration counts as applied
	// 4 s after its signal.
	maxReloadAttempts = 10
)

// errNoConfig is returned if the environment does not contain the path of the configuration.
var errNoConfig = errors.New("NODE_CONFIG is not set; give the path of the platform's configuration")

const platformHelp = `
Runs an allocator with the shared platform's protocol. The environment variable NODE_CONFIG is the path of its
configuration, NODE_LISTEN the address that it listens on. On SIGHUP it reloads the address of the discovery
service. On SIGTERM it answers pending requests and exits; placed workloads keep running.
`

// platformCommand defines "platform".
func platformCommand() *cobra.Command {
	var verbose bool
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run an allocator on the shared platform",
		Long:  helpText(platformHelp),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runPlatform(cmd, verbose) },
	}
	cmd.Flags().BoolVar(&verbose, "verbose", false, "log each rejected message")
	return cmd
}

// runPlatform runs the platform's frontend until it has drained. Its configuration comes from the environment.
func runPlatform(cmd *cobra.Command, verbose bool) error {
	// Registered first, since a SIGHUP during startup must not terminate the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	file := os.Getenv("NODE_CONFIG")
	if file == "" {
		return errNoConfig
	}
	configuration, err := platform.ReadConfig(file, os.Getenv("NODE_LISTEN"))
	if err != nil {
		return err
	}
	limitProcess(configuration.Limits)
	server, err := startPlatform(configuration, file, platformLogger(cmd.ErrOrStderr(), verbose))
	if err != nil {
		return runError{err}
	}
	defer server.loop.Close()
	return server.serve(cmd.Context().Done(), hangups)
}

func platformLogger(w io.Writer, verbose bool) *slog.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// limitProcess applies the platform's limits to the Go runtime, which does not detect them.
func limitProcess(limits platform.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Floor(limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * float64(limits.MemoryMB) * (1 << 20)))
}

// platformServer runs the platform's frontend, reloads its configuration and drains it.
type platformServer struct {
	frontend *platform.Frontend
	loop     *transport.Loop
	file     string // path of the configuration
	listen   string // address that the frontend listens on
	log      *slog.Logger

	reloadDue      <-chan time.Time // fires when the next reload attempt is due; nil if no reload is in progress
	reloadAttempts int              // failed attempts of the current reload
}

// startPlatform listens on the configured address and starts the event loop, which the caller must close.
func startPlatform(configuration *platform.Config, file string, log *slog.Logger) (*platformServer, error) {
	server := &platformServer{
		frontend: platform.New(configuration, log),
		loop:     transport.NewLoop(nil),
		file:     file,
		listen:   configuration.Listen,
		log:      log,
	}
	newCodec := func() transport.Codec { return codec.ClientCodec{} }
	limits := server.frontend.Limits()
	if _, err := server.loop.Listen(server.frontend, newCodec, configuration.Listen, limits); err != nil {
		return nil, err
	}
	server.loop.Run()
	log.Info("serving",
		"allocator", configuration.Name,
		"listen", configuration.Listen,
		"discovery", configuration.DiscoveryAddress)
	return server, nil
}

// serve reloads the configuration on hangups. It starts to drain when stop is closed, and returns when the frontend has
// drained or the event loop has failed.
func (s *platformServer) serve(stop <-chan struct{}, hangups <-chan os.Signal) error {
	var drainPoll <-chan time.Time // nil until stop is closed
	for {
		select {
		case <-hangups:
			s.reloadAttempts = 0
			s.reloadDue = time.After(0)
		case <-s.reloadDue:
			s.reload()
		case <-stop:
			stop = nil // a closed channel is always ready to receive
			s.loop.Call(s.frontend, s.frontend.Drain)
			ticker := time.NewTicker(drainPollInterval)
			defer ticker.Stop()
			drainPoll = ticker.C
		case <-drainPoll:
			if s.drained() {
				s.log.Info("stopped", "counters", fmt.Sprintf("%+v", s.frontend.Counters))
				return nil
			}
		case err := <-s.loop.Failed():
			return runError{err}
		}
	}
}

// reload reads the configuration and applies it. A file that cannot be read or is invalid may be incompletely written,
// so it is read again after reloadInterval, up to maxReloadAttempts times in all. If all attempts fail, the current
// configuration stays in use.
func (s *platformServer) reload() {
	s.reloadDue = nil
	configuration, err := platform.ReadConfig(s.file, s.listen)
	if err == nil {
		s.loop.Call(s.frontend, func(now placement.Millis) {
			s.frontend.Reload(now, configuration.DiscoveryAddress)
		})
		return
	}
	s.reloadAttempts++
	if s.reloadAttempts < maxReloadAttempts {
		s.reloadDue = time.After(reloadInterval)
		return
	}
	s.log.Error("configuration not reloaded", "error", err)
}

// drained reports whether the process may exit, as platform.Frontend.Drained defines it.
func (s *platformServer) drained() bool {
	drained := false
	s.loop.Call(s.frontend, func(now placement.Millis) { drained = s.frontend.Drained(now) })
	return drained
}
