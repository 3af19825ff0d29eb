package emulator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/simulation/scenario"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestDiscoveryService_StaleWrongAndEmpty(t *testing.T) {
	s := NewDiscoveryService(&scenario.DiscoveryModel{
		Lag:          1,
		PushInterval: 10,
		RemovalDelay: 100,
	}, 1)
	network := &fakeNetwork{}
	s.Start(0, network)
	s.register(0, 1, &pb.NodeEntry{
		Id:          7,
		State:       pb.NodeEntry_READY,
		Incarnation: 1,
		FreeCores:   4,
	})
	listed := func() []*pb.NodeEntry {
		return s.newUpdate(0, pb.NodeListUpdate_SNAPSHOT, 0).GetNodeListUpdate().Entries
	}
	s.SetStale(0, true)
	s.applyOrDefer(func() {
		s.register(1, 1, &pb.NodeEntry{
			Id:          7,
			State:       pb.NodeEntry_DRAINING,
			Incarnation: 1,
			FreeCores:   4,
		})
	})
	assert.Equal(t, pb.NodeEntry_READY, listed()[0].State)
	s.SetStale(0, false)
	assert.Equal(t, pb.NodeEntry_DRAINING, listed()[0].State)
	s.Misreport(0, 3, false)
	assert.InDelta(t, 12.0, listed()[0].FreeCores, 0)
	before := s.revision
	s.Misreport(0, 1, true)
	assert.Empty(t, listed())
	assert.Greater(t, s.revision, before, "subscribers receive the change")
}

func TestDiscoveryService_ExtraLagDelaysRegistration(t *testing.T) {
	s := NewDiscoveryService(&scenario.DiscoveryModel{
		Lag:          1,
		PushInterval: 10,
		RemovalDelay: 100,
	}, 1)
	network := &fakeNetwork{}
	s.Start(0, network)
	s.Opened(0, 1)
	s.subscribers[1].helloReceived = true
	s.ExtraLag = 500
	s.Received(0, 1, &pb.Frame{Body: &pb.Frame_Register{Register: &pb.NodeEntry{Id: 7, State: pb.NodeEntry_READY}}})
	s.Wake(400)
	assert.Empty(t, s.records, "the registration takes effect later")
	s.Wake(501)
	assert.Len(t, s.records, 1)
}
