package settings

import (
	"fmt"

	"grebeglade/placement"
)

// Paths of settings.
const (
	keyDiscovery     = "discovery"
	keyConfirms      = "family_info.confirms"
	keyReportCounts  = "family_info.report_counts"
	keyKindCores     = "family_info.kind_cores"
	keySpreadScopes  = "family_info.apart_by"
	keyRequestGroups = "request_classes"
)

// idempotencies maps the names of a group's idempotency in the settings to its values.
var idempotencies = map[string]placement.Idempotency{
	"read_like":       placement.Idempotent,
	"idempotency_key": placement.IdempotentByKey,
	"non_idempotent":  placement.AtMostOnce,
}

// scopes maps the names of scopes in the settings to their values. A scope is the set of nodes that share idempotency
// keys, or to which a limit on the workloads of a service applies.
var scopes = map[string]placement.Scope{
	"off":     placement.ScopeNone,
	"machine": placement.ScopeNode,
	"cell":    placement.ScopeCell,
	"zone":    placement.ScopeZone,
	"all":     placement.ScopeAll,
}

// Names of settings with two values, mapped to booleans. Each comment describes the true value.
var (
	polledDiscovery = map[string]bool{"subscribe": true, "automatic": false} // changes are sent to subscribers only
	confirmsRunning = map[string]bool{"running": true, "accepted": false}    // a confirmed workload is running
	reportsUsage    = map[string]bool{"used": true, "asked": false}          // spare values are resources not in use
)

// decode decodes values by path. The error is a *KeyError for the first value that is missing or invalid.
func decode(values map[string]string) (*Received, error) {
	input := &reader{values: values}
	settings := input.clusterSettings()
	settings.NodeKinds = input.kinds()
	settings.Groups = input.groups()
	received := &Received{
		Settings:       settings,
		ReportFields:   input.list("report.fields"),
		GroupNames:     input.groupNames(len(settings.Groups)),
		KindNames:      input.optionalList("kinds"),
		ZoneNames:      input.optionalList("zones"),
		ConnectTimeout: input.optionalMillis("permissions.connect_timeout_ns"),
		IdleTimeout:    input.optionalMillis("permissions.keepalive_ns"),
	}
	if input.err != nil {
		return nil, input.err
	}
	return received, nil
}

// clusterSettings reads the settings that apply to the whole cluster.
func (r *reader) clusterSettings() placement.Settings {
	settings := placement.Settings{
		Allocators:           int(r.number("balancers")),
		Ordinal:              int(r.number("ordinal")),
		WarmUpDuration:       r.millis("contract.cold_ns"),
		InitialRate:          r.number("contract.cold_from"),
		WarmUpBudget:         r.number("family_info.cold_bears"),
		OverloadWindow:       r.millis("contract.overload_for_ns"),
		PolledDiscovery:      choice(r, keyDiscovery, polledDiscovery),
		ConfirmsRunning:      choice(r, keyConfirms, confirmsRunning),
		ReportsUsage:         choice(r, keyReportCounts, reportsUsage),
		EntriesCarryCapacity: r.boolean("family_info.free_in_list"),
		MaxBinds:             int(r.number("permissions.most_tries")),
		HealthChecksAllowed:  r.boolean("permissions.probes"),
	}
	if settings.PolledDiscovery {
		settings.PollInterval = r.millis("contract.ask_within_ns")
	}
	return settings
}

// kinds reads the node kinds.
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

// groups reads the priority groups.
func (r *reader) groups() []placement.Group {
	var groups []placement.Group
	for i := 0; i < int(r.number(keyRequestGroups+".count")) && r.err == nil; i++ {
		groups = append(groups, r.group(i))
	}
	return groups
}

// group reads the priority group at index i, from its own object and from element i of each list with one value per
// group.
func (r *reader) group(i int) placement.Group {
	own := groupKey(i, "")
	group := placement.Group{
		LatencyObjective:       r.millis(own + "aim_ns"),
		PriorityWeight:         r.number(own + "value"),
		Idempotency:            choice(r, own+"effect", idempotencies),
		MaxPerScope:            int(r.numberAt("family_info.spread_most", i)),
		FullServiceUtilization: r.numberAt("family_info.calm_level", i),
		DegradationRange:       r.numberAt("family_info.lost_after", i),
		RequiredKind:           int(r.numberAt("family_info.kind_by_class", i)),
		SpreadScope:            parseChoice(r, keySpreadScopes, r.element(keySpreadScopes, i), scopes),
	}
	if group.Idempotency == placement.IdempotentByKey {
		group.KeyScope = choice(r, own+"dedup_scope", scopes)
		group.KeyWindow = r.millis(own + "window_ns")
	}
	return group
}

// groupNames reads the names of n groups. The name is "" for a group without one.
func (r *reader) groupNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, r.optionalText(groupKey(i, "name")))
	}
	return names
}

// groupKey returns the path of the setting with the given name in the group at index i.
func groupKey(i int, name string) string { return fmt.Sprintf("%s.%d.%s", keyRequestGroups, i, name) }
