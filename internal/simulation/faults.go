package simulation

import (
	"math"
	"math/rand/v2"
	"slices"

	"grebeglade/internal/oracle"
	"grebeglade/internal/simulation/emulator"
	"grebeglade/internal/simulation/network"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// planFault schedules a fault, on targets chosen at random.
func (d *Run) planFault(f scenario.Fault) {
	at, until := d.requestsStart+f.At, d.requestsStart+f.At+f.Duration
	switch f.Kind {
	case scenario.NodeCrash:
		for _, g := range d.sample(d.nodes, f.Share) {
			d.host.RunAt(g, at, g.Kill)
			d.host.RunAt(g, until, g.Restart)
		}
	case scenario.AllocatorCrash:
		for _, g := range d.sample(d.allocators, f.Share) {
			d.host.RunAt(g, at, g.Kill)
			d.host.RunAt(g, until, g.Restart)
		}
	case scenario.NodePause:
		d.pauseRepeatedly(d.sample(d.nodes, f.Share), f, at, until)
	case scenario.AllocatorPause:
		d.pauseRepeatedly(d.sample(d.allocators, f.Share), f, at, until)
	case scenario.NodeSlow:
		d.duringFault(f, at, until, func(n *emulator.Node) { n.Slowdown = f.Size }, func(n *emulator.Node) { n.Slowdown = 1 })
	case scenario.GroupThrottled:
		d.duringFault(f, at, until, func(n *emulator.Node) { n.ThrottledGroup = f.Group }, func(n *emulator.Node) { n.ThrottledGroup = "" })
	case scenario.HotService:
		swell := emulator.UsageSurge{Share: f.Share, Factor: f.Size}
		f.Share = 1
		d.duringFault(f, at, until, func(n *emulator.Node) { n.Surge = swell }, func(n *emulator.Node) { n.Surge = emulator.UsageSurge{} })
	case scenario.UsageOverrun:
		swell := emulator.UsageSurge{
			Group:  f.Group,
			Share:  f.Share,
			Factor: f.Size,
		}
		f.Share = 1
		d.duringFault(f, at, until, func(n *emulator.Node) { n.Surge = swell }, func(n *emulator.Node) { n.Surge = emulator.UsageSurge{} })
	case scenario.NoisyNeighbour:
		for _, g := range d.sample(d.nodes, f.Share) {
			shift := f.Interval * placement.Millis(d.rng.Float64())
			for t := at + shift; t < until; t += 2 * f.Interval {
				d.onNode(g, t, func(_ placement.Millis, n *emulator.Node) { n.NeighbourShare = f.Size })
				d.onNode(g, min(until, t+f.Interval), func(_ placement.Millis, n *emulator.Node) { n.NeighbourShare = 0 })
			}
		}
	default:
		d.planNodeState(f, at, until)
	}
}

// planNodeState plans faults that change what a node does while it runs, and cuts of zones.
func (d *Run) planNodeState(f scenario.Fault, at, until placement.Millis) {
	switch f.Kind {
	case scenario.LoadUnderreported:
		d.duringFault(f, at, until, func(n *emulator.Node) { n.UnderreportedShare = f.Size }, func(n *emulator.Node) { n.UnderreportedShare = 0 })
	case scenario.StartsNeverHappen:
		for _, g := range d.sample(d.nodes, f.Share) {
			d.onNode(g, at, func(_ placement.Millis, n *emulator.Node) { n.StartsBlocked = true })
			d.onNode(g, until, func(now placement.Millis, n *emulator.Node) { n.UnblockStarts(now) })
		}
	case scenario.CacheLoss:
		for _, g := range d.sample(d.nodes, f.Share) {
			d.onNode(g, at, func(_ placement.Millis, n *emulator.Node) { n.DropCachedPrograms(f.Size) })
		}
	case scenario.RollingDeploy:
		d.rollNodes(f, at, f.DrainTime, true)
	case scenario.NodePreemption:
		d.rollNodes(f, at, f.Duration, false)
	case scenario.ZoneCut:
		for i, g := range d.nodes {
			if d.specs[i].Zone == f.Zone {
				d.host.RunAt(g, at, g.Cut)
				d.host.RunAt(g, at+network.CutTimeout, g.BreakConnections)
				d.host.RunAt(g, until, g.Heal)
			}
		}
	default:
		d.planClientsAndDiscovery(f, at, until)
	}
}

// planClientsAndDiscovery schedules faults of clients and of the discovery service.
func (d *Run) planClientsAndDiscovery(f scenario.Fault, at, until placement.Millis) {
	owners := func(at placement.Millis, do func(now placement.Millis, o *emulator.Client)) {
		for _, g := range d.clients {
			d.host.RunAt(g, at, func(now placement.Millis) {
				if o, ok := g.Handler().(*emulator.Client); ok {
					do(g.LocalTime(now), o)
				}
			})
		}
	}
	switch f.Kind {
	case scenario.RequestBurst:
		owners(at, func(_ placement.Millis, o *emulator.Client) { o.RateFactor = f.Size })
		owners(until, func(_ placement.Millis, o *emulator.Client) { o.RateFactor = 1 })
	case scenario.HotAllocator:
		owners(at, func(_ placement.Millis, o *emulator.Client) { o.FirstAllocatorShare = f.Size })
		owners(until, func(_ placement.Millis, o *emulator.Client) { o.FirstAllocatorShare = 0 })
	case scenario.ServiceRestart:
		owners(at, func(now placement.Millis, o *emulator.Client) { o.Restart(now, f.Size, f.Duration) })
	case scenario.ClientDisconnect:
		for _, g := range d.sample(d.clients, f.Share) {
			d.host.RunAt(g, at, g.Cut)
			d.host.RunAt(g, at+1, g.BreakConnections)
			d.host.RunAt(g, at+2, g.Heal)
		}
	case scenario.DiscoveryOverload:
		d.onDiscovery(at, func(_ placement.Millis, l *emulator.DiscoveryService) {
			l.Slowdown = f.Size
			l.ExtraLag = placement.Millis(f.Size) * 50
		})
		d.onDiscovery(until, func(_ placement.Millis, l *emulator.DiscoveryService) {
			l.Slowdown = 1
			l.ExtraLag = 0
		})
	case scenario.DiscoveryLate:
		d.onDiscovery(at, func(_ placement.Millis, l *emulator.DiscoveryService) { l.ExtraLag = placement.Millis(f.Size) })
		d.onDiscovery(until, func(_ placement.Millis, l *emulator.DiscoveryService) { l.ExtraLag = 0 })
	case scenario.DiscoveryStale:
		d.onDiscovery(at, func(now placement.Millis, l *emulator.DiscoveryService) { l.SetStale(true) })
		d.onDiscovery(until, func(now placement.Millis, l *emulator.DiscoveryService) { l.SetStale(false) })
	case scenario.DiscoveryWrong:
		d.onDiscovery(at, func(now placement.Millis, l *emulator.DiscoveryService) { l.Misreport(f.Size, false) })
		d.onDiscovery(until, func(now placement.Millis, l *emulator.DiscoveryService) { l.Misreport(1, false) })
	case scenario.DiscoveryEmpty:
		d.onDiscovery(at, func(now placement.Millis, l *emulator.DiscoveryService) { l.Misreport(1, true) })
		d.onDiscovery(until, func(now placement.Millis, l *emulator.DiscoveryService) { l.Misreport(1, false) })
	default:
		d.planNetwork(f, at, until)
	}
}

// planNetwork schedules faults of connections and clocks.
func (d *Run) planNetwork(f scenario.Fault, at, until placement.Millis) {
	everyone := slices.Concat(d.nodes, d.allocators, d.clients, []*network.Interceptor{d.discovery})
	switch f.Kind {
	case scenario.OneWayCut:
		for i, g := range d.sample(d.nodes, f.Share) {
			out := i%2 == 0
			d.host.RunAt(g, at, func(placement.Millis) { g.CutDirection(out) })
			d.host.RunAt(g, at+network.CutTimeout, g.BreakConnections)
			d.host.RunAt(g, until, g.Heal)
		}
	case scenario.ClockSkew:
		for _, g := range d.sample(everyone, f.Share) {
			rate := 1 + f.Size/1e6*(2*d.rng.Float64()-1)
			d.host.RunAt(g, at, func(now placement.Millis) { g.SetClock(now, rate, 0) })
			d.host.RunAt(g, until, func(now placement.Millis) { g.SetClock(now, 1, 0) })
		}
	case scenario.ClockStep:
		for _, g := range d.sample(slices.Concat(d.nodes, []*network.Interceptor{d.discovery}), f.Share) {
			d.host.RunAt(g, at, func(now placement.Millis) { g.SetClock(now, 1, placement.Millis(f.Size)) })
		}
	case scenario.FramesDuplicated: // not at clients: the first rule is about answers that come twice
		d.injectFrameFaults(slices.Concat(d.nodes, d.allocators, []*network.Interceptor{d.discovery}), f, at, until, network.FrameFaults{Duplicate: true})
	case scenario.FramesDelayed:
		d.injectFrameFaults(everyone, f, at, until, network.FrameFaults{Delay: placement.Millis(f.Size)})
	case scenario.FramesReordered:
		d.injectFrameFaults(everyone, f, at, until, network.FrameFaults{Delay: placement.Millis(f.Size), Reorder: true})
	}
}

// injectFrameFaults applies faults to part of the frames that reach these processes.
func (d *Run) injectFrameFaults(gates []*network.Interceptor, f scenario.Fault, at, until placement.Millis, t network.FrameFaults) {
	for _, g := range gates {
		t := t
		t.Share = f.Share
		t.Random = rand.New(rand.NewPCG(d.rng.Uint64(), 3))
		later := func(at placement.Millis, do func(now placement.Millis)) { d.host.RunAt(g, at, do) }
		d.host.RunAt(g, at, func(placement.Millis) { g.SetFrameFaults(&t, later) })
		d.host.RunAt(g, until, func(placement.Millis) { g.SetFrameFaults(nil, later) })
	}
}

// sample returns a random share of the processes, at least one if the share is above zero.
func (d *Run) sample(of []*network.Interceptor, part float64) []*network.Interceptor {
	drawn := slices.Clone(of)
	d.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(len(drawn), int(math.Ceil(part*float64(len(drawn)))))]
}

