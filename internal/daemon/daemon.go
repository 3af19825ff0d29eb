// Package daemon puts a running allocator together from its configuration, and takes it apart again.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
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

const lookEvery = 20 * time.Millisecond // while it waits for the last answers

// Daemon is an allocator that listens.
type Daemon struct {
	Addr string // where it listens
	loop *transport.Loop
	port *native.Frontend
	log  *slog.Logger

	recorder *trace.Recorder // nil without a trace
	journal  *BindStore      // nil without state
}

// Logger makes the logger that the configuration asks for.
func Logger(c config.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Level)); err != nil {
		level = slog.LevelInfo
	}
	o := &slog.HandlerOptions{Level: level}
	if c.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}

// Start listens and begins to serve.
func Start(c *config.Allocator, log *slog.Logger) (*Daemon, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, fmt.Errorf("draw a seed: %w", err)
	}
	log = log.With("allocator", c.Name)
	d := &Daemon{loop: transport.NewLoop(log), log: log}
	pc := native.Config{
		Name: c.Name, Incarnation: uint64(time.Now().UnixNano()), Seed: binary.LittleEndian.Uint64(seed[:]),
		Settings: c.Settings, Groups: c.GroupNames, Kinds: c.KindNames, Zone: c.Zone, DiscoveryAddress: c.DiscoveryAddress,
		MaxWorkloads: c.Limits.MaxWorkloads, Log: log, WallClockOffset: float64(time.Now().UnixNano())/1e6 - float64(d.loop.Now()),
	}
	if c.State.Dir != "" {
		j, err := OpenBindStore(c.State, &pc, d.loop, log)
		if err != nil {
			d.loop.Close()
			return nil, err
		}
		d.journal = j
	}
	if c.Trace.Dir != "" {
		source := &tracepb.Source{Allocator: pc.Name, Incarnation: pc.Incarnation, WallMs: pc.WallClockOffset}
		r, err := trace.NewRecorder(c.Trace.Dir, source, trace.Limits{
			FileBytes: c.Trace.File, FileAge: time.Duration(float64(c.Trace.Age) * 1e6), TotalBytes: c.Trace.Total,
		}, log)
		if err != nil {
			d.loop.Close()
			d.closeJournal()
			return nil, err
		}
		d.recorder, pc.Trace = r, r
	}
	d.port = native.New(pc)
	if d.journal != nil {
		d.journal.Attach(d.port)
	}
	limits := transport.Limits{
		MaxFrameSize: int(c.Limits.MaxFrameBytes), MaxWriteBuffer: int(c.Limits.MaxWriteBuffer), MaxConnections: c.Limits.MaxConnections,
	}
	addr, err := d.loop.ListenFrames(d.port, c.ListenAddress, limits)
	if err != nil {
		d.loop.Close()
		d.endTrace()
		d.closeJournal()
		return nil, err
	}
	d.Addr = addr
	d.loop.Run()
	log.Info("serving", "listen", addr, "list", c.DiscoveryAddress, "pid", os.Getpid())
	return d, nil
}

// Stop turns every further ask away, waits until what is held has its answer or ctx ends, and leaves. What is
// placed runs on. It returns the number of workloads that were left without an answer.
func (d *Daemon) Stop(ctx context.Context) int {
	d.loop.Call(d.port, func(placement.Millis) { d.port.Drain() })
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	left := d.pending()
	d.log.Info("stopping: no new asks", "pending", left)
	for left > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			left = d.pending()
		}
	}
	d.loop.Close()
	d.endTrace()
	d.closeJournal()
	c := d.port.Counters
	d.log.Info("stopped", "unanswered", left, "asks", c.Requests, "placed", c.Placed, "rejected", c.Rejected,
		"turned", c.NotAdmitted, "unschedulable", c.Unschedulable, "withdrawn", c.Withdrawn)
	return left
}

// endTrace writes what is left of the trace, once the port has come to rest.
func (d *Daemon) endTrace() {
	if d.recorder != nil {
		d.port.FlushTrace()
		d.recorder.Close()
	}
}

// closeJournal has what was written last, and lets go of the directory.
func (d *Daemon) closeJournal() {
	if d.journal != nil {
		if err := d.journal.Close(); err != nil {
			d.log.Error("closing the state directory", "err", err)
		}
	}
}

func (d *Daemon) pending() (n int) {
	d.loop.Call(d.port, func(placement.Millis) { n = d.port.Pending() })
	return n
}
