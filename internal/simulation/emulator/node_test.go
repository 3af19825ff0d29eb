package emulator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	allocatorName        = "a"
	allocatorIncarnation = 5
	allocatorConn        = transport.ConnID(2)
	throttledGroup       = "t"
)

// testNode is a node with ten cores that is connected to one allocator.
type testNode struct {
	*Node
	network *fakeNetwork
}

// newTestNode returns a node with an admission time of 10 ms and a queue for three offers.
func newTestNode() testNode {
	model := &scenario.NodeModel{
		CoreOvercommit:      1,
		MemoryOvercommit:    1,
		AdmissionTime:       10,
		QueueLimit:          3,
		ConcurrentStarts:    1,
		UncachedStartFactor: 2,
		ReportInterval:      1000,
		DrainMode:           scenario.DrainKeeps,
		Groups: map[string]*scenario.GroupModel{
			"g": {
				StartTime: 50,
				CoreUse:   1,
				MemoryUse: 1,
			},
			throttledGroup: {StartTime: 50},
		},
	}
	node := testNode{Node: newTenCoreNode(model), network: &fakeNetwork{}}
	node.Start(0, node.network)
	node.Opened(0, allocatorConn)
	node.Received(0, allocatorConn, transport.HelloFrame(&pb.Hello{
		Role:        pb.Role_ALLOCATOR,
		Name:        allocatorName,
		Incarnation: allocatorIncarnation,
	}))
	return node
}

func newTenCoreNode(model *scenario.NodeModel) *Node {
	return NewNode(&NodeSpec{
		ID:     1,
		Cores:  10,
		Memory: 10,
	}, model, 1)
}

func testBind(workload uint64) *pb.BindID {
	return &pb.BindID{
		Allocator:   allocatorName,
		Incarnation: allocatorIncarnation,
		Workload:    workload,
	}
}

// receiveOffer delivers an offer for four cores, after applying changes to it.
func (n testNode) receiveOffer(id uint64, changes ...func(*pb.Offer)) {
	offer := &pb.Offer{
		Bind:           testBind(id),
		AcceptWithinMs: 100,
		Request: &pb.PlaceRequest{
			Key:               id,
			Service:           1,
			Group:             "g",
			Cores:             4,
			Memory:            4,
			ExpectedRuntimeMs: 10000,
		},
	}
	for _, change := range changes {
		change(offer)
	}
	n.Received(n.network.now, allocatorConn, &pb.Frame{Body: &pb.Frame_Offer{Offer: offer}})
}

// receiveStopOfQueued delivers a stop that is for queued offers only.
func (n testNode) receiveStopOfQueued(id uint64) {
	stop := &pb.Stop{Bind: testBind(id), OnlyWaiting: true}
	n.Received(n.network.now, allocatorConn, &pb.Frame{Body: &pb.Frame_Stop{Stop: stop}})
}

func (n testNode) runUntil(at placement.Millis) { n.network.run(n.Node, at) }

func TestNode_DuplicateOffer_AnsweredAgainAndRunOnce(t *testing.T) {
	node := newTestNode()
	node.receiveOffer(1)
	node.runUntil(20)
	node.receiveOffer(1)
	node.runUntil(40)
	assert.Equal(t, []string{"1 true ", "1 true "}, node.network.offerAnswers())
	assert.Len(t, node.tasks.all, 1)
}

func TestNode_OfferNotAdmitted_RejectedWithReason(t *testing.T) {
	node := newTestNode()
	node.receiveOffer(1)
	node.runUntil(40)
	assert.Equal(t, []string{"1 true "}, node.network.offerAnswers())
	node.receiveOffer(2, func(o *pb.Offer) { o.Bind.Incarnation = allocatorIncarnation - 1 })
	node.receiveOffer(3, func(o *pb.Offer) { o.Request.Key = 1 })
	node.receiveOffer(4, func(o *pb.Offer) { o.Request.Cores = 7 })
	node.receiveOffer(5)
	node.runUntil(200)
	node.receiveOffer(6, func(o *pb.Offer) {
		o.Request.Memory = 7
		o.Request.Cores = 1
	})
	node.receiveOffer(7, func(o *pb.Offer) { o.AcceptWithinMs = 5 })
	node.ThrottledGroup = throttledGroup
	node.receiveOffer(8, func(o *pb.Offer) { o.Request.Group = throttledGroup })
	node.runUntil(240)
	assert.Equal(t, []string{
		"5 false too many offers wait",
		"2 false from an earlier incarnation of the allocator",
		"3 false a copy stands here",
		"4 false no cores left",
		"6 false no memory left",
		"7 false too late",
		"8 false ",
	}, node.network.offerAnswers())
}

