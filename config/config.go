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
	Name     string
	Listen   string
	List     string
	Zone     string
	Settings placement.Settings
	Groups   []string // names, in the order of Settings.Groups
	Kinds    []string // names, in the order of Settings.Kinds
	Limits   Limits
	Log      Log
	State    State `json:"state"`
	Trace    Trace
}

// Limits bound what peers can make an allocator hold.
type Limits struct {
	Workloads   int   // pending and placed
	Connections int   // that came in
	Frame       int64 // bytes
	Waiting     int64 // bytes that wait to be written to one peer
}

// State says where binds are written down that must be known after a crash.
type State struct {
	Dir  string           `json:"dir"`
	Keep placement.Millis `json:"keep_ms"`
	Most int              `json:"most"`
	Sync string           `json:"sync"`
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
		Name: own.Text("name", "allocator"), Listen: own.Text("listen", "127.0.0.1:7070"),
		List: own.Text("list", "127.0.0.1:7071"), Zone: own.Text("zone", ""),
	}
	a.Settings.Allocators = own.Count("allocators", 1, 1, 100000)
	a.Settings.Ordinal = own.Count("number", 0, 0, 99999)
	if a.Settings.Ordinal >= a.Settings.Allocators {
		own.Problem("number", fmt.Sprintf("number is %d of %d allocators", a.Settings.Ordinal, a.Settings.Allocators),
			fmt.Sprintf("write one from 0 to %d, each allocator another", a.Settings.Allocators-1))
	}
	if a.Name == "" {
		own.Problem("name", "name is empty", "give each allocator a name of its own")
	}
	checkAddress(own, "listen", a.Listen)
	checkAddress(own, "list", a.List)
	a.Limits = ReadLimits(b.Block("limits"))
	log := b.Block("log")
	a.Log = Log{
		Level:  log.Word("level", "info", "debug", "info", "warn", "error"),
		Format: log.Word("format", "text", "text", "json"),
	}
	st := b.Block("state")
	a.State = State{
		Dir: st.Text("dir", ""), Keep: st.Time("keep", 24*3600e3), Most: st.Count("most", 1e6, 1, 1e8),
		Sync: st.Word("sync", "group", "group", "each", "none"),
	}
	if a.State.Keep <= 0 {
		st.Problem("keep", "keep is no time", `write one such as "24h", longer than any owner may ask again after`)
	}
	tr := b.Block("trace")
	a.Trace = Trace{
		Dir: tr.Text("dir", ""), File: tr.Size("file", 64<<20), Age: tr.Time("age", 3600e3), Total: tr.Size("total", 1<<30),
	}
	if a.Trace.Total < a.Trace.File {
		tr.Problem("total", "total is less than one file may be", "write a larger total, or a smaller file")
	}
	ReadShared(b, &a.Settings, &a.Kinds, &a.Groups)
	return a, b.Done()
}

// ReadLimits reads a limits block.
func ReadLimits(b *Block) Limits {
	return Limits{
		Workloads:   b.Count("workloads", 200000, 1, math.MaxInt32),
		Connections: b.Count("connections", 4096, 1, 1<<20),
		Frame:       b.Size("frame", 1<<20),
		Waiting:     b.Size("waiting", 4<<20),
	}
}

// checkAddress sees to it that nothing listens beyond this machine before connections can be trusted.
func checkAddress(b *Block, name, addr string) {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	switch {
	case err != nil:
		b.Problem(name, fmt.Sprintf("%s is %q, no address with a port", name, addr), `write one such as "127.0.0.1:7070"`)
	case host != "localhost" && (ip == nil || !ip.IsLoopback()):
		b.Problem(name, fmt.Sprintf("%s is %q, beyond this machine", name, addr),
			`write a loopback address such as "127.0.0.1:7070": connections are not encrypted yet`)
	}
}

