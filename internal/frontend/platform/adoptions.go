package platform

import (
	"errors"
	"fmt"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// unlistedTimeout, in ms, is how long the discovery service has to be connected after a handover, in all, until a
// workload on a node that the endpoint list does not contain has ended. The list may be 4 s late.
const unlistedTimeout = placement.Millis(6000)

// maxUnlistedName is the maximum length in bytes of the name of a node that the endpoint list does not contain.
const maxUnlistedName = 255

// errNodeName is the reason for which a handover is rejected as invalid. It is only logged.
var errNodeName = errors.New("name of an unlisted node is too long")

// adoptions handles the running workloads that clients hand over. Nothing in a handover proves that its workload
// exists, and there is no message that asks a node. Therefore a handover gets no more memory and capacity than it needs
// until its node reports on the workload:
//
//   - Up to workloadTable.limit of them are passed to the engine at once, so that rules on the spread of services count
//     them. Their requests count as far as the node list confirms them.
//   - Others are held in compact form. Their ends are passed on all the same; they are passed to the engine once the
//     node reports on them.
type adoptions struct {
	*environment
	clients      *clientConns
	workloads    *workloadTable
	handovers    *handoverTable
	nodes        *nodeTable
	conns        *nodeConns
	binder       *binder
	subscription *subscription
	earlyEnds    earlyEnds
	forgotten    forgottenHandovers
}

// checkNode returns an error if a node's name is too long and the endpoint list does not contain it.
func (a *adoptions) checkNode(name string) error {
	if len(name) > maxUnlistedName && a.nodes.byName[name] == nil {
		return fmt.Errorf("%w: %d bytes", errNodeName, len(name))
	}
	return nil
}

// adopt adds a workload that runs on a node. running has no id. A repeated request has no effect.
func (a *adoptions) adopt(
	now placement.Millis, client *clientConn, request *codec.AdoptRequest, running placement.Workload,
) {
	if a.workloads.getByTag(request.Tag) != nil || a.handovers.contains(request.Tag) {
		return
	}
	if end, ok := a.earlyEnds.of(request.Tag, request.Node); ok {
		a.clients.notifyEnd(ended{client: client.id, tag: request.Tag, cause: end.cause})
		return
	}
	if a.nodes.wasRemoved(request.Node) {
		a.clients.notifyEnd(ended{client: client.id, tag: request.Tag, cause: codec.CauseReset, unverified: true})
		return
	}
	if a.workloads.idsExhausted() {
		a.net.Send(client.id, codec.NewTermination(request.Tag, codec.CauseNoCapacity))
		return
	}
	a.forgotten.remove(request.Tag)
	client.prove(handedOver)
	client.placed++
	a.counters.Adopted++
	added := handover{
		node:    a.nodeOf(now, client, request.Node),
		client:  client.id,
		at:      now,
		service: running.Service,
		cores:   float32(running.Cores),
		memory:  float32(running.Memory),
		group:   running.Group,
	}
	if !a.workloads.adoptionsFull() {
		a.passToEngine(now, request.Tag, added, running)
		return
	}
	if a.handovers.full() {
		a.evict(now)
	}
	a.handovers.add(request.Tag, added)
	a.conns.watch(now, added.node)
	a.conns.connect(now, added.node)
}

// nodeOf returns the node with the given name, and adds it if the table does not contain it. If the endpoint list does
// not contain the node, or contains it as removed, endUnlisted ends its workloads later.
func (a *adoptions) nodeOf(now placement.Millis, client *clientConn, name string) *node {
	n := a.nodes.byName[name]
	if n != nil && (n.entry.State != placement.Removed || a.nodes.isUnlisted(n)) {
		return n
	}
	if a.nodes.unlistedFull() {
		for _, evicted := range a.nodes.unlistedEvictionOrder() {
			a.endNode(now, evicted)
		}
	}
	return a.nodes.addUnlisted(a.subscription.connectedTime(now), name, client.id)
}

// passToEngine adds the workload of a handover to the workload table and the engine.
func (a *adoptions) passToEngine(
	now placement.Millis, tag codec.Tag, h handover, running placement.Workload,
) *workload {
	added := a.workloads.addRunning(tag, h.client)
	running.ID = added.id
	a.binder.adopt(now, added, running, h)
	return added
}

// reportedOn passes a compact handover to the engine, since its node has reported on the workload. It returns nil if
// there is none with that tag on the node, or no id is left.
func (a *adoptions) reportedOn(now placement.Millis, n *node, tag codec.Tag) *workload {
	if a.workloads.idsExhausted() {
		return nil
	}
	h, ok := a.handovers.takeOn(n, tag)
	if !ok {
		return nil
	}
	return a.passToEngine(now, tag, h, placement.Workload{
		Service: h.service,
		Group:   h.group,
		Cores:   float64(h.cores),
		Memory:  float64(h.memory),
	})
}

// verify records that the node of an adopted workload has reported on it.
func (a *adoptions) verify(w *workload) {
	if !w.unverified() {
		return
	}
	w.verified = true
	if c := a.clients.get(w.client); c != nil {
		c.confirmed++
		c.prove(proven)
	}
}

// withdraw ends the workload of a compact handover at its client's request. It returns false if there is none.
func (a *adoptions) withdraw(now placement.Millis, tag codec.Tag) bool {
	h, ok := a.handovers.take(tag)
	if ok {
		a.counters.Withdrawn++
		a.conns.releaseTag(now, release{node: h.node, tag: tag, unverified: true})
	}
	return ok
}

// terminated handles a node's termination of a workload that is not in the engine: that of a compact handover, or of
// one that may be handed over later.
func (a *adoptions) terminated(n *node, termination *codec.Termination) {
	h, ok := a.handovers.takeOn(n, termination.Tag)
	if !ok && a.forgotten.takeOn(n, termination.Tag) {
		a.clients.notifyEnd(ended{tag: termination.Tag, cause: termination.Cause})
		return
	}
	if !ok {
		a.earlyEnds.add(termination.Tag, earlyEnd{node: n.name, cause: termination.Cause})
		return
	}
	a.clients.notifyEnd(ended{
		client: h.client,
		tag:    termination.Tag,
		cause:  termination.Cause,
	})
}

// processRestarted ends the workloads of compact handovers on a node whose process has started at the given time, and
// returns their number.
func (a *adoptions) processRestarted(n *node, startedAt placement.Millis) (count int) {
	tags := a.handovers.on(n, startedAt)
	for _, tag := range tags {
		h, _ := a.handovers.take(tag)
		a.counters.Lost++
		a.clients.notifyEnd(ended{
			client:     h.client,
			tag:        tag,
			cause:      codec.CauseReset,
			unverified: true,
		})
	}
	return len(tags)
}

// evict removes compact handovers to make room. If the client is still connected, it is told that its workload has
// ended, and the node ends it. Otherwise nobody could be told: the workload, if it exists, goes on, and its end is
// passed on as long as it is remembered.
func (a *adoptions) evict(now placement.Millis) {
	evicted := a.handovers.evicted(a.listedRequests)
	for _, tag := range evicted {
		h, _ := a.handovers.take(tag)
		a.counters.EvictedHandovers++
		if a.clients.get(h.client) == nil || a.net.IsClosed(h.client) {
			a.forgotten.add(tag, h.node.id)
			continue
		}
		a.net.Send(h.client, codec.NewTermination(tag, codec.CauseReset))
		a.conns.releaseTag(now, release{node: h.node, tag: tag, unverified: true})
	}
	a.log.Warn("too many workloads handed over, some ended", "workloads", len(evicted), "held", len(a.handovers.byTag))
}

// listedRequests returns the resources that the endpoint list shows as requested on a node. Without that in the list,
// all resources of the node count as requested.
func (a *adoptions) listedRequests(n *node) (cores, memory float64) {
	kinds := a.config.Settings.NodeKinds
	if n.entry.State == placement.Removed || int(n.entry.Kind) >= len(kinds) {
		return 0, 0
	}
	size := kinds[n.entry.Kind]
	if !a.config.Settings.EntriesCarryCapacity {
		return size.Cores, size.Memory
	}
	return size.Cores - n.entry.FreeCores, size.Memory - n.entry.FreeMemory
}

// endUnlisted ends the workloads on nodes that the endpoint list has not contained, although the discovery service was
// connected for unlistedTimeout.
func (a *adoptions) endUnlisted(now placement.Millis) {
	connected := a.subscription.connectedTime(now)
	for _, n := range a.nodes.unlisted() {
		if connected-n.addedAt >= unlistedTimeout || n.unused() {
			a.endNode(now, n)
		}
	}
}

// endNode ends the workloads on an unlisted node and removes it.
func (a *adoptions) endNode(now placement.Millis, n *node) {
	a.binder.processEnded(now, n, errUnlisted)
}
