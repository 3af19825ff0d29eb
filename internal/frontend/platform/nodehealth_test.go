package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/frontend/platform/codec"
)

func TestHealthChecker_ReplyCompletesTheCheck(t *testing.T) {
	r := newRig(t)
	n := r.nodes.byName["s-01"]
	r.healthChecks.check(n.id)
	assert.Equal(t, []any{codec.NewHealthCheck(1)}, r.fake.sent[r.node])
	assert.Equal(t, 1, r.healthChecks.pending.Len())
	other := &node{id: n.id + 1}
	assert.False(t, r.healthChecks.completed(r.at, other, codec.NewHealthReply(1, true)), "of another node")
	r.receive(r.node, codec.NewHealthReply(1, true))
	assert.Zero(t, r.healthChecks.pending.Len())
	r.receive(r.node, codec.NewHealthReply(1, true)) // once more, which changes nothing
}

func TestHealthChecker_CheckFailsWithoutAReplyOrAConnection(t *testing.T) {
	r := newRig(t)
	n := r.nodes.byName["s-01"]
	r.healthChecks.check(n.id)
	r.pass(endGrace + 10)
	assert.Zero(t, r.healthChecks.pending.Len(), "no reply within the time")
	r.healthChecks.check(n.id + 1)
	r.pass(10)
	assert.Zero(t, r.healthChecks.pending.Len(), "an unknown node")

	r.close(r.node, errReset)
	r.healthChecks.check(n.id)
	dialed := r.fake.lastTo(nodeAddr)
	r.pass(endGrace + 10)
	assert.Zero(t, r.healthChecks.pending.Len(), "no connection within the time")
	r.Opened(r.at, dialed)
	assert.Empty(t, r.fake.sent[dialed], "nobody waits for its reply")
}
