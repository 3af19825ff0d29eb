package config

import (
	"fmt"
	"math"
	"net"
	"os"
	"slices"

	"grebeglade/placement"
)

// Allocator is what a running allocator is told.
type Allocator struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string
	Zone             string
	Settings         placement.Settings
	GroupNames       []string // names, in the order of Settings.Groups
	KindNames        []string // names, in the order of Settings.Kinds
	Limits           Limits
	Log              Log
	State            State `json:"state"`
	Trace            Trace
}

// Limits bound what peers can make an allocator hold.
type Limits struct {
	MaxWorkloads   int   // pending and placed
	MaxConnections int   // that came in
	MaxFrameBytes  int64 // bytes
	MaxWriteBuffer int64 // bytes that wait to be written to one peer
}

// State says where binds are written down that must be known after a crash.
type State struct {
	Dir        string           `json:"dir"`
	Retention  placement.Millis `json:"keep_ms"`
	MaxEntries int              `json:"most"`
	Sync       string           `json:"sync"`
}

// Trace says where calls and decisions are recorded, and how much of them is kept.
type Trace struct {
	Dir   string // "" for nowhere
	File  int64  // bytes of one file
	Age   placement.Millis
	Total int64 // bytes of all files
}

// Log says how to log.
type Log struct{ Level, Format string }

const defaultTarget = placement.Millis(1e3)

// Load reads an allocator's file.
func Load(file string) (*Allocator, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, src)
}

// Decode reads an allocator's settings from a file's text.
func Decode(file string, src []byte) (*Allocator, error) {
	b, err := Parse(file, src)
	if err != nil {
		return nil, err
	}
	own := b.Block("allocator")
	a := &Allocator{
		Name: own.String("name", "allocator"), ListenAddress: own.String("listen", "127.0.0.1:7070"),
		DiscoveryAddress: own.String("list", "127.0.0.1:7071"), Zone: own.String("zone", ""),
	}
	a.Settings.Allocators = own.Int("allocators", 1, 1, 100000)
	a.Settings.Ordinal = own.Int("number", 0, 0, 99999)
	if a.Settings.Ordinal >= a.Settings.Allocators {
		own.AddProblem("number", fmt.Sprintf("number is %d of %d allocators", a.Settings.Ordinal, a.Settings.Allocators),
			fmt.Sprintf("write one from 0 to %d, each allocator another", a.Settings.Allocators-1))
	}
	if a.Name == "" {
		own.AddProblem("name", "name is empty", "give each allocator a name of its own")
	}
	checkAddress(own, "listen", a.ListenAddress)
	checkAddress(own, "list", a.DiscoveryAddress)
	a.Limits = ReadLimits(b.Block("limits"))
	log := b.Block("log")
	a.Log = Log{
		Level:  log.OneOf("level", "info", "debug", "info", "warn", "error"),
		Format: log.OneOf("format", "text", "text", "json"),
	}
	st := b.Block("state")
	a.State = State{
		Dir: st.String("dir", ""), Retention: st.Duration("keep", 24*3600e3), MaxEntries: st.Int("most", 1e6, 1, 1e8),
		Sync: st.OneOf("sync", "group", "group", "each", "none"),
	}
	if a.State.Retention <= 0 {
		st.AddProblem("keep", "keep is no time", `write one such as "24h", longer than any owner may ask again after`)
	}
	tr := b.Block("trace")
	a.Trace = Trace{
		Dir: tr.String("dir", ""), File: tr.ByteSize("file", 64<<20), Age: tr.Duration("age", 3600e3), Total: tr.ByteSize("total", 1<<30),
	}
	if a.Trace.Total < a.Trace.File {
		tr.AddProblem("total", "total is less than one file may be", "write a larger total, or a smaller file")
	}
	ReadPlacement(b, &a.Settings, &a.KindNames, &a.GroupNames)
	return a, b.Finish()
}

// ReadLimits reads a limits block.
func ReadLimits(b *Block) Limits {
	return Limits{
		MaxWorkloads:   b.Int("workloads", 200000, 1, math.MaxInt32),
		MaxConnections: b.Int("connections", 4096, 1, 1<<20),
		MaxFrameBytes:  b.ByteSize("frame", 1<<20),
		MaxWriteBuffer: b.ByteSize("waiting", 4<<20),
	}
}

// checkAddress sees to it that nothing listens beyond this machine before connections can be trusted.
func checkAddress(b *Block, name, addr string) {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	switch {
	case err != nil:
		b.AddProblem(name, fmt.Sprintf("%s is %q, no address with a port", name, addr), `write one such as "127.0.0.1:7070"`)
	case host != "localhost" && (ip == nil || !ip.IsLoopback()):
		b.AddProblem(name, fmt.Sprintf("%s is %q, beyond this machine", name, addr),
			`write a loopback address such as "127.0.0.1:7070": connections are not encrypted yet`)
	}
}

