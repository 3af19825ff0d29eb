package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
)

func TestBinder_NodeProcessEnds_RunningWorkloadLost(t *testing.T) {
	for name, end := range map[string]func(harness *testHarness){
		"dials are refused": func(harness *testHarness) {
			harness.closeConn(harness.nodeConn, errReset)
			for range 8 {
				harness.advance(300)
				harness.closeConn(harness.network.lastDialed(nodeAddr), errRefused)
			}
		},
		"endpoint list removes the node": func(harness *testHarness) {
			harness.closeConn(harness.nodeConn, errReset)
			harness.publishNode(2, "Gone")
		},
		"endpoint list has a later start time": func(harness *testHarness) {
			harness.advance(100)
			harness.publish(2, nodeEvent(2, "Ready", float64(harness.endpoints.clock.unixTime())))
		},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.startWorkload(7)
			end(harness)
			assert.Equal(t, []sentMessage{aConfirmation, aTermination(codec.CauseReset)},
				harness.sentAbout(harness.clientConn, 7))
		})
	}
}

func TestBinder_OfferOnLostConnection_RetriedUnlessAtMostOnce(t *testing.T) {
	t.Run("at most once, not retried", func(t *testing.T) {
		harness := newHarness(t)
		harness.receive(harness.clientConn, request(7, atMostOnce))
		harness.closeConn(harness.nodeConn, errReset)
		assert.Equal(t, []sentMessage{aTermination(codec.CauseReset)}, harness.sentAbout(harness.clientConn, 7),
			"the first node may have started it, and it must not run twice")
	})
	t.Run("idempotent, retried until rejected", func(t *testing.T) {
		harness := newHarness(t)
		harness.receive(harness.clientConn, request(8))
		harness.closeConn(harness.nodeConn, errReset)
		harness.advance(2500)
		assert.Equal(t, []sentMessage{aTermination(codec.CauseNoCapacity)}, harness.sentAbout(harness.clientConn, 8),
			"it is retried until its timeout, since it may run twice")
	})
}

func TestBinder_OfferTimedOut_NoFurtherOfferOnSilentConnection(t *testing.T) {
	harness := newHarness(t)
	harness.advance(50)
	harness.receive(harness.clientConn, request(7))
	harness.advance(1500)
	require.Contains(t, harness.sentAbout(harness.nodeConn, 7), aTermination(codec.CauseNormal), "the offer timed out")
	assert.Greater(t, harness.network.lastDialed(nodeAddr), harness.nodeConn)
	harness.receive(harness.clientConn, request(8))
	assert.Empty(t, harness.sentAbout(harness.nodeConn, 8))
}

// An offer that waits for a connection must not be sent if, when the connection opens, the client has cancelled or
// disconnected or the node is draining.
func TestBinder_PendingOfferObsolete_NotSent(t *testing.T) {
	for name, makeObsolete := range map[string]func(harness *testHarness){
		"client disconnected": func(harness *testHarness) { harness.closeConn(harness.clientConn, errClosed) },
		"request cancelled": func(harness *testHarness) {
			harness.receive(harness.clientConn, codec.NewTermination(7, codec.CauseNormal))
		},
		"node draining": func(harness *testHarness) { harness.publishNode(3, "Terminating") },
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.closeConn(harness.nodeConn, errClosed)
			harness.receive(harness.clientConn, request(7))
			dialed := harness.network.lastDialed(nodeAddr)
			require.Greater(t, dialed, harness.nodeConn)
			makeObsolete(harness)
			harness.openConn(dialed)
			assert.Empty(t, harness.sentAbout(dialed, 7))
			assert.Zero(t, harness.workloads.unanswered.Count())
		})
	}
}

func TestBinder_StopNotConfirmed_WorkloadEndsAfterEndGrace(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(7)
	harness.receive(harness.clientConn, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []sentMessage{anOffer, aTermination(codec.CauseNormal)}, harness.sentAbout(harness.nodeConn, 7))
	harness.advance(endGrace - 10)
	assert.Len(t, harness.workloads.byID, 1)
	harness.advance(30)
	assert.Empty(t, harness.workloads.byID)
	assert.Empty(t, harness.nodes.byName[nodeName].workloads)
	assert.Equal(t, []sentMessage{aConfirmation}, harness.sentAbout(harness.clientConn, 7))
}

func TestBinder_DeadlinePassed_OfferNotSent(t *testing.T) {
	harness := newHarness(t)
	harness.closeConn(harness.nodeConn, errClosed)
	harness.receive(harness.clientConn, request(7))
	dialed := harness.network.lastDialed(nodeAddr)
	harness.now += 3000 // no wake-up, which would time out the bind
	harness.openConn(dialed)
	assert.Empty(t, harness.sentAbout(dialed, 7))
}
