package native

import (
	"slices"

	"grebeglade/placement"
)

// spreadScope is a topology scope in which a gang may have at most one part, with its protocol name.
type spreadScope struct {
	name  string
	scope placement.Scope
}

// spreadScopes are the scopes that a gang may request. Each group of the settings has a variant for each of them,
// so that the placement module does not need to handle gangs.
var spreadScopes = []spreadScope{
	{"node", placement.ScopeNode},
	{"cell", placement.ScopeCell},
	{"zone", placement.ScopeZone},
}

// WithSpreadVariants returns the settings with the variants of each group added after the groups themselves.
func WithSpreadVariants(s placement.Settings) placement.Settings {
	base := s.Groups
	s.Groups = slices.Clone(base)
	for _, spread := range spreadScopes {
		for _, g := range base {
			g.SpreadScope = spread.scope
			g.MaxPerScope = 1
			s.Groups = append(s.Groups, g)
		}
	}
	return s
}

// groupNamesWithVariants are the names of the groups that WithSpreadVariants returns, as they are shown in traces.
func groupNamesWithVariants(base []string) []string {
	names := slices.Clone(base)
	for _, spread := range spreadScopes {
		for _, name := range base {
			names = append(names, name+" apart by "+spread.name)
		}
	}
	return names
}

// spreadVariant is the number of a group's variant for a scope's name, or the group itself for "".
func spreadVariant(group placement.GroupID, name string, groups int) placement.GroupID {
	i := slices.IndexFunc(spreadScopes, func(s spreadScope) bool { return s.name == name })
	return group + placement.GroupID((i+1)*groups)
}

// validSpread reports whether a gang may request that scope.
func validSpread(name string) bool {
	return name == "" || slices.ContainsFunc(spreadScopes, func(s spreadScope) bool { return s.name == name })
}
