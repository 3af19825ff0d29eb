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
	// maxIncomplete is the time, in ms, for which a gang may be incomplete beyond its lease: leases run from
	// acceptance, and a node may be paused when a lease expires.
	maxIncomplete = placement.Millis(5e3)
	// stopRetryDelay is the minimum time, in ms, before an unanswered stop is repeated on the same connection.
	stopRetryDelay = placement.Millis(1e3)
	// maxPartBinds is the maximum number of binds of one part. Each attempt to place a gang and each replacement may
	// use as many binds as an ordinary workload; the limit detects endless retries.
	maxPartBinds = 24
)

// checkRejection reports a rejection of a gang with an at-most-once part that may have run: a rejection means that a
// retry is safe. A gang is reported once, even if several such parts may have run.
func (a *gangAuditor) checkRejection(now placement.Millis, g *gang) {
	for _, key := range slices.Sorted(maps.Keys(g.partRequests)) {
		part := g.partRequests[key]
		if a.groups[part.spec.Group].Idempotency != placement.AtMostOnce {
			continue
		}
		if b := part.bindThatMayHaveRun(); b != nil {
			a.findings.report(ruleIdempotency, now, b.node, part,
				"a group rejected although a part that must not run twice may have run")
			return
		}
	}
}

// checkIncomplete reports a gang that is incomplete for longer than its lease plus maxIncomplete. Each gang is reported
// at most once.
func (a *gangAuditor) checkIncomplete(now placement.Millis, g *gang) {
	if g.reported || !a.incompleteTooLong(now, g) {
		return
	}
	g.reported = true
	a.incomplete++
	message := fmt.Sprintf("group %d of %s has %d parts standing of %d needed for %.0f ms",
		g.ref.number, g.ref.client, len(g.running), g.minParts, now-g.incompleteSince)
	a.findings.report(ruleGang, now, 0, nil, message, g.runningOffers()...)
}

// incompleteTooLong reports whether a gang is incomplete for longer than its lease plus maxIncomplete. Parts of a
// started gang may continue to run while its allocator is stopped: the allocator replaces the missing ones after its
// restart.
func (a *gangAuditor) incompleteTooLong(now placement.Millis, g *gang) bool {
	if g.incompleteSince == complete {
		return false
	}
	if g.started && a.stoppedAllocators[g.allocator] {
		return false
	}
	return now-g.incompleteSince > g.lease+maxIncomplete
}

// runningOffers returns the offers of the running parts, sorted by time and then by part number.
func (g *gang) runningOffers() []frame {
	var offers []frame
	for _, number := range slices.Sorted(maps.Keys(g.running)) {
		offers = append(offers, g.running[number].offer)
	}
	slices.SortStableFunc(offers, func(x, y frame) int { return cmp.Compare(x.at, y.at) })
	return offers
}

// checkPartBinds reports the parts of a gang that had more than maxPartBinds binds.
func (a *gangAuditor) checkPartBinds(now placement.Millis, g *gang) {
	for _, key := range slices.Sorted(maps.Keys(g.partRequests)) {
		part := g.partRequests[key]
		count := len(part.binds)
		if count <= maxPartBinds {
			continue
		}
		message := fmt.Sprintf("a part of group %d of %s has had %d binds", g.ref.number, g.ref.client, count)
		a.findings.report(ruleGang, now, 0, part, message)
	}
}

// stopSeen handles a stop at an allocator. It reports a stop of a running part that is repeated on the same connection
// before stopRetryDelay.
func (a *gangAuditor) stopSeen(stop *pb.Stop, seen frame) {
	key := observer.KeyOf(stop.Bind)
	if !seen.sent || stop.OnlyWaiting || !a.partBinds[key] {
		return
	}
	last, repeated := a.lastStop[key]
	if repeated && last.conn == seen.conn && seen.at-last.at < stopRetryDelay {
		a.findings.report(ruleGang, seen.at, 0, nil, "a part stopped twice", last, seen)
	}
	a.lastStop[key] = seen
}
