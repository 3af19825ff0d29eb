package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// Guards against a health check that fails although messages of its node were received and are queued, and against one
// that waits for others.
func TestHealthChecker_MessagesQueuedWhenTheCheckIsDue_Waits(t *testing.T) {
	for name, test := range map[string]struct {
		queued      bool
		wantPending bool
	}{
		"messages queued": {queued: true, wantPending: true},
		"nothing queued":  {},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			const check = 1 // number of the first check
			harness.host.Handle(harness.now, func() {
				harness.healthChecks.check(harness.nodes.byName[nodeName].id)
			})
			harness.keepDiscoveryAlive(endGrace - 50)
			require.True(t, harness.healthChecks.checks.Pending(check))
			harness.network.queued[harness.nodeConn] = test.queued
			harness.advance(100)
			assert.Equal(t, test.wantPending, harness.healthChecks.checks.Pending(check))
		})
	}
}
