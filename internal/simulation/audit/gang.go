package audit

import (
	"cmp"
	"maps"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// complete is the value of gang.incompleteSince while the gang is not incomplete.
const complete = placement.Millis(-1)

// gangAuditor tracks the parts of gangs on the nodes, and checks that gangs start together or not at all.
type gangAuditor struct {
	groups   map[string]placement.Group
	findings *Findings // receives the violations

	gangs             map[requestRef]*gang
	parts             map[observer.BindKey]*gangPart // parts that were offered to nodes and have not ended
	partBinds         map[observer.BindKey]bool      // all binds of parts, including those that have ended
	lastStop          map[observer.BindKey]frame     // last stop of each part
	stoppedAllocators map[string]bool
	coreTime          coreTime
	incomplete        int // number of gangs that ran incomplete for too long
}

// gang is the state of a gang as observed at the nodes.
type gang struct {
	ref             requestRef
	allocator       string
	minParts        int
	lease           placement.Millis
	running         map[uint32]*gangPart // key: part number
	started         bool                 // the allocator has answered that the gang is placed
	ending          bool                 // a part has finished since the start
	incompleteSince placement.Millis     // time since which 1 to minParts-1 parts run; or complete
	reported        bool                 // already reported as incomplete
	partRequests    map[uint64]*request  // key: workload key
}

// newGangAuditor returns a gang auditor that adds violations to the findings.
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

// gangOf returns the gang to which an offer belongs, and adds it if there is none.
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

// setAllocatorRunning records whether an allocator runs. The time for which its gangs are incomplete restarts, since a
// stopped allocator neither receives ends of parts nor replaces the missing parts of a started gang.
func (a *gangAuditor) setAllocatorRunning(now placement.Millis, name string, running bool) {
	a.stoppedAllocators[name] = !running
	for _, g := range a.gangs {
		if g.allocator == name && g.incompleteSince != complete {
			g.incompleteSince = now
		}
	}
}

// answered handles the answer to a gang's request: it records the start, or checks the rejection.
func (a *gangAuditor) answered(now placement.Millis, r *request) {
	g := a.gangs[r.ref]
	if g == nil {
		return // no part was offered
	}
	switch r.verdict {
	case pb.Verdict_PLACED:
		g.started = true
	case pb.Verdict_REJECTED:
		a.checkRejection(now, g)
	case pb.Verdict_UNSCHEDULABLE, pb.Verdict_VERDICT_UNSPECIFIED:
		// These verdicts state neither that parts run nor that none has run.
	}
}

// updateCompleteness updates the time since which a gang is incomplete. It is called after the set of running parts has
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

// finish adds the core time of parts that still run at the end of the run, and checks each gang a last time.
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
