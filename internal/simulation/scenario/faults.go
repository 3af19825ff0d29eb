package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"grebeglade/config"
	"grebeglade/placement"
)

// FaultKind names what goes wrong.
type FaultKind string

// The kinds of faults, by their names in scripts.
const (
	NodeCrash         FaultKind = "crash"
	NodeSlow          FaultKind = "slow"
	NodePause         FaultKind = "stall"
	NoisyNeighbour    FaultKind = "neighbour"
	RequestBurst      FaultKind = "burst"
	HotService        FaultKind = "hot-service"
	UsageOverrun      FaultKind = "overrun"
	RollingDeploy     FaultKind = "deploy"
	CacheLoss         FaultKind = "forget"
	ServiceRestart    FaultKind = "reconnect"
	AllocatorPause    FaultKind = "allocator-still"
	AllocatorCrash    FaultKind = "allocator-death"
	GroupThrottled    FaultKind = "throttle"
	NodePreemption    FaultKind = "preempt"
	ZoneCut           FaultKind = "hall-cut"
	DiscoveryOverload FaultKind = "list-overrun"
	HotAllocator      FaultKind = "hot-allocator"
	ClientDisconnect  FaultKind = "owner-disconnect"
	OneWayCut         FaultKind = "one-way"
	DiscoveryLate     FaultKind = "list-late"
	DiscoveryStale    FaultKind = "list-stale"
	DiscoveryWrong    FaultKind = "list-wrong"
	DiscoveryEmpty    FaultKind = "list-empty"
	ClockSkew         FaultKind = "clock-skew"
	ClockStep         FaultKind = "clock-step"
	FramesDuplicated  FaultKind = "doubled"
	FramesReordered   FaultKind = "reordered"
	FramesDelayed     FaultKind = "delayed"
	LoadUnderreported FaultKind = "lying"
	StartsNeverHappen FaultKind = "never-starts"
)

// Fault is one fault of a script.
type Fault struct {
	Kind      FaultKind
	At        placement.Millis // since the first request
	Duration  placement.Millis
	Interval  placement.Millis // between repetitions, or waves
	Share     float64          // of those that it may hit
	Size      float64          // in the unit of the kind, see FaultSpec
	Group     string
	Zone      string
	DrainTime placement.Millis // from the begin of a drain to the process's end
}

// FaultSpec is the range of a fault's size, and the defaults of its size and interval. The unit of the size is the kind's
// own: a factor, a share, milliseconds or parts per million. A maximum of zero means that the kind has no size.
type FaultSpec struct {
	DefaultSize, MinSize, MaxSize float64
	DefaultInterval               placement.Millis // 0 for faults that do not repeat
}

// FaultSpecs holds every kind of fault.
var FaultSpecs = map[FaultKind]FaultSpec{
	NodeCrash: {},
	NodeSlow: {
		DefaultSize: 5,
		MinSize:     1,
		MaxSize:     1000,
	},
	NodePause: {
		DefaultSize:     300,
		MinSize:         1,
		MaxSize:         60e3,
		DefaultInterval: 2e3,
	},
	NoisyNeighbour: {
		DefaultSize:     0.5,
		MaxSize:         1,
		DefaultInterval: 3e3,
	},
	RequestBurst: {DefaultSize: 2, MaxSize: 100},
	HotService: {
		DefaultSize: 2.5,
		MinSize:     1,
		MaxSize:     100,
	},
	UsageOverrun: {
		DefaultSize: 4,
		MinSize:     1,
		MaxSize:     100,
	},
	RollingDeploy: {
		DefaultSize:     0.15,
		MinSize:         0.001,
		MaxSize:         1,
		DefaultInterval: 3e3,
	},
	CacheLoss:      {DefaultSize: 0.8, MaxSize: 1},
	ServiceRestart: {DefaultSize: 0.4, MaxSize: 1},
	AllocatorPause: {
		DefaultSize:     1200,
		MinSize:         1,
		MaxSize:         60e3,
		DefaultInterval: 4e3,
	},
	AllocatorCrash: {},
	GroupThrottled: {},
	NodePreemption: {
		DefaultSize:     0.1,
		MinSize:         0.001,
		MaxSize:         1,
		DefaultInterval: 2e3,
	},
	ZoneCut: {},
	DiscoveryOverload: {
		DefaultSize: 8,
		MinSize:     1,
		MaxSize:     1000,
	},
	HotAllocator:     {DefaultSize: 0.5, MaxSize: 1},
	ClientDisconnect: {},
	OneWayCut:        {},
	DiscoveryLate: {
		DefaultSize: 2e3,
		MinSize:     1,
		MaxSize:     60e3,
	},
	DiscoveryStale: {},
	DiscoveryWrong: {DefaultSize: 3, MaxSize: 100},
	DiscoveryEmpty: {},
	ClockSkew:      {DefaultSize: 200, MaxSize: 1e5},
	ClockStep: {
		DefaultSize: 5e3,
		MinSize:     1,
		MaxSize:     3600e3,
	},
	FramesDuplicated: {},
	FramesReordered: {
		DefaultSize: 40,
		MinSize:     1,
		MaxSize:     10e3,
	},
	FramesDelayed: {
		DefaultSize: 80,
		MinSize:     1,
		MaxSize:     10e3,
	},
	LoadUnderreported: {DefaultSize: 0.9, MaxSize: 1},
	StartsNeverHappen: {},
}

// FaultKinds returns all kinds, sorted by name.
func FaultKinds() []FaultKind { return slices.Sorted(maps.Keys(FaultSpecs)) }

func (s *Script) readFault(b *config.Block) {
	kind := FaultKind(b.Name)
	if k := b.String("kind", ""); k != "" {
		kind = FaultKind(k)
	}
	spec, ok := FaultSpecs[kind]
	if !ok {
		b.AddProblem("kind", fmt.Sprintf("a fault of kind %q is not known", kind),
			"give it the name of a kind, or a kind = of "+joinKinds(FaultKinds()))
	}
	f := Fault{
		Kind:      kind,
		At:        b.Duration("at", s.Length/3),
		Duration:  b.Duration("for", 5e3),
		Interval:  b.Duration("every", spec.DefaultInterval),
		Share:     b.Float("part", 0.25, 0, 1),
		Size:      b.Float("size", spec.DefaultSize, spec.MinSize, max(spec.MaxSize, spec.DefaultSize)),
		Group:     b.String("group", ""),
		Zone:      b.String("zone", ""),
		DrainTime: b.Duration("drain", 3e3),
	}
	if spec.DefaultInterval > 0 && f.Interval <= 0 {
		b.AddProblem("every", "every is no time", `write one such as "2s"`)
	}
	if f.Group != "" && !slices.Contains(s.Groups, f.Group) {
		b.AddProblem("group", fmt.Sprintf("group %q is not known", f.Group), fmt.Sprintf("write one of %q", s.Groups))
	}
	if kind == GroupThrottled && f.Group == "" {
		f.Group = firstName(s.Groups)
	}
	if f.Zone != "" && !slices.Contains(s.Zones, f.Zone) {
		b.AddProblem("zone", fmt.Sprintf("zone %q is not known", f.Zone), fmt.Sprintf("write one of %q", s.Zones))
	}
	if kind == ZoneCut && f.Zone == "" && len(s.Zones) > 0 {
		f.Zone = s.Zones[len(s.Zones)-1]
	}
	s.Faults = append(s.Faults, f)
}

func joinKinds(kinds []FaultKind) string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = string(k)
	}
	return strings.Join(names, ", ")
}
