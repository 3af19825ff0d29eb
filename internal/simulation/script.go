package simulation

import (
	"embed"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"

	"grebeglade/config"
	"grebeglade/placement"
)

//go:embed scripts/*.hcl
var scripts embed.FS

// Script is a day: a fleet, what is asked of it, and what goes wrong.
type Script struct {
	Name       string
	About      string
	Settle     placement.Millis // before owners ask and faults count: nodes and allocators get to know each other
	Length     placement.Millis // owners ask until then
	Allocators int
	Owners     int
	Zones      []string
	Settings   placement.Settings
	Groups     []string
	Kinds      []string
	Counts     []int // nodes of each kind
	Demand     []Demand
	Node       NodeModel
	List       ListModel
	Owner      OwnerModel
	Drain      placement.Millis // grace of the third rule
	Faults     []Fault
	Limits     config.Limits
	State      StateModel
}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind  string
	At    placement.Millis
	For   placement.Millis
	Every placement.Millis
	Part  float64 // of those that it may hit
	Size  float64
	Group string
	Zone  string
	Wait  placement.Millis // between a drain and the end
}

// faultKinds are the faults with what they take besides at, for and part: their sizes by default, in the
// unit that the word in front says.
var faultKinds = map[string]struct {
	size, least, most float64
	every             placement.Millis
}{
	"crash":            {},
	"slow":             {size: 5, least: 1, most: 1000},
	"stall":            {size: 300, least: 1, most: 60e3, every: 2e3},
	"neighbour":        {size: 0.5, least: 0, most: 1, every: 3e3},
	"burst":            {size: 2, least: 0, most: 100},
	"hot-service":      {size: 2.5, least: 1, most: 100},
	"overrun":          {size: 4, least: 1, most: 100},
	"deploy":           {size: 0.15, least: 0.001, most: 1, every: 3e3},
	"forget":           {size: 0.8, least: 0, most: 1},
	"reconnect":        {size: 0.4, least: 0, most: 1},
	"allocator-still":  {size: 1200, least: 1, most: 60e3, every: 4e3},
	"allocator-death":  {},
	"throttle":         {},
	"preempt":          {size: 0.1, least: 0.001, most: 1, every: 2e3},
	"hall-cut":         {},
	"list-overrun":     {size: 8, least: 1, most: 1000},
	"hot-allocator":    {size: 0.5, least: 0, most: 1},
	"owner-disconnect": {},
	"one-way":          {},
	"list-late":        {size: 2e3, least: 1, most: 60e3},
	"list-stale":       {},
	"list-wrong":       {size: 3, least: 0, most: 100},
	"list-empty":       {},
	"clock-skew":       {size: 200, least: 0, most: 1e5},
	"clock-step":       {size: 5e3, least: 1, most: 3600e3},
	"doubled":          {},
	"reordered":        {size: 40, least: 1, most: 10e3},
	"delayed":          {size: 80, least: 1, most: 10e3},
	"lying":            {size: 0.9, least: 0, most: 1},
	"never-starts":     {},
}

// Names are the scripts that come with the program, in order.
func Names() []string {
	entries, err := scripts.ReadDir("scripts")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".hcl"))
	}
	return names
}

// Open reads a script by name, or from a file.
func Open(nameOrFile string) (*Script, error) {
	b, err := Parse(nameOrFile)
	if err != nil {
		return nil, err
	}
	return Decode(b)
}

// Parse finds a script by name, or a file, without saying what it means.
func Parse(nameOrFile string) (*config.Block, error) {
	if slices.Contains(Names(), nameOrFile) {
		src, err := scripts.ReadFile("scripts/" + nameOrFile + ".hcl")
		if err != nil {
			return nil, err
		}
		return config.Parse(nameOrFile+".hcl", src)
	}
	src, err := os.ReadFile(nameOrFile)
	if os.IsNotExist(err) && !strings.ContainsAny(nameOrFile, "./") {
		return nil, fmt.Errorf("no script is named %q; known are %s", nameOrFile, strings.Join(Names(), ", "))
	}
	if err != nil {
		return nil, err
	}
	return config.Parse(nameOrFile, src)
}

// DecodeScript reads a script's text.
func DecodeScript(file string, src []byte) (*Script, error) {
	b, err := config.Parse(file, src)
	if err != nil {
		return nil, err
	}
	return Decode(b)
}

