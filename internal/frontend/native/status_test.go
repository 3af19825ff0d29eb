package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestStatus_ShowsWorkloadsAndNodes(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.request(1, idempotent)
	harness.acceptOffer(nodeConn, harness.offer(nodeConn).Bind)
	harness.request(2, idempotent)
	harness.rejectOffer(nodeConn, harness.offer(nodeConn).Bind, pb.Reason_INSUFFICIENT_CORES)
	harness.request(3, idempotent, func(request *pb.PlaceRequest) { request.Cores = 0.5 })
	harness.connectOperator()
	workloads := harness.query(pb.Query_WORKLOADS).Workloads
	require.Len(t, workloads, 2)
	assert.Equal(t, "placed", workloads[0].State)
	assert.Equal(t, "pending", workloads[1].State)
	nodes := harness.query(pb.Query_NODES).Nodes
	require.Len(t, nodes, 1)
	assert.EqualValues(t, 1, nodes[0].Residents)
	assert.EqualValues(t, 1, nodes[0].BindsInFlight)
	assert.Equal(t, "ready", nodes[0].State)
	assert.Equal(t, "open", nodes[0].Connection)
}

func TestStatus_ShowsGangs(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.requestGang(1)
	harness.startWorkload(nodeConn, harness.offers(nodeConn)[0].Bind)
	harness.connectOperator()
	gangs := harness.query(pb.Query_GANGS).Gangs
	require.Len(t, gangs, 1)
	shown := gangs[0]
	assert.Equal(t, "starting", shown.State)
	assert.EqualValues(t, 2, shown.Parts)
	assert.EqualValues(t, 2, shown.MinParts)
	assert.EqualValues(t, 1, shown.Running)
	assert.EqualValues(t, 1, shown.Attempts)
	assert.Len(t, shown.Workloads, 2)
}

func TestStates_NamesForOperators(t *testing.T) {
	for state, name := range map[workloadState]string{
		workloadPending:    "pending",
		workloadPlaced:     "placed",
		workloadNotPlaced:  "pending",
		workloadCancelling: "stopping",
		workloadStopping:   "stopping",
	} {
		assert.Equal(t, name, state.String())
	}
	for state, name := range map[placement.NodeState]string{
		placement.Ready:    "ready",
		placement.Draining: "draining",
		placement.Removed:  "gone",
	} {
		assert.Equal(t, name, nodeStateNames[state])
	}
	for state, name := range map[sessionState]string{
		sessionDisconnected: "none",
		sessionConnecting:   "dialling",
		sessionConnected:    "open",
	} {
		assert.Equal(t, name, state.String())
	}
}
