package scenario

import (
	"fmt"
	"path"
	"slices"
	"strings"

	"grebeglade/config"
	"grebeglade/placement"
)

const (
	minReportInterval = placement.Millis(10) // shortest interval in ms of load reports, and of discovery pushes
	minTotalShare     = 1e-9                 // avoids a division by zero when shares are normalized
)

// Decode decodes a parsed script. All problems that it finds are returned as one error.
func Decode(block *config.Block) (*Script, error) {
	file := block.File()
	if like := block.String("like", ""); like != "" {
		if err := inherit(block, like); err != nil {
			return nil, err
		}
	}
	script := &Script{
		Name:       strings.TrimSuffix(path.Base(file), ".hcl"),
		About:      block.String("about", ""),
		SettleTime: block.Duration("settle", 1500),
		Length:     block.Duration("length", 20e3),
		Allocators: block.Int("allocators", 2, 1, 5000),
		Clients:    block.Int("owners", 2, 1, 1000),
		Zones:      block.Strings("zones", []string{"hall-a", "hall-b"}),
		Limits:     config.ReadLimits(block.Block("limits")),
	}
	if script.Length <= 0 {
		block.AddProblem("length", "length is not a positive time", `write one such as length = "20s"`)
	}
	if len(script.Zones) == 0 {
		block.AddProblem("zones", "zones is empty", `write at least one, such as ["hall-a"]`)
	}
	config.ReadPlacement(block, &script.Settings, &script.NodeKinds, &script.Groups)
	for _, kind := range block.Blocks("kind") {
		script.NodeCounts = append(script.NodeCounts, kind.Int("count", 4, 0, 100000))
	}
	script.Storage.SyncTime = block.Block("state").Duration("disk", 0)
	script.readClient(block)
	script.readGroups(block)
	script.readNode(block)
	script.readDiscovery(block)
	script.readGangs(block)
	for _, fault := range block.Named("fault") {
		script.readFault(fault)
	}
	return script, block.Finish()
}

// inherit adds the settings that a script does not have. It takes them from the embedded script with the name like.
func inherit(block *config.Block, like string) error {
	if !slices.Contains(Names(), like) {
		known := strings.Join(Names(), ", ")
		block.AddProblem("like", fmt.Sprintf("no script is named %q", like), "write one of "+known)
		return block.Finish()
	}
	from, err := parseEmbedded(like)
	if err != nil {
		return err
	}
	block.Inherit(from)
	return nil
}

// readClient reads how clients send and retry requests.
func (s *Script) readClient(block *config.Block) {
	load := block.Block("load")
	s.Client = ClientModel{
		Rate:                   load.Float("rate", 14, 0, 1e5),
		RetryDelay:             load.Duration("again", 1500),
		MaxAttempts:            load.Int("tries", 6, 1, 100),
		AnswerSlack:            load.Duration("slack", 8),
		RetriesAfterDisconnect: load.Bool("insists", false),
		WithdrawShare:          load.Float("withdraws", 0.02, 0, 1),
	}
}

// readGroups reads the demand of each priority group, and how its workloads behave on nodes. Shares are normalized to
// a sum of 1.
func (s *Script) readGroups(block *config.Block) {
	s.Node.Groups = map[string]*GroupModel{}
	total := 0.0
	for i, group := range block.Blocks("group") {
		if i >= len(s.Settings.Groups) {
			break // the settings have rejected the remaining groups
		}
		demand := readDemand(group)
		demand.Idempotency = s.Settings.Groups[i].Idempotency
		total += demand.Share
		s.Demand = append(s.Demand, demand)
		s.Node.Groups[group.Name] = &GroupModel{
			StartTime:    group.Duration("work", 60),
			CoreUse:      group.Float("cores_used", 0.5, 0, 10),
			MemoryUse:    group.Float("memory_used", 0.7, 0, 10),
			EvictionRank: group.Int("rank", 0, 0, 100),
		}
	}
	for i := range s.Demand {
		s.Demand[i].Share /= max(total, minTotalShare)
	}
}

// readDemand reads the demand of one priority group, except its idempotency.
func readDemand(group *config.Block) Demand {
	demand := Demand{
		Name:           group.Name,
		Share:          group.Float("share", 1, 0, 1e6),
		Lifetime:       group.Duration("life", 10e3),
		Shapes:         group.FloatPairs("shapes", [][2]float64{{0.5, 1}, {1, 2}}),
		PendingTimeout: group.Duration("pending", 6e3),
		Services:       group.Int("services", 12, 1, 100000),
	}
	if len(demand.Shapes) == 0 {
		group.AddProblem("shapes", "shapes is empty", "write pairs of cores and memory such as [[0.5, 1]]")
	}
	return demand
}

