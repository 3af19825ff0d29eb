package native

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestHandshake_Invalid_RefusedWithReason(t *testing.T) {
	laterVersion := clientHello("x")
	laterVersion.GetHello().Major = 2
	for name, test := range map[string]struct {
		first  *pb.Frame
		reason string
	}{
		"later version": {
			first:  laterVersion,
			reason: "version 2.1 is not spoken here; this side speaks 1.x",
		},
		"no name": {
			first:  transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT}),
			reason: "the hello names no name",
		},
		"no hello": {
			first:  healthCheck(),
			reason: "the first frame must be a hello",
		},
		"discovery service": {
			first:  discoveryHello(),
			reason: "an allocator serves owners and operators, not the role LIST",
		},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.openConn(otherConn)
			harness.receive(otherConn, test.first)
			assert.True(t, harness.network.closed[otherConn])
			assert.Equal(t, test.reason, harness.network.takeSent(otherConn)[0].GetRefusal().GetReason())
		})
	}
}

func TestHandshake_SecondConnectionOfClient_ReplacesFirst(t *testing.T) {
	harness := newHarness(t)
	harness.connectClient(otherConn, clientName)
	assert.True(t, harness.network.closed[clientConn])
}

func TestHandshake_Missing_RefusedAfterTimeout(t *testing.T) {
	harness := newHarness(t)
	harness.openConn(otherConn)
	harness.advanceTo(helloTimeout - 1)
	assert.False(t, harness.network.closed[otherConn])
	harness.advanceTo(helloTimeout)
	assert.True(t, harness.network.closed[otherConn])
	assert.Equal(t, errHelloTimeout.Error(), harness.network.takeSent(otherConn)[0].GetRefusal().GetReason())
}
