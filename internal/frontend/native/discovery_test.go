package native

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestDiscovery_OlderUpdate_Ignored(t *testing.T) {
	x := newFixture(t)
	x.node(1)
	x.update(1, pb.NodeEntry_DRAINING, 1, -1)
	x.revision -= 2
	x.update(1, pb.NodeEntry_READY, 1, -1)
	assert.Equal(t, placement.Draining, x.firstNode().entry.State)
	// Changes since a restart of the service mean nothing without a snapshot.
	x.network.take(x.discovery)
	x.receive(x.discovery, &pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: &pb.ListUpdate{Epoch: 2, Revision: 1}}})
	assert.NotNil(t, x.network.take(x.discovery)[0].GetListCall())
	assert.Len(t, x.knownNodes(), 1)
	x.receive(x.discovery, &pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: &pb.ListUpdate{
		Epoch: 2, Revision: 1, Kind: pb.ListUpdate_WHOLE,
	}}})
	assert.Equal(t, placement.Removed, x.firstNode().entry.State, "kept while it is connected")
}
