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
	heapShare         = 0.5                    // of the process's memory; code and sockets need the rest
	drainPollInterval = 20 * time.Millisecond  // between checks of whether all requests are answered
	reloadInterval    = 100 * time.Millisecond // between attempts to read a configuration
	maxReloadAttempts = 10                     // a new configuration counts as applied 4 s after its signal
)

// errNoConfig means that the platform's environment lacks the path of the configuration.
var errNoConfig = errors.New("NODE_CONFIG is not set; give the path of the platform's configuration")

const platformHelp = `
Runs an allocator that speaks the shared platform's protocol. NODE_CONFIG names its configuration, NODE_LISTEN
the address that it listens on. On SIGHUP it reads the discovery service's address again. On SIGTERM it answers
pending requests and exits; placed workloads keep running.
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
	cmd.Flags().BoolVar(&verbose, "verbose", false, "log each message that is not accepted")
	return cmd
}

// runPlatform runs the frontend with the configuration that the environment names, until it has drained.
func runPlatform(cmd *cobra.Command, verbose bool) error {
	// Caught before anything else: a reload during the start must not end the process.
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

// limitProcess applies the platform's limits to Go's runtime, which does not learn them by itself.
func limitProcess(limits platform.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Floor(limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * float64(limits.MemoryMB) * (1 << 20)))
}

// platformServer runs the platform's frontend, reloads its configuration and drains it.
type platformServer struct {
	frontend *platform.Frontend
	loop     *transport.Loop
	file     string // of the configuration
	listen   string
	log      *slog.Logger

	reloadDue      <-chan time.Time // nil unless a reload is under way
	reloadAttempts int              // that failed, of this reload
}

// startPlatform listens on the configured address and starts the event loop. The caller closes the loop.
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

// serve runs until the frontend has drained after stop is closed, or the event loop fails.
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
			stop = nil // a closed channel would be selected again and again
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

// reload reads the configuration and applies it. A file that cannot be read may be half written, so it is read again
// after a while, maxReloadAttempts times at most; then the configuration stays as it was.
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

// drained reports whether all requests are answered.
func (s *platformServer) drained() bool {
	drained := false
	s.loop.Call(s.frontend, func(now placement.Millis) { drained = s.frontend.Drained(now) })
	return drained
}
