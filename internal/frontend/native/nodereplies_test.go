package native

import (
	"testing"

	"github.com/stretchr/testify/assert"

	pb "grebeglade/proto/grebeglade/v1"
)

func TestOfferReply_UnknownBind_Ignored(t *testing.T) {
	harness := newHarness(t)
	offeredConn := harness.startNode(1)
	otherNodeConn := harness.startNode(2)
	harness.request(1, idempotent)
	if len(harness.network.sent[otherNodeConn]) > len(harness.network.sent[offeredConn]) {
		offeredConn, otherNodeConn = otherNodeConn, offeredConn
	}
	offer := harness.offer(offeredConn)
	harness.acceptOffer(otherNodeConn, offer.Bind)
	harness.acceptOffer(offeredConn, &pb.BindID{
		Allocator:   allocatorName,
		Incarnation: allocatorIncarnation - 1,
		Workload:    offer.Bind.Workload,
	})
	harness.acceptOffer(offeredConn, nil)
	harness.acceptOffer(offeredConn, &pb.BindID{
		Allocator:   "b",
		Incarnation: allocatorIncarnation,
		Workload:    offer.Bind.Workload,
	})
	assert.Empty(t, harness.verdicts())
	assert.Equal(t, uint64(4), harness.Counters.UnmatchedReplies)
	// A rejection after the acceptance has no effect.
	harness.acceptOffer(offeredConn, offer.Bind)
	harness.rejectOffer(offeredConn, offer.Bind, pb.Reason_INSUFFICIENT_CORES)
	assert.Equal(t, map[uint64]pb.Verdict{1: pb.Verdict_PLACED}, harness.verdicts())
	assert.Equal(t, 1, harness.WorkloadCount())
}
