package native

import (
	"slices"

	"grebeglade/internal/frontend"
	"grebeglade/internal/gang"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// catalog translates protocol names of priority groups and node kinds to their indexes in the settings. A name that is
// not configured gets the index after the last one.
type catalog struct {
	settings   placement.Settings // all but the variants of WithSpreadVariants
	groupNames []string
	kindNames  []string
	groupIDs   frontend.GroupIDs
}

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

// workload converts a request to the engine's type.
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

// idempotency returns a group's idempotency. A group that is not configured counts as idempotent.
func (t *catalog) idempotency(group string) placement.Idempotency {
	if id, configured := t.groupIDs.Lookup(group); configured {
		return t.settings.Groups[id].Idempotency
	}
	return placement.Idempotent
}

// gangRequest converts a request for a gang to the type of the gang's state machine. The timeout, in ms, is the
// remainder of the client's timeout, or 0 for a recovering gang.
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

// gangPart converts a part of a gang to the type of the gang's state machine. Its size is its largest share of the
// cores or memory of a node, over all kinds, and at most 1.
func (t *catalog) gangPart(r *pb.PlaceRequest) gang.Part {
	part := gang.Part{Idempotency: t.idempotency(r.Group)}
	for _, kind := range t.settings.NodeKinds {
		part.Size = max(part.Size, min(1, r.Cores/kind.Cores), min(1, r.Memory/kind.Memory))
	}
	return part
}

// fitsSomeKind reports whether a request is within the size of at least one kind of node. Unlike on the platform,
// an oversized request is still passed to the engine; the result only selects the reason of its rejection.
func (t *catalog) fitsSomeKind(r *pb.PlaceRequest) bool {
	return frontend.FitsSomeKind(t.settings.NodeKinds, r.Cores, r.Memory)
}
