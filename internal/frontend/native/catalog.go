package native

import (
	"slices"

	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// catalog translates the protocol's names of priority groups and node kinds to the numbers of the settings. A name that
// is not configured gets the number after the last.
type catalog struct {
	settings   placement.Settings // without the variants of WithSpreadVariants
	groupNames []string
	kindNames  []string
	groups     map[string]int
}

func newCatalog(c Config) *catalog {
	t := &catalog{settings: c.Settings, groupNames: c.GroupNames, kindNames: c.KindNames, groups: make(map[string]int, len(c.GroupNames))}
	for i, name := range c.GroupNames {
		t.groups[name] = i
	}
	return t
}

// hasGroup reports whether a priority group is configured.
func (t *catalog) hasGroup(name string) bool {
	_, ok := t.groups[name]
	return ok
}

func (t *catalog) groupID(name string) placement.GroupID {
	if i, ok := t.groups[name]; ok {
		return placement.GroupID(i)
	}
	return placement.GroupID(len(t.groupNames))
}

// kindID returns the number of a node kind, and whether it is configured.
func (t *catalog) kindID(name string) (placement.KindID, bool) {
	if i := slices.Index(t.kindNames, name); i >= 0 {
		return placement.KindID(i), true
	}
	return placement.KindID(len(t.kindNames)), false
}

// workload is a request as the engine takes it.
func (t *catalog) workload(id placement.WorkloadID, r *pb.PlaceRequest) placement.Workload {
	return placement.Workload{
		ID: id, Service: placement.ServiceID(r.Service), Group: t.groupID(r.Group),
		Cores: r.Cores, Memory: r.Memory, PendingTimeout: placement.Millis(r.PendingTimeoutMs), Retried: r.Retried,
	}
}

// effect is what a second start of a group's workloads does.
func (t *catalog) effect(group string) placement.Idempotency {
	if i, ok := t.groups[group]; ok {
		return t.settings.Groups[i].Idempotency
	}
	return placement.Idempotent
}

// gangPart is a part of a gang as the gang's state machine takes it. Its size is its largest share of a node of any kind.
func (t *catalog) gangPart(r *pb.PlaceRequest) gang.Part {
	part := gang.Part{Idempotency: t.effect(r.Group)}
	for _, k := range t.settings.NodeKinds {
		part.Size = max(part.Size, min(1, r.Cores/k.Cores), min(1, r.Memory/k.Memory))
	}
	return part
}

// fitsSomeKind reports whether a request is within the size of any kind of node.
func (t *catalog) fitsSomeKind(r *pb.PlaceRequest) bool {
	return slices.ContainsFunc(t.settings.NodeKinds, func(k placement.NodeKind) bool {
		return r.Cores <= k.Cores && r.Memory <= k.Memory
	})
}
