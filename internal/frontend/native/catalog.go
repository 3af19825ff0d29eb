package native

import (
	"slices"

	"grebeglade/internal/frontend"
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
	groupIDs   frontend.GroupIDs
}

// newCatalog makes a catalog of the configured names.
func newCatalog(c Config) *catalog {
	return &catalog{
		settings:   c.Settings,
		groupNames: c.GroupNames,
		kindNames:  c.KindNames,
		groupIDs:   frontend.NewGroupIDs(c.GroupNames),
	}
}

// hasGroup reports whether a priority group is configured.
func (t *catalog) hasGroup(name string) bool {
	_, configured := t.groupIDs.Lookup(name)
	return configured
}

// groupID returns the number of a priority group.
func (t *catalog) groupID(name string) placement.GroupID {
	if id, configured := t.groupIDs.Lookup(name); configured {
		return id
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
func (t *catalog) workload(id placement.WorkloadID, request *pb.PlaceRequest) placement.Workload {
	return placement.Workload{
		ID:             id,
		Service:        placement.ServiceID(request.Service),
		Group:          t.groupID(request.Group),
		Cores:          request.Cores,
		Memory:         request.Memory,
		PendingTimeout: placement.Millis(request.PendingTimeoutMs),
		Retried:        request.Retried,
	}
}

// idempotency is what a second start of a group's workloads does. Those of an unknown group are taken as idempotent.
func (t *catalog) idempotency(group string) placement.Idempotency {
	if id, configured := t.groupIDs.Lookup(group); configured {
		return t.settings.Groups[id].Idempotency
	}
	return placement.Idempotent
}

// gangRequest is a request for a gang as the gang's state machine takes it. The timeout is what is left of the
// client's.
func (t *catalog) gangRequest(r *pb.GangRequest, timeout placement.Millis) gang.Request {
	request := gang.Request{
		MinParts:       int(r.MinParts),
		PendingTimeout: timeout,
		ReplaceTimeout: placement.Millis(r.ReplaceTimeoutMs),
	}
	if r.Replace {
		request.OnLoss = gang.ReplaceOnLoss
	}
	for _, part := range r.Parts {
		request.Parts = append(request.Parts, t.gangPart(part))
	}
	return request
}

// gangPart is a part of a gang as the gang's state machine takes it. Its size is its largest share of a node of any
// kind.
func (t *catalog) gangPart(r *pb.PlaceRequest) gang.Part {
	part := gang.Part{Idempotency: t.idempotency(r.Group)}
	for _, kind := range t.settings.NodeKinds {
		part.Size = max(part.Size, min(1, r.Cores/kind.Cores), min(1, r.Memory/kind.Memory))
	}
	return part
}

// fitsSomeKind reports whether a request is within the size of any kind of node. Unlike on the platform, one that is
// not reaches the engine all the same, and this only explains its rejection.
func (t *catalog) fitsSomeKind(r *pb.PlaceRequest) bool {
	return frontend.FitsSomeKind(t.settings.NodeKinds, r.Cores, r.Memory)
}
