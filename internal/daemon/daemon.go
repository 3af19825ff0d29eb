// Package daemon assembles a running allocator from its configuration: frontend, event loop, durable binds and trace. It
// starts them in order, drains and closes them.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"os"
	"time"

	"grebeglade/config"
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

const drainPollInterval = 20 * time.Millisecond // between looks at whether all requests are answered

// Daemon is a running allocator.
type Daemon struct {
	Addr string // address that it listens on

	loop     *transport.Loop
	frontend *native.Frontend
	log      *slog.Logger
	recorder *trace.Recorder // nil without a trace
	binds    *BindStore      // nil without durable state
}

// Start assembles an allocator and begins to serve. If any part cannot start, those before it are stopped.
func Start(c *config.Allocator, log *slog.Logger) (*Daemon, error) {
	seed, err := randomSeed()
	if err != nil {
		return nil, err
	}
	log = log.With("allocator", c.Name)
	d := &Daemon{loop: transport.NewLoop(log), log: log}
	if err := d.start(c, d.frontendConfig(c, seed)); err != nil {
		d.close()
		return nil, err
	}
	log.Info("serving", "listen", d.Addr, "discovery", c.DiscoveryAddress, "pid", os.Getpid())
	return d, nil
}

func randomSeed() (uint64, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, fmt.Errorf("draw a seed: %w", err)
	}
	return binary.LittleEndian.Uint64(seed[:]), nil
}

func (d *Daemon) frontendConfig(c *config.Allocator, seed uint64) *native.Config {
	now := time.Now()
	return &native.Config{
		Name: c.Name, Incarnation: uint64(now.UnixNano()), Seed: seed, Settings: c.Settings, GroupNames: c.GroupNames,
		KindNames: c.KindNames, Zone: c.Zone, DiscoveryAddress: c.DiscoveryAddress, MaxWorkloads: c.Limits.MaxWorkloads, Log: d.log,
		WallClockOffset: unixMillis(now) - float64(d.loop.Now()),
	}
}

// start opens the durable state first, since it decides the incarnation, and listens last.
func (d *Daemon) start(c *config.Allocator, fc *native.Config) (err error) {
	if c.State.Dir != "" {
		if d.binds, err = OpenBindStore(c.State, fc, d.loop, d.log); err != nil {
			return err
		}
	}
	if c.Trace.Dir != "" {
		if d.recorder, err = newRecorder(c.Trace, fc, d.log); err != nil {
			return err
		}
		fc.Trace = d.recorder
	}
	d.frontend = native.New(*fc)
	if d.binds != nil {
		d.binds.Attach(d.frontend)
	}
	limits := transport.Limits{
		MaxFrameSize: int(c.Limits.MaxFrameBytes), MaxWriteBuffer: int(c.Limits.MaxWriteBuffer), MaxConnections: c.Limits.MaxConnections,
	}
	if d.Addr, err = d.loop.ListenFrames(d.frontend, c.ListenAddress, limits); err != nil {
		return err
	}
	d.loop.Run()
	return nil
}

func newRecorder(c config.Trace, fc *native.Config, log *slog.Logger) (*trace.Recorder, error) {
	source := &tracepb.Source{Allocator: fc.Name, Incarnation: fc.Incarnation, WallMs: fc.WallClockOffset}
	return trace.NewRecorder(c.Dir, source, trace.Limits{
		FileBytes: c.MaxFileBytes, FileAge: duration(c.MaxFileAge), TotalBytes: c.MaxTotalBytes,
	}, log)
}

// Drain rejects new requests and waits until pending ones are answered or ctx ends. It returns the number of workloads
// without an answer. Placed workloads keep running. Close must follow.
func (d *Daemon) Drain(ctx context.Context) (unanswered int) {
	d.loop.Call(d.frontend, func(placement.Millis) { d.frontend.Drain() })
	unanswered = d.awaitAnswers(ctx)
	d.log.Info("drained", "unanswered", unanswered)
	return unanswered
}

// Close stops the allocator at once. Requests that are still pending get no answer; placed workloads keep running.
func (d *Daemon) Close() {
	d.close()
	c := d.frontend.Counters
	d.log.Info("stopped", "requests", c.Requests, "placed", c.Placed, "rejected", c.Rejected,
		"not_admitted", c.NotAdmitted, "unschedulable", c.Unschedulable, "withdrawn", c.Withdrawn)
}

// awaitAnswers returns the number of pending workloads once it is 0 or ctx has ended.
func (d *Daemon) awaitAnswers(ctx context.Context) int {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	pending := d.pending()
	d.log.Info("draining", "pending", pending)
	for pending > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			pending = d.pending()
		}
	}
	return pending
}

// pending returns the number of workloads without a final answer.
func (d *Daemon) pending() (n int) {
	d.loop.Call(d.frontend, func(placement.Millis) { n = d.frontend.Pending() })
	return n
}

// close stops the event loop, then closes what it writes to.
func (d *Daemon) close() {
	d.loop.Close()
	if d.recorder != nil {
		if d.frontend != nil {
			d.frontend.FlushTrace()
		}
		d.recorder.Close()
	}
	if d.binds != nil {
		if err := d.binds.Close(); err != nil {
			d.log.Error("state directory not closed", "error", err)
		}
	}
}
