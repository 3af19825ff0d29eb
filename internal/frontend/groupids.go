package frontend

import "grebeglade/placement"

// GroupIDs finds the groups of the settings by their names in the protocol.
type GroupIDs struct{ byName map[string]placement.GroupID }

// NewGroupIDs returns the ids of the groups of these names, which are in the order of the settings' groups.
func NewGroupIDs(names []string) GroupIDs {
	byName := make(map[string]placement.GroupID, len(names))
	for i, name := range names {
		byName[name] = placement.GroupID(i)
	}
	return GroupIDs{byName: byName}
}

// Lookup returns the id of the group of that name, and whether there is one.
func (g GroupIDs) Lookup(name string) (placement.GroupID, bool) {
	id, configured := g.byName[name]
	return id, configured
}
