package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/frontend/platform/codec"
)

func TestHealthChecker_Reply_CompletesTheCheck(t *testing.T) {
	harness := newHarness(t)
	n := harness.nodes.byName[nodeName]
	harness.healthChecks.check(n.id)
	assert.Equal(t, []any{codec.NewHealthCheck(1)}, harness.network.sent[harness.nodeConn])
	assert.Equal(t, 1, harness.healthChecks.checks.Len())
	other := &node{id: n.id + 1}
	assert.False(t, harness.healthChecks.completed(harness.now, other, codec.NewHealthReply(1, true)),
		"the reply is from another node")
	harness.receive(harness.nodeConn, codec.NewHealthReply(1, true))
	assert.Zero(t, harness.healthChecks.checks.Len())
	harness.receive(harness.nodeConn, codec.NewHealthReply(1, true)) // a repeated reply is ignored
}

func TestHealthChecker_NoReplyOrNoConnection_CheckFails(t *testing.T) {
	harness := newHarness(t)
	n := harness.nodes.byName[nodeName]
	harness.healthChecks.check(n.id)
	harness.advance(endGrace + 10)
	assert.Zero(t, harness.healthChecks.checks.Len(), "no reply within the timeout")
	harness.healthChecks.check(n.id + 1)
	harness.advance(10)
	assert.Zero(t, harness.healthChecks.checks.Len(), "the node is unknown")

	harness.closeConn(harness.nodeConn, errReset)
	harness.healthChecks.check(n.id)
	dialed := harness.network.lastDialed(nodeAddr)
	harness.advance(endGrace + 10)
	assert.Zero(t, harness.healthChecks.checks.Len(), "no connection within the timeout")
	harness.openConn(dialed)
	assert.Empty(t, harness.network.sent[dialed], "the check has already failed")
}