// Decode says what a script that was parsed means.
func Decode(b *config.Block) (*Script, error) {
	file := b.File()
	if like := b.String("like", ""); like != "" {
		if err := inherit(b, like); err != nil {
			return nil, err
		}
	}
	s := &Script{
		Name:       strings.TrimSuffix(path.Base(file), ".hcl"),
		About:      b.String("about", ""),
		Settle:     b.Duration("settle", 1500),
		Length:     b.Duration("length", 20e3),
		Allocators: b.Int("allocators", 2, 1, 5000),
		Owners:     b.Int("owners", 2, 1, 1000),
		Zones:      b.Strings("zones", []string{"hall-a", "hall-b"}),
		Limits:     config.ReadLimits(b.Block("limits")),
	}
	if s.Length <= 0 {
		b.AddProblem("length", "the day has no length", `write one such as length = "20s"`)
	}
	if len(s.Zones) == 0 {
		b.AddProblem("zones", "zones is empty", `write at least one, such as ["hall-a"]`)
	}
	config.ReadPlacement(b, &s.Settings, &s.Kinds, &s.Groups)
	for _, k := range b.Blocks("kind") {
		s.Counts = append(s.Counts, k.Int("count", 4, 0, 100000))
	}
	s.State.Disk = b.Block("state").Duration("disk", 0)
	s.readLoad(b)
	s.readModels(b)
	s.readGangs(b)
	for _, f := range b.Named("fault") {
		s.readFault(f)
	}
	return s, b.Finish()
}

func (s *Script) readLoad(b *config.Block) {
	load := b.Block("load")
	s.Owner = OwnerModel{
		Rate:      load.Float("rate", 14, 0, 1e5),
		Again:     load.Duration("again", 1500),
		Tries:     load.Int("tries", 6, 1, 100),
		Slack:     load.Duration("slack", 8),
		Insists:   load.Bool("insists", false),
		Withdraws: load.Float("withdraws", 0.02, 0, 1),
	}
	s.Node.Groups = map[string]*GroupModel{}
	total := 0.0
	groups := b.Blocks("group")
	for i, g := range groups {
		if i >= len(s.Settings.Groups) {
			break
		}
		d := Demand{
			Name: g.Name, Share: g.Float("share", 1, 0, 1e6), Life: g.Duration("life", 10e3),
			Shapes:  g.FloatPairs("shapes", [][2]float64{{0.5, 1}, {1, 2}}),
			Pending: g.Duration("pending", 6e3), Services: g.Int("services", 12, 1, 100000),
			Effect: s.Settings.Groups[i].Idempotency,
		}
		if len(d.Shapes) == 0 {
			g.AddProblem("shapes", "shapes is empty", "write pairs of cores and memory such as [[0.5, 1]]")
		}
		total += d.Share
		s.Demand = append(s.Demand, d)
		s.Node.Groups[g.Name] = &GroupModel{
			Work: g.Duration("work", 60), Cores: g.Float("cores_used", 0.5, 0, 10),
			Memory: g.Float("memory_used", 0.7, 0, 10), Rank: g.Int("rank", 0, 0, 100),
		}
	}
	for i := range s.Demand {
		s.Demand[i].Share /= max(total, 1e-9)
	}
}

func (s *Script) readModels(b *config.Block) {
	rules := b.Block("rules")
	s.Drain = rules.Duration("drain_grace", 1e3)
	n := b.Block("node")
	m := &s.Node
	m.OverCores = n.Float("over_cores", 2.5, 0.1, 100)
	m.OverMemory = n.Float("over_memory", 1.5, 0.1, 100)
	m.Admit = n.Duration("admit", 15)
	m.Line = n.Int("line", 16, 1, 1e6)
	m.Starts = n.Int("starts", 3, 1, 1e6)
	m.Setup = n.Float("setup", 8, 1, 1000)
	m.Kept = n.Int("kept", 8, 0, 1e6)
	m.ReportEvery = n.Duration("report_every", 250)
	m.Away = n.OneOf("drained", "keeps", "keeps", "paced", "at-once")
	m.TellsDrain = n.Bool("tells_drain", true)
	m.Overload = rules.Float("overload", 3, 1, 100)
	m.ConfirmsRunning = s.Settings.ConfirmsRunning
	m.ColdFrom, m.ColdFor = s.Settings.InitialRate, s.Settings.WarmUpDuration
	m.ColdBears, m.OverloadFor = s.Settings.WarmUpBudget, s.Settings.OverloadWindow
	if m.ReportEvery < 10 {
		n.AddProblem("report_every", "report_every is under 10ms", `write a longer one, such as "250ms"`)
	}
	l := b.Block("list")
	s.List = ListModel{
		Ask: s.Settings.PolledDiscovery, Lag: l.Duration("lag", 500), Every: l.Duration("every", 250),
		Notice: l.Duration("notice", 2e3), LinesPerSec: l.Float("lines_per_second", 0, 0, 1e9),
		CallTimeout: l.Duration("call_timeout", 2e3),
	}
	if s.List.Every < 10 {
		l.AddProblem("every", "every is under 10ms", `write a longer one, such as "250ms"`)
	}
}

