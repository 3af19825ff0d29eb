package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestClient_Reconnected_ReceivesRunningWorkloadsAndLosses(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.request(1, "serve")
	x.answerOffer(n, x.offer(n).Bind, true, 0)
	x.request(2, "serve")
	x.offer(n)
	x.disconnect(clientConn)
	assert.Equal(t, uint64(1), x.f.Counters.Withdrawn, "no answer can be sent for what was pending")
	x.f.Opened(x.now, secondClientConn)
	x.receive(secondClientConn, transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT, Name: "o", Incarnation: 1}))
	running := x.network.take(secondClientConn)[0].GetHello().RunningWorkloads
	require.Len(t, running, 1)
	assert.Equal(t, uint64(1), running[0].Offer.Request.RequestId)
	x.update(1, pb.NodeEntry_REMOVED, 1, -1)
	x.disconnect(n)
	assert.Equal(t, pb.Reason_LOST, x.network.take(secondClientConn)[0].GetWorkloadEnded().Reason)
}

func TestHandshake_Invalid_RefusedWithReason(t *testing.T) {
	x := newFixture(t)
	refusal := func(f *pb.Frame) string {
		x.f.Opened(x.now, secondClientConn)
		x.receive(secondClientConn, f)
		assert.True(t, x.network.closed[secondClientConn])
		return x.network.take(secondClientConn)[0].GetRefusal().GetReason()
	}
	later := transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT, Name: "x"})
	later.GetHello().Major = 2
	assert.Equal(t, "version 2.1 is not spoken here; this side speaks 1.x", refusal(later))
	assert.Equal(t, "the hello names no name", refusal(transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT})))
	assert.Equal(t, "the first frame must be a hello", refusal(&pb.Frame{Body: &pb.Frame_HealthCheck{HealthCheck: &pb.HealthCheck{}}}))
	assert.Contains(t, refusal(transport.HelloFrame(&pb.Hello{Role: pb.Role_DISCOVERY, Name: "l"})), "not the role LIST")
	// A second connection under the same name replaces the first; another node at a node's address is not used.
	x.connectClient(secondClientConn, "o")
	assert.True(t, x.network.closed[clientConn])
	x.update(1, pb.NodeEntry_READY, 1, -1)
	c := x.network.dialed[address(1)]
	x.f.Opened(x.now, c)
	x.receive(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_NODE, Name: "n", Node: 2, Incarnation: 1}))
	assert.True(t, x.network.closed[c])
}

func TestHandshake_Missing_RefusedAfterTimeout(t *testing.T) {
	x := newFixture(t)
	x.f.Opened(x.now, secondClientConn)
	x.runUntil(helloTimeout - 1)
	assert.False(t, x.network.closed[secondClientConn])
	x.runUntil(helloTimeout)
	assert.True(t, x.network.closed[secondClientConn])
	assert.Equal(t, errHelloTimeout.Error(), x.network.take(secondClientConn)[0].GetRefusal().GetReason())
}
