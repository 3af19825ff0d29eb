package native

import (
	"cmp"
	"log/slog"

	"grebeglade/internal/allocator"
	"grebeglade/internal/eventlog"
	"grebeglade/internal/frontend"
	"grebeglade/internal/replay"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
	"grebeglade/trace/tracepb"
)

const (
	// defaultEventLogSize is the capacity of the event log, in events, if the configuration has none.
	defaultEventLogSize = 1 << 14
	// maxWakeInterval is the longest time between two wake-ups, in ms: a process that is not woken cannot detect
	// that it was stopped.
	maxWakeInterval = placement.Millis(20)
)

// environment has what all parts of a Frontend use: the engine's host, the network, and the logs and counters. The
// platform frontend has a similar type. Package frontend has no shared type, because the counters differ and because
// its exported fields would become fields of Frontend, which embeds the environment.
type environment struct {
	config   Config
	log      *slog.Logger
	host     *frontend.Host
	network  transport.FrameNetwork // nil before Start
	eventLog *eventlog.Log
	recorder traceRecorder
	counters *Counters
	// endCause applies to workload ends that the engine reports without a reason; see reportEnds.
	endCause endCause
}

func newEnvironment(c Config, counters *Counters) *environment {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return &environment{
		config:   c,
		log:      c.Log,
		eventLog: eventlog.New(cmp.Or(c.EventLogSize, defaultEventLogSize)),
		counters: counters,
	}
}

// newHost returns the engine's host. If a trace is configured, the placement module records its calls.
func (e *environment) newHost(actions allocator.Actions) *frontend.Host {
	settings := WithSpreadVariants(e.config.Settings)
	options := allocator.Options{EnforceTimeouts: true, Log: e.eventLog}
	if e.config.Trace != nil {
		recorder := newRecorder(&e.config, settings)
		e.recorder.recorder = recorder
		options.Module = recorder
	}
	return frontend.NewHost(frontend.Config{
		Settings:        settings,
		Seed:            e.config.Seed,
		Engine:          options,
		Actions:         actions,
		MaxWakeInterval: maxWakeInterval,
		Counters:        &e.counters.Counters,
	})
}

// newRecorder returns a placement module that records its calls in the trace.
func newRecorder(config *Config, settings placement.Settings) *replay.Recorder {
	return replay.NewRecorder(replay.RecorderConfig{
		Source: &tracepb.Source{
			Allocator:   config.Name,
			Incarnation: config.Incarnation,
			WallMs:      config.WallClockOffset,
		},
		Settings:   settings,
		Seed:       config.Seed,
		GroupNames: groupNamesWithVariants(config.GroupNames),
		KindNames:  config.KindNames,
		ZoneNames:  []string{config.Zone},
	}, config.Trace)
}

// hello is the frontend's first frame on every connection.
func (e *environment) hello(running ...*pb.RunningWorkload) *pb.Frame {
	return transport.HelloFrame(&pb.Hello{
		Role:             pb.Role_ALLOCATOR,
		Name:             e.config.Name,
		Incarnation:      e.config.Incarnation,
		RunningWorkloads: running,
	})
}
