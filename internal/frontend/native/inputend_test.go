package native

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// Guards against a cut-off that costs a client its other requests: its connection is closed once they are answered.
func TestInputEnded_ClientWithUnansweredRequest_ClosedAfterTheAnswer(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.request(7, atMostOnce)
	bind := harness.offer(nodeConn).Bind
	harness.InputEnded(harness.now, clientConn, transport.ErrMessageTimeout)
	harness.advance(100)
	assert.False(t, harness.network.closed[clientConn])
	harness.acceptOffer(nodeConn, bind)
	assert.Equal(t, map[uint64]pb.Verdict{7: pb.Verdict_PLACED}, harness.verdicts())
	harness.advance(unansweredCheckInterval)
	assert.True(t, harness.network.closed[clientConn])
}

func TestInputEnded_OtherConnections_ClosedAtOnce(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.openConn(otherConn)
	for _, conn := range []transport.ConnID{clientConn, nodeConn, harness.discoveryConn, otherConn} {
		harness.InputEnded(harness.now, conn, transport.ErrMessageTimeout)
		assert.True(t, harness.network.closed[conn])
	}
}
