package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"grebeglade/config"
	"grebeglade/placement"
)

// FaultKind is the kind of a fault.
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
	At        placement.Millis // time from the start of the requests to the fault
	Duration  placement.Millis
	Interval  placement.Millis // time between repetitions or waves
	Share     float64          // share of the processes, services or frames that are affected
	Size      float64          // unit depends on the kind; see FaultSpec
	Group     string
	Zone      string
	DrainTime placement.Millis // time from the start of a drain to the stop of the process
}

// FaultSpec is the range of a fault's size, and the defaults of its size and interval. The unit of the size is the
// kind's own: a factor, a share, milliseconds or parts per million. A maximum of zero means that the kind has no size.
type FaultSpec struct {
	DefaultSize     float64
	MinSize         float64
	MaxSize         float64
	DefaultInterval placement.Millis // 0 for faults that do not repeat
}

// FaultSpecs holds the spec of every kind of fault.
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

// FaultKinds returns all kinds of faults, sorted by name.
func FaultKinds() []FaultKind { return slices.Sorted(maps.Keys(FaultSpecs)) }

// readFault reads one fault block. The kind is the block's kind argument or, without one, the block's name.
func (s *Script) readFault(block *config.Block) {
	kind := FaultKind(block.Name)
	if stated := block.String("kind", ""); stated != "" {
		kind = FaultKind(stated)
	}
	spec, ok := FaultSpecs[kind]
	if !ok {
		block.AddProblem("kind", fmt.Sprintf("a fault of kind %q is not known", kind),
			"name the block after a kind, or set kind to one of "+joinKinds(FaultKinds()))
	}
	fault := Fault{
		Kind:      kind,
		At:        block.Duration("at", s.Length/3),
		Duration:  block.Duration("for", 5e3),
		Interval:  block.Duration("every", spec.DefaultInterval),
		Share:     block.Float("part", 0.25, 0, 1),
		Size:      block.Float("size", spec.DefaultSize, spec.MinSize, max(spec.MaxSize, spec.DefaultSize)),
		Group:     block.String("group", ""),
		Zone:      block.String("zone", ""),
		DrainTime: block.Duration("drain", 3e3),
	}
	if spec.DefaultInterval > 0 && fault.Interval <= 0 {
		block.AddProblem("every", "every is not a positive time", `write one such as "2s"`)
	}
	if fault.Group != "" && !slices.Contains(s.Groups, fault.Group) {
		s.addUnknownGroup(block, fault.Group)
	}
	if fault.Zone != "" && !slices.Contains(s.Zones, fault.Zone) {
		known := fmt.Sprintf("write one of %q", s.Zones)
		block.AddProblem("zone", fmt.Sprintf("zone %q is not known", fault.Zone), known)
	}
	s.setDefaultTarget(&fault)
	s.Faults = append(s.Faults, fault)
}

// setDefaultTarget sets the group or zone of a fault that needs one and has none: the first group, or the last zone.
func (s *Script) setDefaultTarget(fault *Fault) {
	if fault.Kind == GroupThrottled && fault.Group == "" {
		fault.Group = firstName(s.Groups)
	}
	if fault.Kind == ZoneCut && fault.Zone == "" && len(s.Zones) > 0 {
		fault.Zone = s.Zones[len(s.Zones)-1]
	}
}

// joinKinds returns the names of the kinds, separated by commas.
func joinKinds(kinds []FaultKind) string {
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = string(kind)
	}
	return strings.Join(names, ", ")
}
