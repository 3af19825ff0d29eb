package config

import (
	"fmt"
	"slices"

	"grebeglade/placement"
)

const (
	maxKinds                = 200 // node kinds; a placement.KindID has 256 values
	defaultLatencyObjective = placement.Millis(1e3)
)

// Values of a group's "effect".
const (
	effectIdempotent      = "restartable"
	effectIdempotentByKey = "deduplicated"
	effectAtMostOnce      = "run-once"
)

// Values of the rules block's arguments "list", "confirms" and "reports".
const (
	discoveryPushed = "push"
	discoveryPolled = "ask"

	confirmsAccepted = "accepted"
	confirmsRunning  = "running"

	reportsUsed      = "used"
	reportsRequested = "asked"
)

var idempotencies = map[string]placement.Idempotency{
	effectIdempotent:      placement.Idempotent,
	effectIdempotentByKey: placement.IdempotentByKey,
	effectAtMostOnce:      placement.AtMostOnce,
}

var scopes = map[string]placement.Scope{
	"none": placement.ScopeNone,
	"node": placement.ScopeNode,
	"cell": placement.ScopeCell,
	"zone": placement.ScopeZone,
	"all":  placement.ScopeAll,
}

// ReadPlacement reads the blocks that allocator configurations and scenarios share: rules, node kinds and priority
// groups. It fills s, and appends the names of the kinds and groups in file order. Problems are recorded in root.
func ReadPlacement(root *Block, s *placement.Settings, kindNames, groupNames *[]string) {
	readRules(root.Block("rules"), s)
	readKinds(root, s, kindNames)
	for _, block := range root.Named("group") {
		*groupNames = append(*groupNames, block.Name)
		s.Groups = append(s.Groups, readGroup(block, *kindNames))
	}
	if len(s.Groups) == 0 {
		root.AddProblem("", "no priority group", `write at least one: group "NAME" { effect = "restartable" }`)
	}
}

func readRules(b *Block, s *placement.Settings) {
	s.WarmUpDuration = b.Duration("cold_for", 15e3)
	s.InitialRate = b.Float("cold_from", 0.25, 0, 1)
	s.WarmUpBudget = b.Float("cold_bears", 24, 0, 1e6)
	s.OverloadWindow = b.Duration("overload_for", 2e3)
	s.MaxBinds = b.Int("binds", 3, 1, 100)
	s.HealthChecksAllowed = b.Bool("probes", true)
	s.PolledDiscovery = b.OneOf("list", discoveryPushed, discoveryPushed, discoveryPolled) == discoveryPolled
	s.PollInterval = b.Duration("ask_within", 10e3)
	s.ConfirmsRunning = b.OneOf("confirms", confirmsAccepted, confirmsAccepted, confirmsRunning) == confirmsRunning
	s.ReportsUsage = b.OneOf("reports", reportsUsed, reportsUsed, reportsRequested) == reportsUsed
	s.EntriesCarryCapacity = b.Bool("room_in_list", true)
}

// readKinds reads the kind blocks into s, and appends their names.
func readKinds(root *Block, s *placement.Settings, names *[]string) {
	for _, block := range root.Named("kind") {
		*names = append(*names, block.Name)
		s.NodeKinds = append(s.NodeKinds, placement.NodeKind{
			Cores:  block.Float("cores", 16, 0.001, 1e6),
			Memory: block.Float("memory", 32, 0.001, 1e9),
		})
	}
	if len(s.NodeKinds) == 0 {
		root.AddProblem("", "no node kind", `write at least one: kind "NAME" { cores = 16  memory = 32 }`)
	}
	if len(s.NodeKinds) > maxKinds {
		problem := fmt.Sprintf("%d node kinds", len(s.NodeKinds))
		root.AddProblem("", problem, fmt.Sprintf("keep %d at most", maxKinds))
	}
}

func readGroup(b *Block, kindNames []string) placement.Group {
	group := placement.Group{
		LatencyObjective: b.Duration("target", defaultLatencyObjective),
		PriorityWeight:   b.Float("utility", 1, 0, 1e9),
		Idempotency: idempotencies[b.OneOf("effect", effectIdempotent,
			effectIdempotent, effectIdempotentByKey, effectAtMostOnce)],
		KeyScope:               scopes[b.OneOf("dedup_scope", "none", "none", "node", "cell", "zone", "all")],
		KeyWindow:              b.Duration("dedup_window", 0),
		SpreadScope:            scopes[b.OneOf("spread", "none", "none", "node", "cell", "zone")],
		MaxPerScope:            b.Int("spread_most", 1, 1, 1e6),
		FullServiceUtilization: b.Float("calm", 0, 0, 1),
		DegradationRange:       b.Float("fade", 0.2, 0, 1),
		RequiredKind:           readRequiredKind(b, kindNames),
	}
	checkIdempotency(b, &group)
	if group.SpreadScope == placement.ScopeNone && b.Has("spread_most") {
		b.AddProblem("spread_most", "spread_most is given without spread", `add spread = "node", "cell" or "zone"`)
	}
	return group
}

// checkIdempotency reports a group that is idempotent by key without a key scope and window, or the reverse.
func checkIdempotency(b *Block, group *placement.Group) {
	byKey := group.Idempotency == placement.IdempotentByKey
	if byKey && (group.KeyScope == placement.ScopeNone || group.KeyWindow <= 0) {
		problem := fmt.Sprintf("group %q is deduplicated and does not say where and for how long", b.Name)
		b.AddProblem("effect", problem, `add dedup_scope = "cell" and dedup_window = "5s"`)
	}
	if !byKey && (b.Has("dedup_scope") || b.Has("dedup_window")) {
		problem := fmt.Sprintf("group %q has a dedup scope or window but is not deduplicated", b.Name)
		b.AddProblem("dedup_scope", problem, `write effect = "deduplicated", or leave them out`)
	}
}

// readRequiredKind returns the index of the node kind that a group's workloads require, or placement.AnyKind.
func readRequiredKind(b *Block, kindNames []string) int {
	name := b.String("kind", "")
	if name == "" {
		return placement.AnyKind
	}
	kind := slices.Index(kindNames, name)
	if kind < 0 {
		b.AddProblem("kind", fmt.Sprintf("kind %q is not known", name), fmt.Sprintf("write one of %q", kindNames))
	}
	return kind
}
