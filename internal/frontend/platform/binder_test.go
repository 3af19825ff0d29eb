package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
)

func TestBinder_RunningWorkloadEndsWithTheProcessOfItsNode(t *testing.T) {
	for name, end := range map[string]func(r *rig){
		"nobody listens": func(r *rig) {
			r.close(r.node, errReset)
			for range 8 {
				r.pass(300)
				r.close(r.fake.lastTo(nodeAddr), errRefused)
			}
		},
		"the list says gone": func(r *rig) {
			r.close(r.node, errReset)
			r.publishNode(2, "Gone")
		},
		"the list says that it has restarted": func(r *rig) {
			r.pass(100)
			r.publish(2, nodeEvent(2, "Ready", float64(r.endpoints.unixTime())))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.start(7)
			end(r)
			assert.Equal(t, []string{"confirmation", "termination 41"}, r.sentAbout(r.client, 7))
		})
	}
}

func TestBinder_OfferOnABrokenConnectionIsRetriedUnlessAtMostOnce(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, request(7, atMostOnce))
	r.close(r.node, errReset)
	assert.Equal(t, []string{"termination 41"}, r.sentAbout(r.client, 7), "it may have run, and must run once")

	r = newRig(t)
	r.receive(r.client, request(8))
	r.close(r.node, errReset)
	r.pass(2500)
	assert.Equal(t, []string{"termination 34"}, r.sentAbout(r.client, 8), "a retry does no harm")
}

func TestBinder_NoOfferFollowsOneThatASilentConnectionSwallowed(t *testing.T) {
	r := newRig(t)
	r.pass(50)
	r.receive(r.client, request(7))
	r.pass(1500)
	require.Contains(t, r.sentAbout(r.node, 7), "termination 16", "it timed out")
	assert.Greater(t, r.fake.lastTo(nodeAddr), r.node)
	r.receive(r.client, request(8))
	assert.Empty(t, r.sentAbout(r.node, 8))
}

// An offer that waits for its node's connection leaves neither for a client that has gone nor to a node that drains.
func TestBinder_WaitingOfferIsSentOnlyIfStillWanted(t *testing.T) {
	for name, meanwhile := range map[string]func(r *rig){
		"client gone":       func(r *rig) { r.close(r.client, errClosed) },
		"request cancelled": func(r *rig) { r.receive(r.client, codec.NewTermination(7, codec.CauseNormal)) },
		"node draining":     func(r *rig) { r.publishNode(3, "Terminating") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.close(r.node, errClosed)
			r.receive(r.client, request(7))
			dialed := r.fake.lastTo(nodeAddr)
			require.Greater(t, dialed, r.node)
			meanwhile(r)
			r.Opened(r.at, dialed)
			assert.Empty(t, r.sentAbout(dialed, 7))
			assert.Zero(t, r.workloads.unanswered)
		})
	}
}

func TestBinder_StoppedWorkloadEndsWithoutTheNodesConfirmation(t *testing.T) {
	r := newRig(t)
	r.start(7)
	r.receive(r.client, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []string{"offer", "termination 16"}, r.sentAbout(r.node, 7))
	r.pass(endGrace - 10)
	assert.Len(t, r.workloads.byID, 1)
	r.pass(30)
	assert.Empty(t, r.workloads.byID)
	assert.Empty(t, r.nodes.byName["s-01"].workloads)
	assert.Equal(t, []string{"confirmation"}, r.sentAbout(r.client, 7))
}

func TestBinder_OfferIsNotSentAfterItsDeadline(t *testing.T) {
	r := newRig(t)
	r.close(r.node, errClosed)
	r.receive(r.client, request(7))
	dialed := r.fake.lastTo(nodeAddr)
	r.at += 3000 // without a wake-up, in which the bind would time out
	r.Opened(r.at, dialed)
	assert.Empty(t, r.sentAbout(dialed, 7))
}
