// Package daemon runs an allocator: it creates the frontend, event loop, durable bind store and trace recorder from the
// configuration, starts them in order, drains the allocator and stops them.
package daemon

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"os"
	"time"

	"grebeglade/config"
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/transport"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Daemon is a running allocator.
type Daemon struct {
	Addr string // listen address, with the actual port

	loop     *transport.Loop
	frontend *native.Frontend
	log      *slog.Logger
	recorder *trace.Recorder // nil if no trace is configured
	binds    *BindStore      // nil if no state directory is configured
}

// Start creates an allocator and starts to serve. On error it stops the parts that were already started.
func Start(configuration *config.Allocator, log *slog.Logger) (*Daemon, error) {
	seed, err := randomSeed()
	if err != nil {
		return nil, err
	}
	log = log.With("allocator", configuration.Name)
	d := &Daemon{loop: transport.NewLoop(log), log: log}
	if err := d.start(configuration, d.frontendConfig(configuration, seed)); err != nil {
		d.close()
		return nil, err
	}
	log.Info("serving", "listen", d.Addr, "discovery", configuration.DiscoveryAddress, "pid", os.Getpid())
	return d, nil
}

// randomSeed returns a random seed for the frontend's random number generator.
func randomSeed() (uint64, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, fmt.Errorf("generate random seed: %w", err)
	}
	return binary.LittleEndian.Uint64(seed[:]), nil
}

// frontendConfig returns the frontend's configuration. Fields for durable state and trace are set by start.
func (d *Daemon) frontendConfig(configuration *config.Allocator, seed uint64) *native.Config {
	now := time.Now()
	return &native.Config{
		Name:             configuration.Name,
		Incarnation:      uint64(now.UnixNano()),
		Seed:             seed,
		Settings:         configuration.Settings,
		GroupNames:       configuration.GroupNames,
		KindNames:        configuration.KindNames,
		Zone:             configuration.Zone,
		DiscoveryAddress: configuration.DiscoveryAddress,
		MaxWorkloads:     configuration.Limits.MaxWorkloads,
		Log:              d.log,
		WallClockOffset:  unixMillis(now) - float64(d.loop.Now()),
	}
}

// start opens the durable state first, since it determines the incarnation number, and listens last. openBinds and
// openRecorder complete the frontend's configuration.
func (d *Daemon) start(configuration *config.Allocator, frontend *native.Config) error {
	if err := d.openBinds(configuration.State, frontend); err != nil {
		return err
	}
	if err := d.openRecorder(configuration.Trace, frontend); err != nil {
		return err
	}
	d.frontend = native.New(*frontend)
	if d.binds != nil {
		d.binds.Attach(d.frontend)
	}
	return d.serve(configuration.ListenAddress, configuration.Limits)
}

// openBinds opens the state directory, if one is configured.
func (d *Daemon) openBinds(state config.State, frontend *native.Config) error {
	if state.Dir == "" {
		return nil
	}
	binds, err := OpenBindStore(state, frontend, d.loop, d.log)
	if err != nil {
		return err
	}
	d.binds = binds
	return nil
}

// openRecorder starts the frontend's trace recorder, if a trace directory is configured.
func (d *Daemon) openRecorder(configuration config.Trace, frontend *native.Config) error {
	if configuration.Dir == "" {
		return nil
	}
	recorder, err := newRecorder(configuration, frontend, d.log)
	if err != nil {
		return err
	}
	d.recorder = recorder
	frontend.Trace = recorder
	return nil
}

// serve listens on an address and starts the event loop.
func (d *Daemon) serve(address string, limits config.Limits) error {
	bound, err := d.loop.ListenFrames(d.frontend, address, transport.Limits{
		MaxFrameSize:   int(limits.MaxFrameBytes),
		MaxWriteBuffer: int(limits.MaxWriteBuffer),
		MaxConnections: limits.MaxConnections,
	})
	if err != nil {
		return err
	}
	d.Addr = bound
	d.loop.Run()
	return nil
}

// newRecorder returns a recorder that writes the frontend's trace.
func newRecorder(
	configuration config.Trace, frontend *native.Config, log *slog.Logger,
) (*trace.Recorder, error) {
	source := &tracepb.Source{
		Allocator:   frontend.Name,
		Incarnation: frontend.Incarnation,
		WallMs:      frontend.WallClockOffset,
	}
	limits := trace.Limits{
		FileBytes:  configuration.MaxFileBytes,
		FileAge:    duration(configuration.MaxFileAge),
		TotalBytes: configuration.MaxTotalBytes,
	}
	recorder, err := trace.NewRecorder(configuration.Dir, source, limits, log)
	if err != nil {
		return nil, fmt.Errorf("record a trace: %w", err)
	}
	return recorder, nil
}
