package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	// complete stands in place of the time since which a gang is incomplete.
	complete = placement.Millis(-1)
)

// gangAuditor follows the parts of gangs at the nodes.
type gangAuditor struct {
	gangs             map[requestRef]*gang
	parts             map[observer.BindKey]*gangPart // offered to nodes, and not ended
	partBinds         map[observer.BindKey]bool      // all binds of parts
	lastStop          map[observer.BindKey]partStop
	stoppedAllocators map[string]bool
	coreTime          float64 // core seconds for which parts ran
	wastedCoreTime    float64 // of that, in gangs that did not start
	incomplete        int     // gangs of which only a part ran for too long
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
	incompleteSince placement.Millis     // when some parts run and not enough, or complete
	reported        bool
	partRequests    map[uint64]*request // by workload key
}

func newGangAuditor() gangAuditor {
	return gangAuditor{
		gangs: map[requestRef]*gang{}, parts: map[observer.BindKey]*gangPart{}, partBinds: map[observer.BindKey]bool{},
		lastStop: map[observer.BindKey]partStop{}, stoppedAllocators: map[string]bool{},
	}
}

// IncompleteGangs returns the number of gangs of which only a part ran for too long, or was left.
func (a *Auditor) IncompleteGangs() int { return a.gangs.incomplete }

// gangOf returns the gang that an offer belongs to.
func (s *gangAuditor) gangOf(o *pb.Offer) *gang {
	ref := requestRef{o.Client, o.Request.RequestId}
	g := s.gangs[ref]
	if g == nil {
		g = &gang{
			ref: ref, minParts: int(o.GetGang().GetMinParts()), allocator: o.Bind.Allocator, running: map[uint32]*gangPart{},
			incompleteSince: complete, partRequests: map[uint64]*request{},
		}
		s.gangs[ref] = g
	}
	g.lease = max(g.lease, placement.Millis(o.GetGang().GetLeaseMs()))
	return g
}

// setAllocatorRunning records whether an allocator runs. While it does not, ends of parts reach nobody, and nobody completes a
// gang that had started.
func (s *gangAuditor) setAllocatorRunning(now placement.Millis, name string, running bool) {
	s.stoppedAllocators[name] = !running
	for _, g := range s.gangs {
		if g.allocator == name && g.incompleteSince != complete {
			g.incompleteSince = now
		}
	}
}

// gangAnswered records that a gang has started, or checks that it may be rejected.
func (a *Auditor) gangAnswered(now placement.Millis, r *request, verdict pb.Verdict) {
	g := a.gangs.gangs[r.ref]
	if g == nil {
		return
	}
	switch verdict {
	case pb.Verdict_PLACED:
		g.started = true
	case pb.Verdict_REJECTED:
		a.checkGangRejection(now, g)
	}
}

// updateGang records since when a gang is neither complete nor ended.
func (a *Auditor) updateGang(now placement.Millis, g *gang) {
	a.checkIncomplete(now, g)
	if n := len(g.running); n == 0 || n >= g.minParts || g.ending {
		g.incompleteSince = complete
	} else if g.incompleteSince == complete {
		g.incompleteSince = now
	}
}

// finishGangs counts what still runs when the run has ended, and checks each gang a last time.
func (a *Auditor) finishGangs(now placement.Millis) {
	for _, k := range a.gangs.sortedParts() {
		a.gangs.addCoreTime(now, a.gangs.parts[k])
	}
	refs := slices.SortedFunc(maps.Keys(a.gangs.gangs), func(x, y requestRef) int {
		return cmp.Or(cmp.Compare(x.client, y.client), cmp.Compare(x.number, y.number))
	})
	for _, ref := range refs {
		g := a.gangs.gangs[ref]
		a.checkIncomplete(now, g)
		for _, key := range slices.Sorted(maps.Keys(g.partRequests)) {
			if p := g.partRequests[key]; len(p.binds) > maxPartBinds {
				a.report(6, now, 0, p, fmt.Sprintf("a part of group %d of %s has had %d binds", g.ref.number, g.ref.client, len(p.binds)))
			}
		}
	}
}
