package emulator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// nodeConn is the connection of the registering node.
const nodeConn = transport.ConnID(1)

// newTestDiscovery returns a started service with one registered node of four cores.
func newTestDiscovery() *DiscoveryService {
	service := newEmptyDiscovery()
	service.registry.register(0, nodeConn, testEntry(pb.NodeEntry_READY))
	return service
}

func newEmptyDiscovery() *DiscoveryService {
	model := &scenario.DiscoveryModel{
		Lag:          1,
		PushInterval: 10,
		RemovalDelay: 100,
	}
	service := NewDiscoveryService(model, 1)
	service.Start(0, &fakeNetwork{})
	return service
}

func testEntry(state pb.NodeEntry_State) *pb.NodeEntry {
	return &pb.NodeEntry{
		Id:          7,
		State:       state,
		Incarnation: 1,
		FreeCores:   4,
	}
}

// listed returns the entries of a snapshot.
func (s *DiscoveryService) listed() []*pb.NodeEntry {
	return s.newUpdate(0, pb.NodeListUpdate_SNAPSHOT, 0).GetNodeListUpdate().Entries
}

func TestDiscoveryService_Stale_DefersChanges(t *testing.T) {
	service := newTestDiscovery()
	service.SetStale(true)
	service.applyOrDefer(func() {
		service.registry.register(1, nodeConn, testEntry(pb.NodeEntry_DRAINING))
	})
	assert.Equal(t, pb.NodeEntry_READY, service.listed()[0].State)
	service.SetStale(false)
	assert.Equal(t, pb.NodeEntry_DRAINING, service.listed()[0].State)
}

func TestDiscoveryService_Misreport_ChangesListedNodes(t *testing.T) {
	service := newTestDiscovery()
	service.Misreport(3, false)
	assert.InDelta(t, 12.0, service.listed()[0].FreeCores, 0)
	before := service.registry.revision
	service.Misreport(1, true)
	assert.Empty(t, service.listed())
	assert.Greater(t, service.registry.revision, before, "the revision must grow, so that subscribers receive the change")
}

func TestDiscoveryService_ExtraLag_DelaysRegistration(t *testing.T) {
	service := newEmptyDiscovery()
	service.Opened(0, nodeConn)
	service.subscribers[nodeConn].helloReceived = true
	service.ExtraLag = 500
	entry := &pb.NodeEntry{Id: 7, State: pb.NodeEntry_READY}
	service.Received(0, nodeConn, &pb.Frame{Body: &pb.Frame_Register{Register: entry}})
	service.Wake(400)
	assert.Empty(t, service.registry.records, "registration applied before the extra lag")
	service.Wake(501)
	assert.Len(t, service.registry.records, 1)
}
