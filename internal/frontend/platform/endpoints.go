package platform

import (
	"context"
	"fmt"
	"log/slog"
	"slices"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// startTolerance, in ms, is the difference below which two start times of a node are considered equal.
const startTolerance = placement.Millis(20)

// endpointList applies the discovery service's events to the engine, the node table and the node connections.
type endpointList struct {
	*environment
	nodes  *nodeTable
	conns  *nodeConns
	binder *binder
	clock  *wallClock
}

// apply implements eventHandler. Events that are not about nodes are ignored.
func (l *endpointList) apply(now placement.Millis, event []byte) error {
	update, ok, err := codec.DecodeEndpoints(event)
	if err != nil || !ok {
		return err
	}
	kind := placement.Delta
	if update.Snapshot {
		kind = placement.Snapshot
	}
	l.applyUpdate(now, kind, update)
	return nil
}

// applyCached applies an event as a cached snapshot: it was taken before this process started and may be out of date.
func (l *endpointList) applyCached(now placement.Millis, event []byte) error {
	update, ok, err := codec.DecodeEndpoints(event)
	if err != nil || !ok {
		return err
	}
	l.applyUpdate(now, placement.CachedSnapshot, update)
	return nil
}

// applyUpdate applies an update of the given kind, first to the engine, then to the node table and the connections.
func (l *endpointList) applyUpdate(now placement.Millis, kind placement.NodeUpdateKind, update codec.EndpointUpdate) {
	entries := make([]placement.Node, 0, len(update.Endpoints))
	for i := range update.Endpoints {
		entries = append(entries, l.entry(now, &update.Endpoints[i]))
	}
	// Guarded, since formatting a list of hundreds of endpoints is slower than decoding it.
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug("endpoint list", "kind", kind, "endpoints", fmt.Sprint(update.Endpoints))
	}
	l.host.Engine().UpdateNodes(now, kind, entries)
	for i, entry := range entries {
		l.update(now, entry, &update.Endpoints[i])
	}
	if kind != placement.Delta {
		l.removeUnlisted(now, entries)
	}
}

// entry converts an endpoint to the engine's form. It adds the node to the table if it is new.
func (l *endpointList) entry(now placement.Millis, endpoint *codec.Endpoint) placement.Node {
	current := l.nodes.intern(endpoint.Name)
	return placement.Node{
		ID:         current.id,
		State:      endpoint.State,
		Cell:       placement.CellID(endpoint.Cell),
		StartedAt:  l.startedAt(now, endpoint, current),
		Kind:       placement.KindID(slices.Index(l.config.Settings.KindNames, endpoint.Kind)),
		Zone:       placement.ZoneID(slices.Index(l.config.Settings.ZoneNames, endpoint.Zone)),
		FreeCores:  endpoint.FreeCores,
		FreeMemory: endpoint.FreeMemory,
	}
}

// startedAt returns the start time of a node's process on the clock of now, or DistantPast if the endpoint has none.
// The result changes only if the list's own time has changed, so that a step of the wall clock is no restart.
func (l *endpointList) startedAt(now placement.Millis, endpoint *codec.Endpoint, current *node) placement.Millis {
	if max(endpoint.StartedAt-current.listedStart, current.listedStart-endpoint.StartedAt) < startTolerance {
		return current.entry.StartedAt
	}
	current.listedStart = endpoint.StartedAt
	if endpoint.StartedAt <= 0 {
		return placement.DistantPast
	}
	return l.clock.convert(now, endpoint.StartedAt)
}

// update applies a new entry to a node and its connection.
func (l *endpointList) update(now placement.Millis, entry placement.Node, endpoint *codec.Endpoint) {
	n := l.nodes.intern(endpoint.Name) // an earlier entry of the same list may have removed the node
	moved := n.addr != "" && n.addr != endpoint.Address
	restarted := n.listed && n.entry.StartedAt != entry.StartedAt
	n.entry = entry
	l.nodes.markListed(n)
	// The process of the node that had the address before has ended, even if the list still has the node. Its
	// connection is closed, since an offer for it must not reach the node that has the address now.
	if displaced := l.nodes.assignAddr(n, endpoint.Address); displaced != nil {
		l.conns.disconnectNode(now, displaced, errAddressTaken)
		l.binder.processEnded(now, displaced, errAddressTaken)
	}
	if moved {
		l.conns.disconnectNode(now, n, errAddressChanged)
	}
	switch {
	case entry.State == placement.Removed:
		l.binder.processEnded(now, n, errNodeRemoved)
	case restarted:
		l.binder.processRestarted(now, n, entry.StartedAt, errRestarted)
	}
	if !n.dialing.evictedRedialPending {
		l.conns.connect(now, n)
	}
}

// removeUnlisted removes the listed nodes that a snapshot does not contain.
func (l *endpointList) removeUnlisted(now placement.Millis, entries []placement.Node) {
	listed := make(map[placement.NodeID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for _, n := range frontend.SortedValues(l.nodes.byID) {
		if n.listed && !listed[n.id] {
			n.entry.State = placement.Removed
			l.binder.processEnded(now, n, errNodeRemoved)
		}
	}
}
