package scenario

import (
	"fmt"
	"path"
	"slices"
	"strings"

	"grebeglade/config"
)

// Decode reads a parsed script. All problems found in it are returned as one error.
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
		SettleTime: b.Duration("settle", 1500),
		Length:     b.Duration("length", 20e3),
		Allocators: b.Int("allocators", 2, 1, 5000),
		Clients:    b.Int("owners", 2, 1, 1000),
		Zones:      b.Strings("zones", []string{"hall-a", "hall-b"}),
		Limits:     config.ReadLimits(b.Block("limits")),
	}
	if s.Length <= 0 {
		b.AddProblem("length", "the day has no length", `write one such as length = "20s"`)
	}
	if len(s.Zones) == 0 {
		b.AddProblem("zones", "zones is empty", `write at least one, such as ["hall-a"]`)
	}
	config.ReadPlacement(b, &s.Settings, &s.NodeKinds, &s.Groups)
	for _, k := range b.Blocks("kind") {
		s.NodeCounts = append(s.NodeCounts, k.Int("count", 4, 0, 100000))
	}
	s.Storage.SyncTime = b.Block("state").Duration("disk", 0)
	s.readClient(b)
	s.readGroups(b)
	s.readNode(b)
	s.readDiscovery(b)
	s.readGangs(b)
	for _, f := range b.Named("fault") {
		s.readFault(f)
	}
	return s, b.Finish()
}

// inherit takes what a script does not say from one that comes with the program.
func inherit(b *config.Block, like string) error {
	if !slices.Contains(Names(), like) {
		b.AddProblem("like", fmt.Sprintf("no script is named %q", like), "write one of "+strings.Join(Names(), ", "))
		return b.Finish()
	}
	from, err := parseEmbedded(like)
	if err != nil {
		return err
	}
	b.Inherit(from)
	return nil
}

func (s *Script) readClient(b *config.Block) {
	load := b.Block("load")
	s.Client = ClientModel{
		Rate:                   load.Float("rate", 14, 0, 1e5),
		RetryDelay:             load.Duration("again", 1500),
		MaxAttempts:            load.Int("tries", 6, 1, 100),
		AnswerSlack:            load.Duration("slack", 8),
		RetriesAfterDisconnect: load.Bool("insists", false),
		WithdrawShare:          load.Float("withdraws", 0.02, 0, 1),
	}
}

func (s *Script) readGroups(b *config.Block) {
	s.Node.Groups = map[string]*GroupModel{}
	total := 0.0
	groups := b.Blocks("group")
	for i, g := range groups {
		if i >= len(s.Settings.Groups) {
			break
		}
		d := Demand{
			Name:           g.Name,
			Share:          g.Float("share", 1, 0, 1e6),
			Lifetime:       g.Duration("life", 10e3),
			Shapes:         g.FloatPairs("shapes", [][2]float64{{0.5, 1}, {1, 2}}),
			PendingTimeout: g.Duration("pending", 6e3),
			Services:       g.Int("services", 12, 1, 100000),
			Idempotency:    s.Settings.Groups[i].Idempotency,
		}
		if len(d.Shapes) == 0 {
			g.AddProblem("shapes", "shapes is empty", "write pairs of cores and memory such as [[0.5, 1]]")
		}
		total += d.Share
		s.Demand = append(s.Demand, d)
		s.Node.Groups[g.Name] = &GroupModel{
			StartTime:    g.Duration("work", 60),
			CoreUse:      g.Float("cores_used", 0.5, 0, 10),
			MemoryUse:    g.Float("memory_used", 0.7, 0, 10),
			EvictionRank: g.Int("rank", 0, 0, 100),
		}
	}
	for i := range s.Demand {
		s.Demand[i].Share /= max(total, 1e-9)
	}
}

func (s *Script) readNode(b *config.Block) {
	rules := b.Block("rules")
	s.DrainGrace = rules.Duration("drain_grace", 1e3)
	n := b.Block("node")
	m := &s.Node
	m.CoreOvercommit = n.Float("over_cores", 2.5, 0.1, 100)
	m.MemoryOvercommit = n.Float("over_memory", 1.5, 0.1, 100)
	m.AdmissionTime = n.Duration("admit", 15)
	m.QueueLimit = n.Int("line", 16, 1, 1e6)
	m.ConcurrentStarts = n.Int("starts", 3, 1, 1e6)
	m.UncachedStartFactor = n.Float("setup", 8, 1, 1000)
	m.CachedPrograms = n.Int("kept", 8, 0, 1e6)
	m.ReportInterval = n.Duration("report_every", 250)
	m.DrainMode = DrainMode(n.OneOf("drained", string(DrainKeeps), string(DrainKeeps), string(DrainPaced), string(DrainAtOnce)))
	m.AnnouncesDrain = n.Bool("tells_drain", true)
	m.OverloadFactor = rules.Float("overload", 3, 1, 100)
	m.ConfirmsRunning = s.Settings.ConfirmsRunning
	m.InitialRate = s.Settings.InitialRate
	m.WarmUpDuration = s.Settings.WarmUpDuration
	m.WarmUpBudget = s.Settings.WarmUpBudget
	m.OverloadWindow = s.Settings.OverloadWindow
	if m.ReportInterval < 10 {
		n.AddProblem("report_every", "report_every is under 10ms", `write a longer one, such as "250ms"`)
	}
}

func (s *Script) readDiscovery(b *config.Block) {
	l := b.Block("list")
	s.Discovery = DiscoveryModel{
		Polled:           s.Settings.PolledDiscovery,
		Lag:              l.Duration("lag", 500),
		PushInterval:     l.Duration("every", 250),
		RemovalDelay:     l.Duration("notice", 2e3),
		EntriesPerSecond: l.Float("lines_per_second", 0, 0, 1e9),
		CallTimeout:      l.Duration("call_timeout", 2e3),
	}
	if s.Discovery.PushInterval < 10 {
		l.AddProblem("every", "every is under 10ms", `write a longer one, such as "250ms"`)
	}
}

func (s *Script) readGangs(b *config.Block) {
	for _, g := range b.Named("gang") {
		d := GangDemand{
			Group:          g.String("group", firstName(s.Groups)),
			Rate:           g.Float("rate", 0.3, 0, 1e4),
			Parts:          g.Int("parts", 4, 1, 1000),
			Lifetime:       g.Duration("life", 8e3),
			PendingTimeout: g.Duration("pending", 8e3),
			SpreadScope:    g.OneOf("spread", "", "", "node", "cell", "zone"),
			Replace:        g.Bool("replace", false),
			ReplaceTimeout: g.Duration("replace_within", 3e3),
			Shape:          [2]float64{g.Float("cores", 2, 0.001, 1e6), g.Float("memory", 4, 0.001, 1e9)},
		}
		d.MinParts = g.Int("need", d.Parts, 1, d.Parts)
		at := slices.Index(s.Groups, d.Group)
		if at < 0 {
			g.AddProblem("group", fmt.Sprintf("group %q is not known", d.Group), fmt.Sprintf("write one of %q", s.Groups))
			continue
		}
		d.Idempotency = s.Settings.Groups[at].Idempotency
		s.Client.Gangs = append(s.Client.Gangs, d)
	}
	s.Client.GangPolicy = Together
}

// firstName returns the first of the names, or "" if there is none.
func firstName(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}
