// Package daemon assembles a running allocator from its configuration: frontend, event loop, durable binds and trace.
// It starts these parts in order, drains the allocator and closes them.
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
	Addr string // address on which it listens

	loop     *transport.Loop
	frontend *native.Frontend
	log      *slog.Logger
	recorder *trace.Recorder // nil without a trace
	binds    *BindStore      // nil without durable state
}

// Start assembles an allocator and begins to serve. If any part cannot start, those before it are stopped.
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

// randomSeed draws the seed of the frontend's random choices.
func randomSeed() (uint64, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, fmt.Errorf("draw a seed: %w", err)
	}
	return binary.LittleEndian.Uint64(seed[:]), nil
}

// frontendConfig returns the frontend's configuration without durable state and trace.
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

// start opens the durable state first, since it decides the incarnation, and listens last. It completes the frontend's
// configuration.
func (d *Daemon) start(configuration *config.Allocator, frontend *native.Config) (err error) {
	if configuration.State.Dir != "" {
		d.binds, err = OpenBindStore(configuration.State, frontend, d.loop, d.log)
		if err != nil {
			return err
		}
	}
	if configuration.Trace.Dir != "" {
		d.recorder, err = newRecorder(configuration.Trace, frontend, d.log)
		if err != nil {
			return err
		}
		frontend.Trace = d.recorder
	}
	d.frontend = native.New(*frontend)
	if d.binds != nil {
		d.binds.Attach(d.frontend)
	}
	limits := transport.Limits{
		MaxFrameSize:   int(configuration.Limits.MaxFrameBytes),
		MaxWriteBuffer: int(configuration.Limits.MaxWriteBuffer),
		MaxConnections: configuration.Limits.MaxConnections,
	}
	d.Addr, err = d.loop.ListenFrames(d.frontend, configuration.ListenAddress, limits)
	if err != nil {
		return err
	}
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