// pauseRepeatedly pauses each process again and again, at different times.
func (d *Run) pauseRepeatedly(gates []*network.Interceptor, f scenario.Fault, at, until placement.Millis) {
	for _, g := range gates {
		for t := at + f.Interval*placement.Millis(d.rng.Float64()); t < until; t += f.Interval {
			size := placement.Millis(f.Size)
			d.host.RunAt(g, t, func(now placement.Millis) { g.Pause(now, now+size) })
			d.host.RunAt(g, t+size, g.Resume)
		}
	}
}

func (d *Run) onNode(g *network.Interceptor, at placement.Millis, do func(now placement.Millis, n *emulator.Node)) {
	d.host.RunAt(g, at, func(now placement.Millis) {
		if n, ok := g.Handler().(*emulator.Node); ok {
			do(g.LocalTime(now), n)
		}
	})
}

func (d *Run) duringFault(f scenario.Fault, at, until placement.Millis, begin, end func(*emulator.Node)) {
	for _, g := range d.sample(d.nodes, f.Share) {
		d.onNode(g, at, func(_ placement.Millis, n *emulator.Node) { begin(n) })
		d.onNode(g, until, func(_ placement.Millis, n *emulator.Node) { end(n) })
	}
}

// rollNodes stops part of the nodes in batches, and restarts each.
func (d *Run) rollNodes(f scenario.Fault, at, away placement.Millis, drained bool) {
	nodes := d.sample(d.nodes, f.Share)
	batch := max(1, int(f.Size*float64(len(d.nodes))))
	for i, g := range nodes {
		t := at + placement.Millis(i/batch)*f.Interval
		if drained {
			d.onNode(g, t, func(now placement.Millis, n *emulator.Node) { n.Drain(now, true) })
			d.drains[g] = append(d.drains[g], oracle.Span{From: t, Until: t + away})
			d.host.RunAt(g, t+away, g.Kill)
			d.host.RunAt(g, t+away+300, g.Restart)
		} else {
			d.host.RunAt(g, t, g.Kill)
			d.host.RunAt(g, t+away, g.Restart)
		}
	}
}

// onDiscovery calls do on the discovery service's goroutine.
func (d *Run) onDiscovery(at placement.Millis, do func(now placement.Millis, l *emulator.DiscoveryService)) {
	d.host.RunAt(d.discovery, at, func(now placement.Millis) {
		if l, ok := d.discovery.Handler().(*emulator.DiscoveryService); ok {
			do(d.discovery.LocalTime(now), l)
		}
	})
}
