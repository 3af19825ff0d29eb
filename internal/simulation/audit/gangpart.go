package audit

import (
	"cmp"
	"maps"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// notRunning is the value of gangPart.runningSince while the part does not run.
const notRunning = placement.Millis(-1)

// gangPart is one part of a gang on a node.
type gangPart struct {
	gang         *gang
	number       uint32
	node         uint32
	runningSince placement.Millis // time since which the part runs, or notRunning
	cores        float64
	offer        frame
}

// partRequest returns the request under which the binds of a part are checked. Each part has its own, with its own
// workload key.
func (a *gangAuditor) partRequest(gangRequest *request, offer *pb.Offer) *request {
	g := a.gangOf(offer)
	part := g.partRequests[offer.Request.Key]
	if part == nil {
		part = &request{
			ref:           gangRequest.ref,
			spec:          offer.Request,
			allocator:     gangRequest.allocator,
			clientView:    clientView{noAnswerDue: true},
			allocatorView: allocatorView{received: true},
		}
		g.partRequests[offer.Request.Key] = part
	}
	// A part of a placed gang may be replaced; a part of a rejected or unschedulable gang must not be offered.
	part.verdict = pb.Verdict_VERDICT_UNSPECIFIED
	if gangRequest.verdict == pb.Verdict_REJECTED || gangRequest.verdict == pb.Verdict_UNSCHEDULABLE {
		part.verdict = gangRequest.verdict
	}
	part.withdrawn = gangRequest.withdrawn
	return part
}

// partOffered records the offer of a part when a node receives it. Offers of other workloads are ignored.
func (a *gangAuditor) partOffered(node uint32, offer *pb.Offer, seen frame) {
	if offer.Gang == nil {
		return
	}
	key := observer.KeyOf(offer.Bind)
	a.partBinds[key] = true
	g := a.gangOf(offer)
	if a.parts[key] != nil {
		return
	}
	a.parts[key] = &gangPart{
		gang:         g,
		number:       offer.Gang.Part,
		node:         node,
		runningSince: notRunning,
		cores:        offer.Request.Cores,
		offer:        seen,
	}
}

// partReplied handles a node's reply to the offer of a part. Replies to other offers are ignored.
func (a *gangAuditor) partReplied(now placement.Millis, reply *pb.OfferReply) {
	key := observer.KeyOf(reply.Bind)
	part := a.parts[key]
	if part == nil {
		return
	}
	running := part.runningSince != notRunning
	switch {
	case reply.Accepted && !running:
		part.runningSince = now
		part.gang.running[part.number] = part
		a.updateCompleteness(now, part.gang)
	case !reply.Accepted && running:
		a.partEnded(now, key, pb.Reason_STOPPED)
	}
}

// partEnded handles the end of a part on its node. Ends of other binds are ignored.
func (a *gangAuditor) partEnded(now placement.Millis, key observer.BindKey, reason pb.Reason) {
	part := a.parts[key]
	if part == nil {
		return
	}
	g := part.gang
	a.coreTime.addPart(now, part)
	if reason == pb.Reason_FINISHED && g.started {
		g.ending = true
	}
	if g.running[part.number] == part {
		delete(g.running, part.number)
	}
	part.runningSince = notRunning
	delete(a.parts, key)
	a.updateCompleteness(now, g)
}

// reconcileNode handles a node's hello to an allocator, which lists that allocator's workloads on the node: all other
// parts have ended while the two were not connected.
func (a *gangAuditor) reconcileNode(now placement.Millis, node uint32, allocator string, hello *pb.Hello) {
	listed := runningBinds(hello)
	for _, key := range a.sortedParts() {
		part := a.parts[key]
		onConnection := part.node == node && key.Allocator == allocator
		running := part.runningSince != notRunning
		if onConnection && running && !listed[key] {
			a.partEnded(now, key, pb.Reason_LOST)
		}
	}
}

// nodeKilled ends the parts on a killed node.
func (a *gangAuditor) nodeKilled(now placement.Millis, node uint32) {
	for _, key := range a.sortedParts() {
		if a.parts[key].node == node {
			a.partEnded(now, key, pb.Reason_LOST)
		}
	}
}

// sortedParts returns the keys of the parts on nodes in a fixed order, so that floating-point sums over them do not
// depend on the map's iteration order.
func (a *gangAuditor) sortedParts() []observer.BindKey {
	return slices.SortedFunc(maps.Keys(a.parts), func(x, y observer.BindKey) int {
		return cmp.Or(
			cmp.Compare(x.Allocator, y.Allocator),
			cmp.Compare(x.Incarnation, y.Incarnation),
			cmp.Compare(x.Workload, y.Workload),
			cmp.Compare(x.Number, y.Number),
		)
	})
}

// coreTime is the core time of parts of gangs, in core seconds.
type coreTime struct {
	total  float64
	wasted float64 // core time of parts whose gang had not started when they ended
}

// addPart adds the core time of a part that runs until now; one that does not run adds none.
func (t *coreTime) addPart(now placement.Millis, part *gangPart) {
	if part.runningSince == notRunning {
		return
	}
	spent := float64(now-part.runningSince) / 1000 * part.cores
	t.total += spent
	if !part.gang.started {
		t.wasted += spent
	}
}

// wastedShare returns the wasted share of the total (0 to 1), or 0 if no part ran.
func (t *coreTime) wastedShare() float64 {
	if t.total == 0 {
		return 0
	}
	return t.wasted / t.total
}