// readNode reads how nodes behave. Properties of nodes that are also allocator settings are taken from the settings.
func (s *Script) readNode(block *config.Block) {
	rules := block.Block("rules")
	s.DrainGrace = rules.Duration("drain_grace", 1e3)
	node := block.Block("node")
	model := &s.Node
	model.CoreOvercommit = node.Float("over_cores", 2.5, 0.1, 100)
	model.MemoryOvercommit = node.Float("over_memory", 1.5, 0.1, 100)
	model.AdmissionTime = node.Duration("admit", 15)
	model.QueueLimit = node.Int("line", 16, 1, 1e6)
	model.ConcurrentStarts = node.Int("starts", 3, 1, 1e6)
	model.UncachedStartFactor = node.Float("setup", 8, 1, 1000)
	model.CachedPrograms = node.Int("kept", 8, 0, 1e6)
	model.ReportInterval = node.Duration("report_every", 250)
	drainModes := []string{string(DrainKeeps), string(DrainPaced), string(DrainAtOnce)}
	model.DrainMode = DrainMode(node.OneOf("drained", string(DrainKeeps), drainModes...))
	model.AnnouncesDrain = node.Bool("tells_drain", true)
	model.OverloadFactor = rules.Float("overload", 3, 1, 100)
	model.ConfirmsRunning = s.Settings.ConfirmsRunning
	model.InitialRate = s.Settings.InitialRate
	model.WarmUpDuration = s.Settings.WarmUpDuration
	model.WarmUpBudget = s.Settings.WarmUpBudget
	model.OverloadWindow = s.Settings.OverloadWindow
	if model.ReportInterval < minReportInterval {
		node.AddProblem("report_every", "report_every is under 10ms", `write a longer one, such as "250ms"`)
	}
}

// readDiscovery reads how the discovery service behaves.
func (s *Script) readDiscovery(block *config.Block) {
	list := block.Block("list")
	s.Discovery = DiscoveryModel{
		Polled:           s.Settings.PolledDiscovery,
		Lag:              list.Duration("lag", 500),
		PushInterval:     list.Duration("every", 250),
		RemovalDelay:     list.Duration("notice", 2e3),
		EntriesPerSecond: list.Float("lines_per_second", 0, 0, 1e9),
		CallTimeout:      list.Duration("call_timeout", 2e3),
	}
	if s.Discovery.PushInterval < minReportInterval {
		list.AddProblem("every", "every is under 10ms", `write a longer one, such as "250ms"`)
	}
}

// readGangs reads the demand for gangs. It reports gangs of undefined groups as problems, and skips them.
func (s *Script) readGangs(block *config.Block) {
	for _, gang := range block.Named("gang") {
		demand := s.readGang(gang)
		at := slices.Index(s.Groups, demand.Group)
		if at < 0 {
			s.addUnknownGroup(gang, demand.Group)
			continue
		}
		demand.Idempotency = s.Settings.Groups[at].Idempotency
		s.Client.Gangs = append(s.Client.Gangs, demand)
	}
	s.Client.GangPolicy = Together
}

// readGang reads the demand for gangs of one kind, except their idempotency.
func (s *Script) readGang(gang *config.Block) GangDemand {
	demand := GangDemand{
		Group:          gang.String("group", firstName(s.Groups)),
		Rate:           gang.Float("rate", 0.3, 0, 1e4),
		Parts:          gang.Int("parts", 4, 1, 1000),
		Lifetime:       gang.Duration("life", 8e3),
		PendingTimeout: gang.Duration("pending", 8e3),
		SpreadScope:    gang.OneOf("spread", "", "", "node", "cell", "zone"),
		Replace:        gang.Bool("replace", false),
		ReplaceTimeout: gang.Duration("replace_within", 3e3),
		Shape:          [2]float64{gang.Float("cores", 2, 0.001, 1e6), gang.Float("memory", 4, 0.001, 1e9)},
	}
	demand.MinParts = gang.Int("need", demand.Parts, 1, demand.Parts)
	return demand
}

// addUnknownGroup adds a problem for a block with a priority group that the script does not define.
func (s *Script) addUnknownGroup(block *config.Block, group string) {
	block.AddProblem("group", fmt.Sprintf("group %q is not known", group), fmt.Sprintf("write one of %q", s.Groups))
}

// firstName returns the first of the names, or "" if there is none.
func firstName(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}
