package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
)

func TestClientConns_ConnectionWithoutAMessageIsClosed(t *testing.T) {
	r := newRig(t)
	r.pass(firstMessageTimeout + 100)
	assert.True(t, r.fake.closed[r.client])
}

func TestClientConns_ConnectionsWithoutAMessageAreEvictedFirst(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, request(7))
	for c := transport.ConnID(2000); c < 2100; c++ {
		r.Opened(r.at, c)
	}
	assert.False(t, r.fake.closed[r.client])
	assert.True(t, r.fake.closed[2000])
	assert.LessOrEqual(t, len(r.clients.conns), r.config.maxClientConns())
}

func TestClientConn_EvictionOrder(t *testing.T) {
	order := []*clientConn{
		{id: 9},
		{
			id:           1,
			active:       true,
			lastReceived: 10,
		},
		{
			id:           2,
			active:       true,
			lastReceived: 10,
		},
		{
			id:           3,
			active:       true,
			lastReceived: 20,
		},
		{
			id:           4,
			active:       true,
			placed:       1,
			lastReceived: 5,
		},
		{
			id:     5,
			active: true,
			placed: 2,
		},
	}
	for i, c := range order {
		for j, other := range order {
			assert.Equal(t, i < j, c.evictedBefore(other), "%d before %d", c.id, other.id)
		}
	}
}

func TestClientConns_LatestIsEvictedWhereAllOthersHaveRequests(t *testing.T) {
	r := newRig(t)
	r.clients.limit = 1
	r.receive(r.client, request(7))
	r.Opened(r.at, 2000)
	assert.True(t, r.fake.closed[2000])
	assert.False(t, r.fake.closed[r.client])
}

func TestClientConns_NotificationGoesToAnotherConnection(t *testing.T) {
	r := newRig(t)
	r.start(7)
	r.close(r.client, errClosed)
	r.receive(r.node, codec.NewTermination(7, codec.CauseNormal))
	r.Opened(r.at, 2000)
	r.receive(2000, request(8))
	assert.Equal(t, []string{"termination 16"}, r.sentAbout(2000, 7))
}

func TestClientConns_UndeliveredNotificationsExpireAndAreBounded(t *testing.T) {
	r := newRig(t)
	r.close(r.client, errClosed)
	gone := &workload{client: r.client}
	for tag := range codec.Tag(maxUndelivered + 1) {
		r.clients.notify(gone, codec.NewMigration(tag))
	}
	assert.Len(t, r.clients.undelivered, maxUndelivered)
	assert.Equal(t, codec.Tag(1), r.clients.undelivered[0].message.Envelope().Tag, "the oldest falls out")
	r.pass(undeliveredTTL)
	r.Opened(r.at, 2000)
	r.receive(2000, codec.NewTermination(1, codec.CauseNormal)) // about no workload
	assert.Len(t, r.clients.undelivered, maxUndelivered, "a message without effect sends none")
	r.receive(2000, codec.NewHealthCheck(1))
	assert.Len(t, r.fake.sent[2000], 1, "only the reply")
	assert.Empty(t, r.clients.undelivered)
}

// Clients that send one request and stay, by the thousand, neither push out the connection of a client with much that
// runs, also where it was silent for longer, nor are notified of the ends of its workloads. It could harm a client of
// whom little was placed.
func TestClientConns_ClientWithMuchPlacedOutlastsOthers(t *testing.T) {
	r := newRig(t)
	gone := transport.ConnID(1999)
	r.Opened(r.at, gone)
	r.receive(gone, request(6))
	r.receive(r.node, confirmation(6))
	for tag := codec.Tag(7); tag < 9; tag++ {
		r.start(tag)
	}
	r.close(gone, errClosed)
	for i := range 100 {
		r.pass(20)
		c := transport.ConnID(2000 + i)
		tag := codec.Tag(100 + i)
		r.Opened(r.at, c)
		r.receive(c, request(tag))
		r.receive(r.node, confirmation(tag))
		r.receive(r.node, codec.NewTermination(tag, codec.CauseNormal))
	}
	assert.False(t, r.fake.closed[r.client])
	assert.LessOrEqual(t, len(r.clients.conns), r.config.maxClientConns())
	r.receive(r.node, codec.NewTermination(6, codec.CauseNormal))
	r.receive(r.node, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []string{"termination 16"}, r.sentAbout(r.client, 6))
	assert.Equal(t, []string{"confirmation", "termination 16"}, r.sentAbout(r.client, 7))
}

func TestClientConns_ClosedConnectionsRequestsAreWithdrawn(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, request(7))
	r.receive(r.client, request(8))
	assert.Equal(t, 2, r.workloads.unanswered)
	r.close(r.client, errClosed)
	assert.Zero(t, r.workloads.unanswered)
	assert.Equal(t, uint64(2), r.Counters.Withdrawn)
	assert.Equal(t, []string{"offer", "termination 16"}, r.sentAbout(r.node, 7))
	assert.Equal(t, []string{"offer", "termination 16"}, r.sentAbout(r.node, 8))
	assert.Empty(t, r.clients.conns)
}

func TestClientConns_ClientOfWhomNothingWasPlacedIsNotNotified(t *testing.T) {
	r := newRig(t)
	r.start(7)
	r.Opened(r.at, 2000)
	r.close(r.client, errClosed)
	r.receive(r.node, codec.NewTermination(7, codec.CauseNormal))
	assert.Empty(t, r.sentAbout(2000, 7), "as long as it has sent nothing")
	assert.Len(t, r.clients.undelivered, 1)
	r.receive(2000, request(8))
	assert.Equal(t, []string{"termination 16"}, r.sentAbout(2000, 7))
}
