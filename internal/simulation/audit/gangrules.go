package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// maxIncomplete is how long a part may run beyond its lease without the rest of its gang: leases run from acceptance, and
	// a node may be paused when one ends.
	maxIncomplete = placement.Millis(5e3)
	// stopRetryDelay is how long a stop may be unanswered before it is repeated.
	stopRetryDelay = placement.Millis(1e3)
	// maxPartBinds is the number of binds of one part. Each attempt at a gang and each replacement has those of an ordinary
	// workload; the limit guards against retries without end.
	maxPartBinds = 24
)

// partStop is the last stop of a part.
type partStop struct {
	conn transport.ConnID
	seen frame
}

func (a *Auditor) checkGangRejection(now placement.Millis, g *gang) {
	for _, key := range slices.Sorted(maps.Keys(g.partRequests)) {
		p := g.partRequests[key]
		if a.terms.Groups[p.ask.Group].Idempotency != placement.AtMostOnce {
			continue
		}
		for _, b := range p.binds {
			if !b.neverRan {
				a.report(2, now, b.node, p, "a group rejected although a part that must not run twice may have run")
				return
			}
		}
	}
}

// checkIncomplete reports, once, a gang that is incomplete for longer than its lease and maxIncomplete.
func (a *Auditor) checkIncomplete(now placement.Millis, g *gang) {
	if g.incompleteSince == complete || g.reported || g.started && a.gangs.stoppedAllocators[g.allocator] ||
		now-g.incompleteSince <= g.lease+maxIncomplete {
		return
	}
	g.reported = true
	a.gangs.incomplete++
	var frames []frame
	for _, number := range slices.Sorted(maps.Keys(g.running)) {
		frames = append(frames, g.running[number].seen)
	}
	slices.SortStableFunc(frames, func(x, y frame) int { return cmp.Compare(x.at, y.at) })
	a.report(6, now, 0, nil, fmt.Sprintf("group %d of %s has %d parts standing of %d needed for %.0f ms", g.ref.number, g.ref.client,
		len(g.running), g.minParts, now-g.incompleteSince), frames...)
}

// checkPartStop reports a stop that is repeated too early on the same connection.
func (a *Auditor) checkPartStop(now placement.Millis, c transport.ConnID, k observer.BindKey, seen frame) {
	if last, ok := a.gangs.lastStop[k]; ok && last.conn == c && now-last.seen.at < stopRetryDelay {
		a.report(6, now, 0, nil, "a part stopped twice", last.seen, seen)
	}
	a.gangs.lastStop[k] = partStop{c, seen}
}
