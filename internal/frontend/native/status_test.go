package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestStatus_ShowsWorkloadsAndNodes(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.request(1, "serve")
	x.answerOffer(n, x.offer(n).Bind, true, 0)
	x.request(2, "serve")
	x.answerOffer(n, x.offer(n).Bind, false, pb.Reason_INSUFFICIENT_CORES)
	x.request(3, "serve", func(a *pb.PlaceRequest) { a.Cores = 0.5 })
	x.f.Opened(x.now, operatorConn)
	x.receive(operatorConn, transport.HelloFrame(&pb.Hello{Role: pb.Role_OPERATOR}))
	state := func(w pb.Query_Kind) *pb.State {
		x.network.take(operatorConn)
		x.receive(operatorConn, &pb.Frame{Body: &pb.Frame_Query{Query: &pb.Query{Kind: w}}})
		return x.network.take(operatorConn)[0].GetState()
	}
	wls := state(pb.Query_WORKLOADS).Workloads
	require.Len(t, wls, 2)
	assert.Equal(t, []string{"placed", "pending"}, []string{wls[0].State, wls[1].State})
	nodes := state(pb.Query_NODES).Nodes
	assert.Equal(t, []uint32{1, 1}, []uint32{nodes[0].Residents, nodes[0].BindsInFlight})
	assert.Equal(t, "open", nodes[0].Connection)
}

func TestStatus_ShowsGangs(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.requestGang(1)
	x.startWorkload(n, x.offers(n)[0].Bind)
	x.f.Opened(x.now, operatorConn)
	x.receive(operatorConn, transport.HelloFrame(&pb.Hello{Role: pb.Role_OPERATOR}))
	x.network.take(operatorConn)
	x.receive(operatorConn, &pb.Frame{Body: &pb.Frame_Query{Query: &pb.Query{Kind: pb.Query_GANGS}}})
	gangs := x.network.take(operatorConn)[0].GetState().Gangs
	require.Len(t, gangs, 1)
	g := gangs[0]
	assert.Equal(t, "starting", g.State)
	assert.Equal(t, []uint32{2, 2, 1, 1}, []uint32{g.Parts, g.MinParts, g.Running, g.Attempts})
	assert.Len(t, g.Workloads, 2)
}
