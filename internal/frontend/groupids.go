package frontend

import "grebeglade/placement"

// GroupIDs maps the names of groups in the protocol to the ids of the groups in the settings.
type GroupIDs struct{ byName map[string]placement.GroupID }

// NewGroupIDs returns the ids for the given names, which must be in the order of the settings' groups.
func NewGroupIDs(names []string) GroupIDs {
	byName := make(map[string]placement.GroupID, len(names))
	for i, name := range names {
		byName[name] = placement.GroupID(i)
	}
	return GroupIDs{byName: byName}
}

// Lookup returns the id of the group with the given name, and whether the settings have such a group.
func (g GroupIDs) Lookup(name string) (placement.GroupID, bool) {
	id, configured := g.byName[name]
	return id, configured
}
