package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
)

func TestLifecycle_DrainFailsHealthChecksAndAnswersWhatIsPending(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, request(7))
	r.Drain(r.at)
	r.receive(r.client, codec.NewHealthCheck(1))
	assert.Equal(t, []any{codec.NewHealthReply(1, false)}, r.fake.sent[r.client])
	r.pass(drainTimeout + 50)
	assert.False(t, r.Drained(r.at))
	r.Drain(r.at) // a second signal changes nothing
	r.receive(r.client, request(8))
	assert.Equal(t, []string{"termination 34"}, r.sentAbout(r.client, 8))
	r.receive(r.node, confirmation(7))
	assert.True(t, r.Drained(r.at))
}

func TestLifecycle_RequestsAreServedAtFirstWhileDraining(t *testing.T) {
	r := newRig(t)
	assert.False(t, r.Drained(r.at))
	r.Drain(r.at)
	r.pass(drainTimeout - 50)
	r.receive(r.client, request(7))
	assert.Equal(t, []string{"offer"}, r.sentAbout(r.node, 7))
	r.receive(r.node, confirmation(7))
	assert.False(t, r.Drained(r.at))
	r.pass(60)
	assert.True(t, r.Drained(r.at), "what is running runs on")
}

// A release that waits for its node's connection is sent before the process ends, or given up after a while.
func TestLifecycle_PendingReleaseDelaysTheEnd(t *testing.T) {
	for name, opens := range map[string]bool{"connection opens": true, "connection does not open": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.start(7)
			r.Drain(r.at)
			r.close(r.node, errReset)
			r.receive(r.client, codec.NewTermination(7, codec.CauseNormal))
			r.pass(drainTimeout + 50)
			assert.False(t, r.Drained(r.at))
			if opens {
				r.Opened(r.at, r.fake.lastTo(nodeAddr))
				assert.Equal(t, []string{"termination 16"}, r.sentAbout(r.fake.lastTo(nodeAddr), 7))
			} else {
				r.pass(releaseTimeout)
			}
			assert.True(t, r.Drained(r.at))
		})
	}
}

// A health check passes once the discovery service was heard, so that nothing is placed by what the configuration
// knew before the start: a drain published in between applies. Where the service is not heard it passes all the same,
// a little later.
func TestLifecycle_HealthCheckPassesOnceTheDiscoveryServiceWasHeard(t *testing.T) {
	for name, hear := range map[string]func(r *rig){
		"events were missed": func(r *rig) { r.publishNode(2, "Terminating") },
		"none was missed": func(r *rig) {
			r.Received(r.at, r.fake.lastTo(discoveryAddr), &codec.EventBatch{})
			r.pass(readyDelay + 10)
		},
		"nothing is heard": func(r *rig) { r.pass(readyTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.receive(r.client, codec.NewHealthCheck(1))
			assert.Empty(t, r.fake.sent[r.client])
			hear(r)
			require.Len(t, r.fake.sent[r.client], 1)
			assert.Equal(t, codec.NewHealthReply(1, true), r.fake.sent[r.client][0])
			assert.Empty(t, r.lifecycle.pendingChecks)
		})
	}
}

func TestLifecycle_PendingHealthChecksAreBounded(t *testing.T) {
	r := newRig(t)
	for range maxPendingChecks {
		r.receive(r.client, codec.NewHealthCheck(1))
	}
	assert.Empty(t, r.fake.sent[r.client])
	r.receive(r.client, codec.NewHealthCheck(2))
	assert.Equal(t, []any{codec.NewHealthReply(2, true)}, r.fake.sent[r.client], "one more has its reply at once")
}

func TestLifecycle_DrainBeforeReadinessFailsPendingHealthChecks(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, codec.NewHealthCheck(1))
	r.Drain(r.at)
	r.pass(readyTimeout)
	assert.Equal(t, []any{codec.NewHealthReply(1, false)}, r.fake.sent[r.client])
}

func TestLifecycle_HealthCheckWaitsForWhatFollowsTheFirstMessage(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, codec.NewHealthCheck(1))
	r.Received(r.at, r.fake.lastTo(discoveryAddr), &codec.EventBatch{})
	assert.Empty(t, r.fake.sent[r.client], "events that were missed may follow")
	r.pass(readyDelay - 10)
	assert.Empty(t, r.fake.sent[r.client])
	r.pass(20)
	assert.Len(t, r.fake.sent[r.client], 1)
}
