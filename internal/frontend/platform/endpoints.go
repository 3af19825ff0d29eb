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

// startTolerance is by how much, in ms, two readings of one start may differ: clocks are read anew each time.
const startTolerance = placement.Millis(20)

// endpointList applies the discovery service's events: to the engine, the table of nodes and the connections to them.
type endpointList struct {
	*environment
	nodes    *nodeTable
	conns    *nodeConns
	binder   *binder
	unixTime func() placement.Millis // the system's clock, as the platform states starts of nodes in it
}

// apply applies an event, given as the discovery service's data. An event that is not about nodes does nothing.
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

// applyCached applies an event as apply does, as a snapshot that was taken before this process started, and may be out
// of date.
func (l *endpointList) applyCached(now placement.Millis, event []byte) error {
	update, ok, err := codec.DecodeEndpoints(event)
	if err != nil || !ok {
		return err
	}
	l.applyUpdate(now, placement.CachedSnapshot, update)
	return nil
}

// applyUpdate applies an update of that kind: to the engine, and then to the nodes and the connections to them.
func (l *endpointList) applyUpdate(now placement.Millis, kind placement.NodeUpdateKind, update codec.EndpointUpdate) {
	entries := make([]placement.Node, 0, len(update.Endpoints))
	for i := range update.Endpoints {
		entries = append(entries, l.entry(now, &update.Endpoints[i]))
	}
	// Formatting a list of hundreds is slower than decoding it.
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

// entry returns an endpoint as the engine knows it.
func (l *endpointList) entry(now placement.Millis, endpoint *codec.Endpoint) placement.Node {
	known := l.nodes.intern(endpoint.Name)
	return placement.Node{
		ID:         known.id,
		State:      endpoint.State,
		Cell:       placement.CellID(endpoint.Cell),
		StartedAt:  l.startedAt(now, endpoint, known.entry.StartedAt),
		Kind:       placement.KindID(slices.Index(l.config.Settings.KindNames, endpoint.Kind)),
		Zone:       placement.ZoneID(slices.Index(l.config.Settings.ZoneNames, endpoint.Zone)),
		FreeCores:  endpoint.FreeCores,
		FreeMemory: endpoint.FreeMemory,
	}
}

// startedAt returns when a node started, on the clock of now. It returns the known time if the two are readings of the
// same start.
func (l *endpointList) startedAt(
	now placement.Millis, endpoint *codec.Endpoint, known placement.Millis,
) placement.Millis {
	if endpoint.StartedAt <= 0 {
		return placement.DistantPast
	}
	started := now + endpoint.StartedAt - l.unixTime()
	if max(known-started, started-known) < startTolerance {
		return known
	}
	return started
}

// update brings a node and the connection to it in line with its entry.
func (l *endpointList) update(now placement.Millis, entry placement.Node, endpoint *codec.Endpoint) {
	n := l.nodes.intern(endpoint.Name) // an earlier entry of the same list may have removed it
	moved := n.addr != "" && n.addr != endpoint.Address
	restarted := n.listed && n.entry.StartedAt != entry.StartedAt
	n.entry = entry
	n.listed = true
	// The node that had the address has ended, even if the list does not say so yet: an offer for it must not reach the
	// one that has the address now.
	if displaced := l.nodes.assignAddr(n, endpoint.Address); displaced != nil {
		l.conns.disconnectNode(now, displaced, errAddressTaken)
		l.binder.processEnded(now, displaced)
	}
	if moved {
		l.conns.disconnectNode(now, n, errAddressChanged)
	}
	switch {
	case entry.State == placement.Removed:
		l.binder.processEnded(now, n)
	case restarted:
		l.binder.processRestarted(now, n, entry.StartedAt)
	}
	if !n.dialing.revisitPending {
		l.conns.connect(now, n)
	}
}

// removeUnlisted removes the nodes that a snapshot does not name.
func (l *endpointList) removeUnlisted(now placement.Millis, entries []placement.Node) {
	listed := make(map[placement.NodeID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
	}
	for _, n := range frontend.SortedValues(l.nodes.byID) {
		if n.listed && !listed[n.id] {
			n.entry.State = placement.Removed
			l.binder.processEnded(now, n)
		}
	}
}
