package native

import (
	"math"

	"grebeglade/placement"
)

const (
	keepWays = 64                     // frames of an owner whose way is remembered: some of them were not held up
	waysFor  = placement.Millis(60e3) // ms for which they count; over longer two clocks may part by more than a margin
)

// ways are how long the last frames of a connection were under way, up to a constant that only the sender's clock knows.
//
// They guard the first rule: an owner counts its pending timeout from when it asked, and an ask that the network held up
// for longer than the module's margin was answered after its owner had given up (lab hunt --seed 71 --allocators 320
// --nodes 110, day 779). A wider margin for all asks cost 0.030 of a site's figure; this takes time from those asks alone
// that came late by what their own connection showed. It also covers asks that waited while this process stood still. It
// shows nothing on a connection whose every frame of the last minute was held up alike, or whose owner tells no times; and
// no allocator can see what happens to an answer on its way back.
type ways []way

type way struct{ at, took placement.Millis }

// late takes a frame that was sent at that time of its sender's and returns how much longer it took than the quickest of
// the last ones.
func (w *ways) late(now placement.Millis, sent float64) placement.Millis {
	if !(sent > 0) || math.IsInf(sent, 0) {
		return 0
	}
	took := now - placement.Millis(sent)
	least := took
	for _, o := range *w {
		if now-o.at < waysFor {
			least = min(least, o.took)
		}
	}
	if len(*w) >= keepWays {
		*w = append((*w)[:0], (*w)[1:]...)
	}
	*w = append(*w, way{now, took})
	return took - least
}

// underWay is how much of an ask's time was over when it came: what its connection shows, or what it may have waited
// while this process stood still.
func (p *Frontend) underWay(now placement.Millis, from *peer, sent float64) placement.Millis {
	late := from.ways.late(now, sent)
	if now-p.stoodTo < stoodAfter {
		late = max(late, p.stood)
	}
	return late
}
