package gang

import (
	"slices"

	"grebeglade/placement"
)

// completeRun ends a running gang once no part is active.
func (g *Gang) completeRun() []Action {
	if g.hasActiveParts() {
		return nil
	}
	return append([]Action{{Kind: ReportEnd}}, g.end()...)
}

// handleLoss handles the end of a part of a running gang, or the failure to replace one. The part's previous state is
// before.
func (g *Gang) handleLoss(now placement.Millis, before PartState) []Action {
	if g.CountParts(PartFinished) > 0 || g.CountParts(PartRequested, PartRunning) >= g.request.MinParts {
		return g.completeRun() // the gang's work is finishing, or enough parts are left
	}
	if lost := slices.Index(g.parts, PartLost); lost >= 0 && before == PartRunning && g.mayReplace(lost) {
		return g.replace(now, lost)
	}
	return append([]Action{{Kind: ReportEnd}}, g.rollBack(now, RollingBackToEnd)...)
}

// mayReplace reports whether a lost part may be replaced. At-most-once parts must not start twice.
func (g *Gang) mayReplace(part int) bool {
	return g.request.OnLoss == ReplaceOnLoss && g.request.Parts[part].Idempotency != placement.AtMostOnce
}

// replace requests a replacement for a lost part.
func (g *Gang) replace(now placement.Millis, part int) []Action {
	g.parts[part] = PartRequested
	timeout := g.request.ReplaceTimeout
	return []Action{
		{
			Kind:    RequestPart,
			Part:    part,
			Timeout: timeout,
		},
		{Kind: SetTimer, At: now + timeout},
	}
}
