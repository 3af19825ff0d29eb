package native

import (
	"testing"

	"github.com/stretchr/testify/assert"

	pb "grebeglade/proto/grebeglade/v1"
)

func TestGangRecovery_AllPartsFound(t *testing.T) {
	for name, test := range map[string]struct {
		confirmed bool
		stops     int
	}{
		"confirmed, runs on":     {confirmed: true, stops: 0},
		"not confirmed, stopped": {confirmed: false, stops: 2},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			var running []*pb.RunningWorkload
			for i := range uint32(2) {
				part := gangPart(i, 2)
				running = append(running, earlierGangPart(uint64(i), atMostOnce, part, test.confirmed))
			}
			nodeConn := harness.startNode(1, running...)
			harness.network.takeSent(nodeConn)
			harness.advance(gangRecoveryTime + 10)
			assert.Len(t, harness.stops(nodeConn), test.stops)
			assert.Equal(t, 2, harness.WorkloadCount())
		})
	}
}

func TestGangRecovery_PartFoundTwice_SecondStopped(t *testing.T) {
	harness := newHarness(t)
	part := gangPart(0, 1)
	first := earlierGangPart(1, idempotent, part, true)
	second := earlierGangPart(2, idempotent, part, true)
	nodeConn := harness.startNode(1, first, second)
	assert.Equal(t, []*pb.BindID{second.Offer.Bind}, harness.stops(nodeConn))
}
