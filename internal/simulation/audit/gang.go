package audit

import (
	"cmp"
	"maps"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// complete is the value of the time since which a gang is incomplete, while it is not.
const complete = placement.Millis(-1)

// gangAuditor follows the parts of gangs at the nodes, and checks that gangs start together or not at all.
type gangAuditor struct {
	groups   map[string]placement.Group
	findings *Findings // where violations are reported

	gangs             map[requestRef]*gang
	parts             map[observer.BindKey]*gangPart // offered to nodes, and not ended
	partBinds         map[observer.BindKey]bool      // all binds of parts
	lastStop          map[observer.BindKey]frame     // of each part that was stopped
	stoppedAllocators map[string]bool
	coreTime          coreTime
	incomplete        int // gangs of which only a part ran for too long
}

// gang is a gang as the nodes show it.
type gang struct {
	ref             requestRef
	allocator       string
	minParts        int
	lease           placement.Millis
	running         map[uint32]*gangPart // by number of the part
	started         bool                 // its client was notified
	ending          bool                 // it started, and a part has finished
	incompleteSince placement.Millis     // since when some parts run and not enough, or complete
	reported        bool                 // as incomplete
	partRequests    map[uint64]*request  // by workload key
}

// newGangAuditor returns an auditor of gangs that reports violations in the findings.
func newGangAuditor(groups map[string]placement.Group, findings *Findings) gangAuditor {
	return gangAuditor{
		groups:            groups,
		findings:          findings,
		gangs:             map[requestRef]*gang{},
		parts:             map[observer.BindKey]*gangPart{},
		partBinds:         map[observer.BindKey]bool{},
		lastStop:          map[observer.BindKey]frame{},
		stoppedAllocators: map[string]bool{},
	}
}

// gangOf returns the gang that an offer belongs to.
func (a *gangAuditor) gangOf(offer *pb.Offer) *gang {
	ref := requestRef{offer.Client, offer.Request.RequestId}
	if a.gangs[ref] == nil {
		a.gangs[ref] = newGang(ref, offer)
	}
	g := a.gangs[ref]
	g.lease = max(g.lease, placement.Millis(offer.GetGang().GetLeaseMs()))
	return g
}

func newGang(ref requestRef, offer *pb.Offer) *gang {
	return &gang{
		ref:             ref,
		allocator:       offer.Bind.Allocator,
		minParts:        int(offer.GetGang().GetMinParts()),
		running:         map[uint32]*gangPart{},
		incompleteSince: complete,
		partRequests:    map[uint64]*request{},
	}
}

// setAllocatorRunning records whether an allocator runs. While it does not, ends of parts reach nobody, and nobody
// completes a gang that had started.
func (a *gangAuditor) setAllocatorRunning(now placement.Millis, name string, running bool) {
	a.stoppedAllocators[name] = !running
	for _, g := range a.gangs {
		if g.allocator == name && g.incompleteSince != complete {
			g.incompleteSince = now
		}
	}
}

// answered records that a gang has started, or checks that it may be rejected.
func (a *gangAuditor) answered(now placement.Millis, r *request) {
	g := a.gangs[r.ref]
	if g == nil {
		return // none of its parts was offered
	}
	switch r.verdict {
	case pb.Verdict_PLACED:
		g.started = true
	case pb.Verdict_REJECTED:
		a.checkRejection(now, g)
	case pb.Verdict_UNSCHEDULABLE, pb.Verdict_VERDICT_UNSPECIFIED:
		// Neither claims that a part runs, nor that none has run.
	}
}

// updateCompleteness records since when a gang is neither complete nor ended, once the set of its running parts has
// changed.
func (a *gangAuditor) updateCompleteness(now placement.Millis, g *gang) {
	a.checkIncomplete(now, g)
	count := len(g.running)
	switch {
	case count == 0 || count >= g.minParts || g.ending:
		g.incompleteSince = complete
	case g.incompleteSince == complete:
		g.incompleteSince = now
	}
}

// finish counts what still runs when the run has ended, and checks each gang a last time.
func (a *gangAuditor) finish(now placement.Millis) {
	for _, key := range a.sortedParts() {
		a.coreTime.addPart(now, a.parts[key])
	}
	for _, ref := range a.sortedGangs() {
		g := a.gangs[ref]
		a.checkIncomplete(now, g)
		a.checkPartBinds(now, g)
	}
}

// sortedGangs returns the references of the gangs in a fixed order.
func (a *gangAuditor) sortedGangs() []requestRef {
	return slices.SortedFunc(maps.Keys(a.gangs), func(x, y requestRef) int {
		return cmp.Or(
			cmp.Compare(x.client, y.client),
			cmp.Compare(x.number, y.number),
		)
	})
}
