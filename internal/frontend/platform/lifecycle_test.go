package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
)

func TestLifecycle_Drain_FailsHealthChecksAndAnswersPendingRequests(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, request(7))
	harness.Drain(harness.now)
	harness.receive(harness.clientConn, codec.NewHealthCheck(1))
	assert.Equal(t, []any{codec.NewHealthReply(1, false)}, harness.network.sent[harness.clientConn])
	harness.advance(drainTimeout + 50)
	assert.False(t, harness.Drained(harness.now))
	harness.Drain(harness.now) // a second call has no effect
	harness.receive(harness.clientConn, request(8))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseNoCapacity)}, harness.sentAbout(harness.clientConn, 8))
	harness.receive(harness.nodeConn, confirmation(7))
	assert.True(t, harness.Drained(harness.now))
}

func TestLifecycle_DrainBegun_RequestsServedAtFirst(t *testing.T) {
	harness := newHarness(t)
	assert.False(t, harness.Drained(harness.now))
	harness.Drain(harness.now)
	harness.advance(drainTimeout - 50)
	harness.receive(harness.clientConn, request(7))
	assert.Equal(t, []sentMessage{anOffer}, harness.sentAbout(harness.nodeConn, 7))
	harness.receive(harness.nodeConn, confirmation(7))
	assert.False(t, harness.Drained(harness.now))
	harness.advance(60)
	assert.True(t, harness.Drained(harness.now), "running workloads do not delay the end")
}

// If the process exited while a release waits for a connection, the node would keep the workload running. The release
// has to be sent or time out before.
func TestLifecycle_PendingRelease_DelaysTheEnd(t *testing.T) {
	for name, opens := range map[string]bool{"connection opens": true, "connection does not open": false} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.startWorkload(7)
			harness.Drain(harness.now)
			harness.closeConn(harness.nodeConn, errReset)
			harness.receive(harness.clientConn, codec.NewTermination(7, codec.CauseNormal))
			harness.advance(drainTimeout + 50)
			assert.False(t, harness.Drained(harness.now))
			if opens {
				harness.openConn(harness.network.lastDialed(nodeAddr))
				assert.Equal(t, []sentMessage{aTermination(codec.CauseNormal)},
					harness.sentAbout(harness.network.lastDialed(nodeAddr), 7))
			} else {
				harness.advance(releaseTimeout)
			}
			assert.True(t, harness.Drained(harness.now))
		})
	}
}

// The node list in the configuration is older than the process, and a drain may have been published since. Health
// checks therefore wait for a response of the discovery service, so that clients send requests only after the drain
// applies. Without a response, they pass after readyTimeout.
func TestLifecycle_Starting_HealthCheckPassesOnceDiscoveryResponded(t *testing.T) {
	for name, respond := range map[string]func(harness *testHarness){
		"events were missed": func(harness *testHarness) { harness.publishNode(2, "Terminating") },
		"no event was missed": func(harness *testHarness) {
			harness.Received(harness.now, harness.discoveryConn(), &codec.EventBatch{})
			harness.advance(readyDelay + 10)
		},
		"no response": func(harness *testHarness) { harness.advance(readyTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.receive(harness.clientConn, codec.NewHealthCheck(1))
			assert.Empty(t, harness.network.sent[harness.clientConn])
			respond(harness)
			require.Len(t, harness.network.sent[harness.clientConn], 1)
			assert.Equal(t, codec.NewHealthReply(1, true), harness.network.sent[harness.clientConn][0])
			assert.Empty(t, harness.lifecycle.pendingChecks)
		})
	}
}

func TestLifecycle_PendingHealthChecks_Bounded(t *testing.T) {
	harness := newHarness(t)
	for range maxPendingChecks {
		harness.receive(harness.clientConn, codec.NewHealthCheck(1))
	}
	assert.Empty(t, harness.network.sent[harness.clientConn])
	harness.receive(harness.clientConn, codec.NewHealthCheck(2))
	assert.Equal(t, []any{codec.NewHealthReply(2, true)},
		harness.network.sent[harness.clientConn], "a check beyond the limit gets a reply immediately")
	harness.openConn(otherConn)
	harness.receive(otherConn, codec.NewHealthCheck(3))
	assert.Empty(t, harness.network.sent[otherConn], "another client's check waits until the frontend is ready")
}

func TestLifecycle_DrainedBeforeReady_PendingHealthChecksFail(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, codec.NewHealthCheck(1))
	harness.Drain(harness.now)
	harness.advance(readyTimeout)
	assert.Equal(t, []any{codec.NewHealthReply(1, false)}, harness.network.sent[harness.clientConn])
}

func TestLifecycle_FirstMessageOfDiscovery_HealthCheckWaitsForMissedEvents(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, codec.NewHealthCheck(1))
	harness.Received(harness.now, harness.discoveryConn(), &codec.EventBatch{})
	assert.Empty(t, harness.network.sent[harness.clientConn], "missed events may follow")
	harness.advance(readyDelay - 10)
	assert.Empty(t, harness.network.sent[harness.clientConn])
	harness.advance(20)
	assert.Len(t, harness.network.sent[harness.clientConn], 1)
}

// Guards against a request that a kill finds unanswered: one that comes later than 0.7 s after SIGTERM counts as lost
// then, and its node may be silent for longer than the kill waits.
func TestLifecycle_RequestLaterThanTheKillForgives_Rejected(t *testing.T) {
	harness := newHarness(t)
	harness.Drain(harness.now)
	harness.advance(600)
	harness.receive(harness.clientConn, request(7))
	assert.Equal(t, []sentMessage{anOffer}, harness.sentAbout(harness.nodeConn, 7))
	harness.advance(95)
	harness.receive(harness.clientConn, request(8))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseNoCapacity)}, harness.sentAbout(harness.clientConn, 8))
}
