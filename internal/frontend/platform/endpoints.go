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

// sameStart is the most, in ms, by which two readings of one start differ: clocks are read anew each time.
const sameStart = placement.Millis(20)

// endpointList applies the discovery service's events: to the engine, the table of nodes and the connections to them.
type endpointList struct {
	*environment
	nodes    *nodeTable
	conns    *nodeConns
	binder   *binder
	unixTime func() placement.Millis // the system's clock, as the platform states starts of nodes in it
}

// apply applies an event, given as the discovery service's data. What was known at the start may be the cached list. An
// event about something else than nodes does nothing.
func (l *endpointList) apply(now placement.Millis, event []byte, cached bool) error {
	update, ok, err := codec.DecodeEndpoints(event)
	if err != nil || !ok {
		return err
	}
	entries := make([]placement.Node, 0, len(update.Endpoints))
	for i := range update.Endpoints {
		entries = append(entries, l.entry(now, &update.Endpoints[i]))
	}
	kind := placement.Delta
	switch {
	case cached:
		kind = placement.CachedSnapshot
	case update.Snapshot:
		kind = placement.Snapshot
	}
	if l.log.Enabled(context.Background(), slog.LevelDebug) { // writing a list of hundreds takes longer than reading it
		l.log.Debug("endpoint list", "kind", kind, "endpoints", fmt.Sprint(update.Endpoints))
	}
	l.host.Engine().UpdateNodes(now, kind, entries)
	for i, entry := range entries {
		l.update(now, entry, &update.Endpoints[i])
	}
	if kind != placement.Delta {
		l.removeUnlisted(now, entries)
	}
	return nil
}

// entry returns an endpoint as the engine knows it.
func (l *endpointList) entry(now placement.Millis, e *codec.Endpoint) placement.Node {
	known := l.nodes.intern(e.Name)
	n := placement.Node{
		ID:         known.id,
		State:      e.State,
		Cell:       placement.CellID(e.Cell),
		StartedAt:  placement.DistantPast,
		Kind:       placement.KindID(slices.Index(l.config.Settings.KindNames, e.Kind)),
		Zone:       placement.ZoneID(slices.Index(l.config.Settings.ZoneNames, e.Zone)),
		FreeCores:  e.FreeCores,
		FreeMemory: e.FreeMemory,
	}
	if e.StartedAt > 0 {
		n.StartedAt = now + e.StartedAt - l.unixTime()
		if before := known.entry.StartedAt; max(before-n.StartedAt, n.StartedAt-before) < sameStart {
			n.StartedAt = before
		}
	}
	return n
}

// update brings a node and the connection to it in line with its entry.
func (l *endpointList) update(now placement.Millis, entry placement.Node, e *codec.Endpoint) {
	n := l.nodes.intern(e.Name)
	addr := e.Address // an earlier entry of the same list may have removed it
	moved := n.addr != "" && n.addr != addr
	restarted := n.listed && n.entry.StartedAt != entry.StartedAt
	n.entry = entry
	n.listed = true
	// The node that had the address has ended, even if the list does not say so yet: an offer for it must not reach the
	// one that has the address now.
	if displaced := l.nodes.assignAddr(n, addr); displaced != nil {
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
	if !n.dialing.evicted {
		l.conns.connect(now, n)
	}
}

// removeUnlisted removes the nodes that a whole list does not name.
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
