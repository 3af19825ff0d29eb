package native

import (
	"testing"

	"github.com/stretchr/testify/assert"

	pb "grebeglade/proto/grebeglade/v1"
)

func TestReconcile_WorkloadOfEarlierIncarnation_Adopted(t *testing.T) {
	x := newFixture(t)
	bind := &pb.BindID{Allocator: "a", Incarnation: 3, Workload: 9, Number: 1}
	running := &pb.RunningWorkload{Running: true, Offer: &pb.Offer{Bind: bind, Client: "o", Request: &pb.PlaceRequest{
		RequestId: 77, Key: 5, Service: 1, Group: "once", Cores: 1, Memory: 1,
	}}}
	n := x.node(1, running)
	assert.Equal(t, 1, x.f.WorkloadCount())
	x.request(78, "once", func(a *pb.PlaceRequest) { a.Key = 5 })
	assert.Equal(t, map[uint64]pb.Verdict{78: pb.Verdict_REJECTED}, x.verdicts(), "it runs already")
	// Named again at the next connection, it is the same one. Withdrawn, it is stopped by the bind that its node knows.
	x.disconnect(n)
	n = x.reconnectNode(running)
	assert.Equal(t, 1, x.f.WorkloadCount())
	x.withdraw(77)
	assert.Equal(t, bind, x.network.take(n)[1].GetStop().GetBind())
	x.endWorkload(n, bind, pb.Reason_STOPPED)
	assert.Zero(t, x.f.WorkloadCount())
}

// A stop can be lost with the connection that it was sent over.
func TestReconcile_StopLostWithConnection_Repeated(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.request(1, "serve")
	o := x.offer(n)
	x.answerOffer(n, o.Bind, true, 0)
	x.withdraw(1)
	assert.NotNil(t, x.network.take(n)[0].GetStop())
	x.disconnect(n)
	n = x.reconnectNode(&pb.RunningWorkload{Offer: o})
	assert.Equal(t, o.Bind, x.network.take(n)[1].GetStop().GetBind())
}

// A workload was withdrawn while its answer was under way, and its stop was lost with the connection. An at-most-once one that
// its node named again was adopted, since it may have had an effect, and ran to its end for nobody.
func TestReconcile_WithdrawnWorkload_Stopped(t *testing.T) {
	for _, group := range []string{"once", "serve"} {
		t.Run(group, func(t *testing.T) {
			x := newFixture(t)
			n := x.node(1)
			x.request(1, group)
			o := x.offer(n)
			x.withdraw(1)
			x.disconnect(n)
			n = x.reconnectNode(&pb.RunningWorkload{Offer: o, Running: true})
			assert.Equal(t, o.Bind, x.network.take(n)[1].GetStop().GetBind())
			assert.Zero(t, x.f.WorkloadCount())
		})
	}
}