func (s *Script) readFault(b *config.Block) {
	kind := b.Name
	if k := b.String("kind", ""); k != "" {
		kind = k
	}
	known, ok := faultKinds[kind]
	if !ok {
		names := make([]string, 0, len(faultKinds))
		for k := range faultKinds {
			names = append(names, k)
		}
		slices.Sort(names)
		b.AddProblem("kind", fmt.Sprintf("a fault of kind %q is not known", kind),
			"give it the name of a kind, or a kind = of "+strings.Join(names, ", "))
	}
	f := Fault{
		Kind: kind, At: b.Duration("at", s.Length/3), For: b.Duration("for", 5e3), Every: b.Duration("every", known.every),
		Part: b.Float("part", 0.25, 0, 1), Size: b.Float("size", known.size, known.least, max(known.most, known.size)),
		Group: b.String("group", ""), Zone: b.String("zone", ""), Wait: b.Duration("drain", 3e3),
	}
	if known.every > 0 && f.Every <= 0 {
		b.AddProblem("every", "every is no time", `write one such as "2s"`)
	}
	if f.Group != "" && !slices.Contains(s.Groups, f.Group) {
		b.AddProblem("group", fmt.Sprintf("group %q is not known", f.Group), fmt.Sprintf("write one of %q", s.Groups))
	}
	if kind == "throttle" && f.Group == "" {
		f.Group = firstOf(s.Groups)
	}
	if f.Zone != "" && !slices.Contains(s.Zones, f.Zone) {
		b.AddProblem("zone", fmt.Sprintf("zone %q is not known", f.Zone), fmt.Sprintf("write one of %q", s.Zones))
	}
	if kind == "hall-cut" && f.Zone == "" && len(s.Zones) > 0 {
		f.Zone = s.Zones[len(s.Zones)-1]
	}
	s.Faults = append(s.Faults, f)
}

// Nodes is the number of nodes of the day.
func (s *Script) Nodes() (n int) {
	for _, c := range s.Counts {
		n += c
	}
	return n
}

// Resize has the day played with other numbers of allocators and nodes, 0 to leave one. Load and the faults'
// reach follow the nodes.
func (s *Script) Resize(allocators, nodes int) {
	if allocators > 0 {
		s.Allocators = allocators
	}
	before := s.Nodes()
	if nodes <= 0 || before == 0 {
		return
	}
	left := nodes
	for i := range s.Counts {
		s.Counts[i] = s.Counts[i] * nodes / before
		left -= s.Counts[i]
	}
	s.Counts[0] += left
	s.Owner.Rate *= float64(nodes) / float64(before)
	for i := range s.Owner.Gangs {
		s.Owner.Gangs[i].Rate *= float64(nodes) / float64(before)
	}
	for i := range s.Demand {
		s.Demand[i].Services = max(1, s.Demand[i].Services*nodes/before)
	}
}

func firstOf(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// Stretch has the day last for another time; its faults come and go in proportion.
func (s *Script) Stretch(length placement.Millis) {
	by := length / s.Length
	s.Length = length
	for i := range s.Faults {
		f := &s.Faults[i]
		f.At *= by
		f.For *= by
	}
}

// Load has the day ask for that share of the cores of all nodes, in the mean: groups and single workloads grow
// alike.
func (s *Script) Load(share float64) {
	cores, wanted := 0.0, 0.0
	for i, n := range s.Counts {
		cores += float64(n) * s.Settings.NodeKinds[i].Cores
	}
	for _, d := range s.Demand {
		mean := 0.0
		for _, shape := range d.Shapes {
			mean += shape[0] / float64(len(d.Shapes))
		}
		wanted += s.Owner.Rate * d.Share * mean * float64(d.Life) / 1000
	}
	for _, g := range s.Owner.Gangs {
		wanted += g.Rate * float64(g.Parts) * g.Shape[0] * float64(g.Life) / 1000
	}
	if wanted <= 0 {
		return
	}
	s.Owner.Rate *= share * cores / wanted
	for i := range s.Owner.Gangs {
		s.Owner.Gangs[i].Rate *= share * cores / wanted
	}
}

// inherit has a script take what it does not say from one that comes with the program.
func inherit(b *config.Block, like string) error {
	if !slices.Contains(Names(), like) {
		b.AddProblem("like", fmt.Sprintf("no script is named %q", like), "write one of "+strings.Join(Names(), ", "))
		return b.Finish()
	}
	src, err := scripts.ReadFile("scripts/" + like + ".hcl")
	if err != nil {
		return err
	}
	from, err := config.Parse(like+".hcl", src)
	if err != nil {
		return err
	}
	b.Inherit(from)
	return nil
}
