package native

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

var _ transport.StallHandler = (*Frontend)(nil)

// Guards against a cut-off that costs a client its other requests: its connection stays open until they are answered.
func TestKeepStalled_ClientWithUnansweredRequest_KeptUntilTheAnswer(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.request(7, atMostOnce)
	bind := harness.offer(nodeConn).Bind
	assert.True(t, harness.KeepStalled(clientConn))
	harness.acceptOffer(nodeConn, bind)
	assert.Equal(t, map[uint64]pb.Verdict{7: pb.Verdict_PLACED}, harness.verdicts())
	assert.False(t, harness.KeepStalled(clientConn))
	harness.requestGang(8)
	assert.True(t, harness.KeepStalled(clientConn), "a gang is unanswered")
}

func TestKeepStalled_OtherConnections_NotKept(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.openConn(otherConn)
	for _, conn := range []transport.ConnID{clientConn, nodeConn, harness.discoveryConn, otherConn, otherConn + 100} {
		assert.False(t, harness.KeepStalled(conn))
	}
}