// ReadPlacement reads the blocks that allocators and day scripts have in common: kinds, groups, rules, reports.
func ReadPlacement(b *Block, s *placement.Settings, kinds, groups *[]string) {
	rules := b.Block("rules")
	s.WarmUpDuration = rules.Duration("cold_for", 15e3)
	s.InitialRate = rules.Float("cold_from", 0.25, 0, 1)
	s.WarmUpBudget = rules.Float("cold_bears", 24, 0, 1e6)
	s.OverloadWindow = rules.Duration("overload_for", 2e3)
	s.MaxBinds = rules.Int("binds", 3, 1, 100)
	s.HealthChecksAllowed = rules.Bool("probes", true)
	s.PolledDiscovery = rules.OneOf("list", "push", "push", "ask") == "ask"
	s.PollInterval = rules.Duration("ask_within", 10e3)
	s.ConfirmsRunning = rules.OneOf("confirms", "accepted", "accepted", "running") == "running"
	s.ReportsUsage = rules.OneOf("reports", "used", "used", "asked") == "used"
	s.EntriesCarryCapacity = rules.Bool("room_in_list", true)
	for _, k := range b.Named("kind") {
		*kinds = append(*kinds, k.Name)
		s.NodeKinds = append(s.NodeKinds, placement.NodeKind{
			Cores: k.Float("cores", 16, 0.001, 1e6), Memory: k.Float("memory", 32, 0.001, 1e9),
		})
	}
	if len(s.NodeKinds) == 0 {
		b.AddProblem("", "no kind of node", `write at least one: kind "NAME" { cores = 16  memory = 32 }`)
	}
	if len(s.NodeKinds) > 200 {
		b.AddProblem("", fmt.Sprintf("%d kinds of nodes", len(s.NodeKinds)), "leave 200 at most")
	}
	for _, g := range b.Named("group") {
		*groups = append(*groups, g.Name)
		s.Groups = append(s.Groups, readGroup(g, *kinds))
	}
	if len(s.Groups) == 0 {
		b.AddProblem("", "no priority group", `write at least one: group "NAME" { effect = "restartable" }`)
	}
}

var effects = map[string]placement.Idempotency{
	"restartable": placement.Idempotent, "deduplicated": placement.IdempotentByKey, "run-once": placement.AtMostOnce,
}

var scopes = map[string]placement.Scope{
	"none": placement.ScopeNone, "node": placement.ScopeNode, "cell": placement.ScopeCell, "zone": placement.ScopeZone,
	"all": placement.ScopeAll,
}

func readGroup(b *Block, kinds []string) placement.Group {
	g := placement.Group{
		LatencyObjective:       b.Duration("target", defaultTarget),
		PriorityWeight:         b.Float("utility", 1, 0, 1e9),
		Idempotency:            effects[b.OneOf("effect", "restartable", "restartable", "deduplicated", "run-once")],
		KeyScope:               scopes[b.OneOf("dedup_scope", "none", "none", "node", "cell", "zone", "all")],
		KeyWindow:              b.Duration("dedup_window", 0),
		SpreadScope:            scopes[b.OneOf("spread", "none", "none", "node", "cell", "zone")],
		MaxPerScope:            b.Int("spread_most", 1, 1, 1e6),
		FullServiceUtilization: b.Float("calm", 0, 0, 1),
		DegradationRange:       b.Float("fade", 0.2, 0, 1),
		RequiredKind:           -1,
	}
	if g.Idempotency == placement.IdempotentByKey && (g.KeyScope == placement.ScopeNone || g.KeyWindow <= 0) {
		b.AddProblem("effect", fmt.Sprintf("group %q is deduplicated and does not say where and for how long", b.Name),
			`add dedup_scope = "cell" and dedup_window = "5s"`)
	}
	if g.Idempotency != placement.IdempotentByKey && (b.Has("dedup_scope") || b.Has("dedup_window")) {
		b.AddProblem("dedup_scope", fmt.Sprintf("group %q has a dedup scope or window but is not deduplicated", b.Name),
			`write effect = "deduplicated", or leave them out`)
	}
	if g.SpreadScope == placement.ScopeNone && b.Has("spread_most") {
		b.AddProblem("spread_most", "spread_most stands without spread", `add spread = "node", "cell" or "zone"`)
	}
	if name := b.String("kind", ""); name != "" {
		if g.RequiredKind = slices.Index(kinds, name); g.RequiredKind < 0 {
			b.AddProblem("kind", fmt.Sprintf("kind %q is not known", name), fmt.Sprintf("write one of %q", kinds))
		}
	}
	return g
}
