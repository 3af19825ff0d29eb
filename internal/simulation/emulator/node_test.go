package emulator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestNode_AnswersOffers(t *testing.T) {
	network := &fakeNetwork{}
	n := NewNode(&NodeSpec{
		ID:     1,
		Cores:  10,
		Memory: 10,
	}, &scenario.NodeModel{
		CoreOvercommit:      1,
		MemoryOvercommit:    1,
		AdmissionTime:       10,
		QueueLimit:          3,
		ConcurrentStarts:    1,
		UncachedStartFactor: 2,
		ReportInterval:      1000,
		DrainMode:           "keeps",
		Groups: map[string]*scenario.GroupModel{"g": {
			StartTime: 50,
			CoreUse:   1,
			MemoryUse: 1,
		}, "t": {StartTime: 50}},
	}, 1)
	n.Start(0, network)
	n.Opened(0, 2)
	n.Received(0, 2, transport.HelloFrame(&pb.Hello{
		Role:        pb.Role_ALLOCATOR,
		Name:        "a",
		Incarnation: 5,
	}))
	offer := func(id uint64, change ...func(*pb.Offer)) {
		o := &pb.Offer{
			Bind: &pb.BindID{
				Allocator:   "a",
				Incarnation: 5,
				Workload:    id,
			},
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
		for _, f := range change {
			f(o)
		}
		n.Received(network.now, 2, &pb.Frame{Body: &pb.Frame_Offer{Offer: o}})
	}
	offer(1)
	network.run(n, 20)
	offer(1) // a duplicate, as a network may deliver it
	network.run(n, 40)
	assert.Equal(t, []string{"1 true ", "1 true "}, network.offerAnswers())
	assert.Len(t, n.tasks, 1)
	offer(2, func(o *pb.Offer) { o.Bind.Incarnation = 4 })
	offer(3, func(o *pb.Offer) { o.Request.Key = 1 })
	offer(4, func(o *pb.Offer) { o.Request.Cores = 7 })
	offer(5)
	network.run(n, 200)
	offer(6, func(o *pb.Offer) {
		o.Request.Memory = 7
		o.Request.Cores = 1
	})
	offer(7, func(o *pb.Offer) { o.AcceptWithinMs = 5 })
	n.ThrottledGroup = "t"
	offer(8, func(o *pb.Offer) { o.Request.Group = "t" })
	network.run(n, 240)
	assert.Equal(t, []string{
		"5 false too many offers wait", "2 false from an earlier incarnation of the allocator",
		"3 false a copy stands here", "4 false no cores left", "6 false no memory left", "7 false too late", "8 false ",
	}, network.offerAnswers())
	// Cancelled or draining while queued: rejected, and no task is added.
	offer(9, func(o *pb.Offer) { o.Request.Cores = 1 })
	n.Received(network.now, 2, &pb.Frame{Body: &pb.Frame_Stop{Stop: &pb.Stop{Bind: &pb.BindID{
		Allocator:   "a",
		Incarnation: 5,
		Workload:    9,
	}, OnlyWaiting: true}}})
	offer(10, func(o *pb.Offer) { o.Request.Cores = 1 })
	n.Drain(network.now, true)
	network.run(n, 300)
	assert.Equal(t, []string{"9 false called off", "10 false draining"}, network.offerAnswers())
	// A stop for queued offers only does not end an accepted task.
	n.Received(network.now, 2, &pb.Frame{Body: &pb.Frame_Stop{Stop: &pb.Stop{Bind: &pb.BindID{
		Allocator:   "a",
		Incarnation: 5,
		Workload:    1,
	}, OnlyWaiting: true}}})
	assert.Len(t, n.tasks, 1)
}

func TestNode_UnderreportsLoadAndBlocksStarts(t *testing.T) {
	m := &scenario.NodeModel{
		CoreOvercommit:      1,
		MemoryOvercommit:    1,
		AdmissionTime:       1,
		QueueLimit:          3,
		ConcurrentStarts:    1,
		UncachedStartFactor: 1,
		ReportInterval:      10,
		DrainMode:           "keeps",
		Groups: map[string]*scenario.GroupModel{"g": {
			StartTime: 5,
			CoreUse:   1,
			MemoryUse: 1,
		}},
	}
	network := &fakeNetwork{}
	n := NewNode(&NodeSpec{
		ID:     1,
		Cores:  10,
		Memory: 10,
	}, m, 1)
	n.Start(0, network)
	n.StartsBlocked = true
	n.accept(0, &pb.Offer{Bind: &pb.BindID{Workload: 1}, Request: &pb.PlaceRequest{
		Group:             "g",
		Cores:             4,
		Memory:            4,
		ExpectedRuntimeMs: 1e5,
	}})
	network.run(n, 50)
	assert.False(t, n.tasks[0].running)
	n.UnblockStarts(50)
	network.run(n, 100)
	assert.True(t, n.tasks[0].running)
	reported := *n.load.SpareCores
	assert.Less(t, reported, 10.0)
	n.UnderreportedShare = 1
	network.run(n, 150)
	assert.InDelta(t, 10.0, *n.load.SpareCores, 0)
	assert.Greater(t, *n.load.SpareCores, reported)
}

func TestNode_FaultsRaiseCoresUsed(t *testing.T) {
	for name, set := range map[string]func(*Node){
		"neighbour": func(n *Node) { n.NeighbourShare = 0.5 }, "hot": func(n *Node) { n.Surge = UsageSurge{Share: 1, Factor: 3} },
	} {
		n := NewNode(&NodeSpec{Cores: 10, Memory: 10}, &scenario.NodeModel{}, 1)
		n.tasks = []*Task{{
			Offer:  &pb.Offer{Request: &pb.PlaceRequest{}},
			cores:  2,
			memory: 2,
		}}
		before := n.coresUsed()
		set(n)
		assert.Greater(t, n.coresUsed(), before, name)
	}
}
