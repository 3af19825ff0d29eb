package port

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/choice"
	pb "grebeglade/proto/grebeglade/v1"
)

// Each failed dial set a timer for the next, and list news of the node dialled besides: each such dial began a row of
// further ones that never ended. An unreachable node of which the list told every 200 ms was dialled ever more often.
func TestListNewsOfANodeThatRefusesBeginsNoSecondRowOfDials(t *testing.T) {
	r := newRig(t)
	dials := func(for_ choice.Millis) int {
		before := r.w.last
		for end := r.now + for_; r.now < end; {
			r.listed(1, pb.NodeEntry_READY, 1, -1)
			for at := r.now + 200; r.w.wake <= at; {
				r.at(r.w.wake)
				r.p.Wake(r.now)
				if n := r.p.nodes[0]; n.dialling {
					r.p.Closed(r.now, n.conn, "refused")
				}
			}
			r.at(r.now + 1)
			if n := r.p.nodes[0]; n.dialling {
				r.p.Closed(r.now, n.conn, "refused")
			}
		}
		return int(r.w.last - before)
	}
	first := dials(60e3)
	dials(600e3)
	last := dials(60e3)
	assert.LessOrEqual(t, first, 330, "one for each news, and those of the row")
	assert.LessOrEqual(t, last, 330, "no more after minutes")
}