// ReadShared reads the blocks that allocators and day scripts have in common: kinds, groups, rules, reports.
func ReadShared(b *Block, s *placement.Settings, kinds, groups *[]string) {
	rules := b.Block("rules")
	s.ColdFor = rules.Time("cold_for", 15e3)
	s.ColdFrom = rules.Number("cold_from", 0.25, 0, 1)
	s.ColdBears = rules.Number("cold_bears", 24, 0, 1e6)
	s.OverloadFor = rules.Time("overload_for", 2e3)
	s.MaxBinds = rules.Count("binds", 3, 1, 100)
	s.MayProbe = rules.Flag("probes", true)
	s.MustAsk = rules.Word("list", "push", "push", "ask") == "ask"
	s.AskWithin = rules.Time("ask_within", 10e3)
	s.ConfirmsRunning = rules.Word("confirms", "accepted", "accepted", "running") == "running"
	s.ReportsUse = rules.Word("reports", "used", "used", "asked") == "used"
	s.RoomInList = rules.Flag("room_in_list", true)
	for _, k := range b.Named("kind") {
		*kinds = append(*kinds, k.Name)
		s.Kinds = append(s.Kinds, placement.Kind{
			Cores: k.Number("cores", 16, 0.001, 1e6), Memory: k.Number("memory", 32, 0.001, 1e9),
		})
	}
	if len(s.Kinds) == 0 {
		b.Problem("", "no kind of node", `write at least one: kind "NAME" { cores = 16  memory = 32 }`)
	}
	if len(s.Kinds) > 200 {
		b.Problem("", fmt.Sprintf("%d kinds of nodes", len(s.Kinds)), "leave 200 at most")
	}
	for _, g := range b.Named("group") {
		*groups = append(*groups, g.Name)
		s.Groups = append(s.Groups, readGroup(g, *kinds))
	}
	if len(s.Groups) == 0 {
		b.Problem("", "no priority group", `write at least one: group "NAME" { effect = "restartable" }`)
	}
}

var effects = map[string]placement.Effect{
	"restartable": placement.Restartable, "deduplicated": placement.Deduplicated, "run-once": placement.RunOnce,
}

var scopes = map[string]placement.Scope{
	"none": placement.ScopeNone, "node": placement.ScopeNode, "cell": placement.ScopeCell, "zone": placement.ScopeZone,
	"all": placement.ScopeAll,
}

func readGroup(b *Block, kinds []string) placement.Group {
	g := placement.Group{
		Target:      b.Time("target", defaultTarget),
		Utility:     b.Number("utility", 1, 0, 1e9),
		Effect:      effects[b.Word("effect", "restartable", "restartable", "deduplicated", "run-once")],
		DedupScope:  scopes[b.Word("dedup_scope", "none", "none", "node", "cell", "zone", "all")],
		DedupWindow: b.Time("dedup_window", 0),
		Spread:      scopes[b.Word("spread", "none", "none", "node", "cell", "zone")],
		SpreadMost:  b.Count("spread_most", 1, 1, 1e6),
		Calm:        b.Number("calm", 0, 0, 1),
		Fade:        b.Number("fade", 0.2, 0, 1),
		Kind:        -1,
	}
	if g.Effect == placement.Deduplicated && (g.DedupScope == placement.ScopeNone || g.DedupWindow <= 0) {
		b.Problem("effect", fmt.Sprintf("group %q is deduplicated and does not say where and for how long", b.Name),
			`add dedup_scope = "cell" and dedup_window = "5s"`)
	}
	if g.Effect != placement.Deduplicated && (b.Has("dedup_scope") || b.Has("dedup_window")) {
		b.Problem("dedup_scope", fmt.Sprintf("group %q has a dedup scope or window but is not deduplicated", b.Name),
			`write effect = "deduplicated", or leave them out`)
	}
	if g.Spread == placement.ScopeNone && b.Has("spread_most") {
		b.Problem("spread_most", "spread_most stands without spread", `add spread = "node", "cell" or "zone"`)
	}
	if name := b.Text("kind", ""); name != "" {
		if g.Kind = slices.Index(kinds, name); g.Kind < 0 {
			b.Problem("kind", fmt.Sprintf("kind %q is not known", name), fmt.Sprintf("write one of %q", kinds))
		}
	}
	return g
}
