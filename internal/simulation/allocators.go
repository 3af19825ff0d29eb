package simulation

import (
	"fmt"
	"slices"

	"grebeglade/internal/frontend/native"
	"grebeglade/internal/simulation/network"
	"grebeglade/internal/storage"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
	"grebeglade/trace"
)

// extraBinds is the number of binds per request that the mutant ExceedsMaxBinds allows beyond the limit.
const extraBinds = 4

// allocator holds the state of one allocator that is shared by all of its incarnations.
type allocator struct {
	run              *Run
	index            int
	name             string
	discoveryAddress string
	process          *network.Interceptor
	log              *simulatedLog
	recorder         *trace.Recorder // trace recorder of the current incarnation, or nil
	frames           int             // frames counted for message faults, over all incarnations
}

// newAllocator returns the process of a new allocator. Its durable state, if enabled, survives restarts.
func (r *Run) newAllocator(i int, discoveryAddress string) *network.Interceptor {
	r.frontends = append(r.frontends, nil)
	a := &allocator{
		run:              r,
		index:            i,
		name:             fmt.Sprintf("allocator-%d", i+1),
		discoveryAddress: discoveryAddress,
	}
	a.log = &simulatedLog{
		disk:        storage.NewMemoryDisk(mixHash(r.opts.Seed, uint64(i))),
		syncTime:    r.script.Storage.SyncTime,
		syncEnabled: r.opts.Mutant != NeverSyncs,
		now:         func() placement.Millis { return a.process.HostNow() },
		schedule:    func(at placement.Millis, do func(now placement.Millis)) { r.host.RunAt(a.process, at, do) },
	}
	a.process = network.NewInterceptor(a.name, pb.Role_ALLOCATOR, i, r.observer, a.newHandler)
	a.process.OnKill = func(transport.FrameHandler) { a.log.crash() }
	return a.process
}

// newHandler returns the handler of a new incarnation.
func (a *allocator) newHandler(incarnation uint64) transport.FrameHandler {
	config := a.config(incarnation)
	if a.run.opts.TraceDirectory != "" {
		a.run.flushTrace(a.index)
		a.recorder = a.run.startTrace(a.recorder, config)
		if a.recorder != nil {
			config.Trace = a.recorder
		}
	}
	if a.run.script.Storage.SyncTime > 0 {
		if err := a.log.open(&config); err != nil {
			panic(err) // an in-memory disk fails only if a test injects a failure
		}
		if a.run.opts.Mutant == IgnoresStorage {
			config.RecoveredBinds = nil
		}
	}
	frontend := native.New(config)
	a.run.frontends[a.index] = append(a.run.frontends[a.index], frontend)
	if a.run.opts.MessageFault != nil && a.index == 0 {
		return a.injectMessageFault(frontend)
	}
	return a.run.opts.Mutant.wrap(frontend)
}

// config returns the configuration of one incarnation.
func (a *allocator) config(incarnation uint64) native.Config {
	script := a.run.script
	seed := mixHash(a.run.opts.Seed, uint64(a.index)<<20|incarnation)
	return native.Config{
		Name:             a.name,
		Incarnation:      incarnation,
		Seed:             seed,
		Settings:         a.settings(),
		GroupNames:       script.Groups,
		KindNames:        script.NodeKinds,
		Zone:             a.run.zone(a.index),
		DiscoveryAddress: a.discoveryAddress,
		MaxWorkloads:     script.Limits.MaxWorkloads,
		Log:              a.run.opts.Log.With("allocator", a.name),
		WallClockOffset:  a.run.wallClockOffset,
	}
}

// settings returns the script's settings for this allocator, with the changes of the mutant.
func (a *allocator) settings() placement.Settings {
	settings := a.run.script.Settings
	settings.Allocators = a.run.script.Allocators
	settings.Ordinal = a.index
	if a.run.opts.Mutant == ExceedsMaxBinds {
		settings.MaxBinds += extraBinds
	}
	if a.run.opts.Mutant == IgnoresSpread {
		settings.Groups = slices.Clone(settings.Groups)
		for i := range settings.Groups {
			settings.Groups[i].SpreadScope = placement.ScopeNone
		}
	}
	return settings
}

// injectMessageFault wraps a handler to inject the run's message fault. Frames are counted over all incarnations.
func (a *allocator) injectMessageFault(handler transport.FrameHandler) transport.FrameHandler {
	fault := a.run.opts.MessageFault
	host := a.run.host
	return &network.Injector{
		FrameHandler: handler,
		Fault:        fault,
		Frames:       &a.frames,
		Schedule: func(at placement.Millis, do func(now placement.Millis)) {
			host.RunAt(a.process, at, func(now placement.Millis) {
				if a.process.Alive() {
					do(now)
				}
			})
		},
		Crash: func(now placement.Millis) {
			a.process.Kill(now)
			if fault.Restarts {
				host.RunAt(a.process, now+network.CrashDuration, a.process.Restart)
			}
		},
	}
}