func TestNode_QueuedOfferStoppedOrNodeDraining_Rejected(t *testing.T) {
	node := newTestNode()
	node.receiveOffer(1)
	node.runUntil(240)
	assert.Equal(t, []string{"1 true "}, node.network.offerAnswers())
	node.receiveOffer(9, func(o *pb.Offer) { o.Request.Cores = 1 })
	node.receiveStopOfQueued(9)
	node.receiveOffer(10, func(o *pb.Offer) { o.Request.Cores = 1 })
	node.Drain(node.network.now, true)
	node.runUntil(300)
	assert.Equal(t, []string{"9 false called off", "10 false draining"}, node.network.offerAnswers())
	assert.Len(t, node.tasks.all, 1)
	node.receiveStopOfQueued(1)
	assert.Len(t, node.tasks.all, 1, "a stop for queued offers only does not end an accepted task")
}

func TestNode_StartsBlocked_TaskRunsOnceUnblocked(t *testing.T) {
	node, network := newNodeWithOneTask()
	network.run(node, 50)
	assert.False(t, node.tasks.all[0].running)
	node.UnblockStarts(50)
	network.run(node, 100)
	assert.True(t, node.tasks.all[0].running)
}

func TestNode_LoadUnderreported_SpareCapacityTooHigh(t *testing.T) {
	node, network := newNodeWithOneTask()
	node.UnblockStarts(0)
	network.run(node, 100)
	reported := *node.load.values.SpareCores
	assert.Less(t, reported, 10.0)
	node.UnderreportedShare = 1
	network.run(node, 150)
	assert.InDelta(t, 10.0, *node.load.values.SpareCores, 0)
	assert.Greater(t, *node.load.values.SpareCores, reported)
}

// newNodeWithOneTask returns a node that has accepted a task of four cores, with starts blocked.
func newNodeWithOneTask() (*Node, *fakeNetwork) {
	network := &fakeNetwork{}
	node := newTenCoreNode(&scenario.NodeModel{
		CoreOvercommit:      1,
		MemoryOvercommit:    1,
		AdmissionTime:       1,
		QueueLimit:          3,
		ConcurrentStarts:    1,
		UncachedStartFactor: 1,
		ReportInterval:      10,
		DrainMode:           scenario.DrainKeeps,
		Groups: map[string]*scenario.GroupModel{"g": {
			StartTime: 5,
			CoreUse:   1,
			MemoryUse: 1,
		}},
	})
	node.Start(0, network)
	node.StartsBlocked = true
	request := &pb.PlaceRequest{
		Group:             "g",
		Cores:             4,
		Memory:            4,
		ExpectedRuntimeMs: 1e5,
	}
	node.accept(0, &pb.Offer{Bind: &pb.BindID{Workload: 1}, Request: request})
	return node, network
}

func TestNode_NeighbourOrSurge_RaisesCoresUsed(t *testing.T) {
	for name, set := range map[string]func(*Node){
		"neighbour": func(n *Node) { n.NeighbourShare = 0.5 },
		"surge":     func(n *Node) { n.Surge = UsageSurge{Share: 1, Factor: 3} },
	} {
		t.Run(name, func(t *testing.T) {
			node := newTenCoreNode(&scenario.NodeModel{})
			node.tasks.all = []*Task{{
				Offer:  &pb.Offer{Request: &pb.PlaceRequest{}},
				cores:  2,
				memory: 2,
			}}
			before := node.coresUsed()
			set(node)
			assert.Greater(t, node.coresUsed(), before)
		})
	}
}
