package settings

import (
	"fmt"

	"grebeglade/placement"
)

// Keys that are read in more than one place.
const (
	keyDiscovery     = "discovery"
	keyConfirms      = "family_info.confirms"
	keyReportCounts  = "family_info.report_counts"
	keyKindCores     = "family_info.kind_cores"
	keySpreadScopes  = "family_info.apart_by"
	keyRequestGroups = "request_classes"
)

var idempotencies = map[string]placement.Idempotency{
	"read_like":       placement.Idempotent,
	"idempotency_key": placement.IdempotentByKey,
	"non_idempotent":  placement.AtMostOnce,
}

var scopes = map[string]placement.Scope{
	"off":     placement.ScopeNone,
	"machine": placement.ScopeNode,
	"cell":    placement.ScopeCell,
	"zone":    placement.ScopeZone,
	"all":     placement.ScopeAll,
}

var (
	discoveryIsPolled = map[string]bool{"subscribe": true, "automatic": false}
	confirmMeansRuns  = map[string]bool{"running": true, "accepted": false}
	reportCountsInUse = map[string]bool{"used": true, "asked": false}
)

// decode converts values by path. The first that is missing or unusable is the error.
func decode(values map[string]string) (*Received, error) {
	r := &reader{values: values}
	s := r.clusterSettings()
	s.NodeKinds = r.kinds()
	s.Groups = r.groups()
	received := &Received{
		Settings:       s,
		ReportFields:   r.list("report.fields"),
		GroupNames:     r.groupNames(len(s.Groups)),
		KindNames:      r.optionalList("kinds"),
		ZoneNames:      r.optionalList("zones"),
		ConnectTimeout: r.optionalMillis("permissions.connect_timeout_ns"),
		IdleTimeout:    r.optionalMillis("permissions.keepalive_ns"),
	}
	if r.err != nil {
		return nil, r.err
	}
	return received, nil
}

// clusterSettings reads what holds for all kinds and groups.
func (r *reader) clusterSettings() placement.Settings {
	s := placement.Settings{
		Allocators:           int(r.number("balancers")),
		Ordinal:              int(r.number("ordinal")),
		WarmUpDuration:       r.millis("contract.cold_ns"),
		InitialRate:          r.number("contract.cold_from"),
		WarmUpBudget:         r.number("family_info.cold_bears"),
		OverloadWindow:       r.millis("contract.overload_for_ns"),
		PolledDiscovery:      oneOf(r, keyDiscovery, r.text(keyDiscovery), discoveryIsPolled),
		ConfirmsRunning:      oneOf(r, keyConfirms, r.text(keyConfirms), confirmMeansRuns),
		ReportsUsage:         oneOf(r, keyReportCounts, r.text(keyReportCounts), reportCountsInUse),
		EntriesCarryCapacity: r.boolean("family_info.free_in_list"),
		MaxBinds:             int(r.number("permissions.most_tries")),
		HealthChecksAllowed:  r.boolean("permissions.probes"),
	}
	if s.PolledDiscovery {
		s.PollInterval = r.millis("contract.ask_within_ns")
	}
	return s
}

func (r *reader) kinds() []placement.NodeKind {
	var kinds []placement.NodeKind
	for i := range r.list(keyKindCores) {
		kinds = append(kinds, placement.NodeKind{
			Cores:  r.numberAt(keyKindCores, i),
			Memory: r.numberAt("family_info.memory_by_kind", i),
		})
	}
	return kinds
}

func (r *reader) groups() []placement.Group {
	var groups []placement.Group
	for i := 0; i < int(r.number(keyRequestGroups+".count")) && r.err == nil; i++ {
		groups = append(groups, r.group(i))
	}
	return groups
}

// group reads the priority group with that number: its own object, and its element of each list over all groups.
func (r *reader) group(i int) placement.Group {
	own := groupKey(i, "")
	g := placement.Group{
		LatencyObjective:       r.millis(own + "aim_ns"),
		PriorityWeight:         r.number(own + "value"),
		Idempotency:            oneOf(r, own+"effect", r.text(own+"effect"), idempotencies),
		MaxPerScope:            int(r.numberAt("family_info.spread_most", i)),
		FullServiceUtilization: r.numberAt("family_info.calm_level", i),
		DegradationRange:       r.numberAt("family_info.lost_after", i),
		RequiredKind:           int(r.numberAt("family_info.kind_by_class", i)),
		SpreadScope:            oneOf(r, keySpreadScopes, r.element(keySpreadScopes, i), scopes),
	}
	if g.Idempotency == placement.IdempotentByKey {
		g.KeyScope = oneOf(r, own+"dedup_scope", r.text(own+"dedup_scope"), scopes)
		g.KeyWindow = r.millis(own + "window_ns")
	}
	return g
}

// groupNames returns the names of n groups, "" for one without a name.
func (r *reader) groupNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, r.optionalText(groupKey(i, "name")))
	}
	return names
}

func groupKey(i int, name string) string { return fmt.Sprintf("%s.%d.%s", keyRequestGroups, i, name) }
