package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

func TestSubscription_ResumesOverBreaksSilenceAndNewAddresses(t *testing.T) {
	r := newRig(t)
	first := r.fake.lastTo(discoveryAddr)
	assert.Equal(t, []any{codec.Subscribe{Host: discoveryAddr, After: 1}}, r.fake.sent[first])
	r.publishNode(2, "Terminating")
	r.close(first, errReset)
	r.pass(200)
	second := r.fake.lastTo(discoveryAddr)
	r.Opened(r.at, second)
	assert.Equal(t, []any{codec.Subscribe{Host: discoveryAddr, After: 2}}, r.fake.sent[second])
	r.publishNode(1, "Ready")
	assert.Equal(t, placement.Draining, r.nodes.byName["s-01"].entry.State, "an earlier revision is passed over")
	r.pass(silenceTimeout + 200)
	third := r.fake.lastTo(discoveryAddr)
	assert.Greater(t, third, second, "the service was silent")
	r.Reload(r.at, "127.0.0.7:7070")
	assert.True(t, r.fake.closed[third])
	assert.NotZero(t, r.fake.lastTo("127.0.0.7:7070"))
}

// A discovery service that moves twice is followed at its last address, from the last complete event on; what the old
// one still has on its way is sent by the new one, and a drain published at once applies.
func TestSubscription_ReloadFollowsTheLastAddress(t *testing.T) {
	r := newRig(t)
	old := r.fake.lastTo(discoveryAddr)
	r.Reload(r.at, "127.0.0.7:7070")
	r.Reload(r.at, "127.0.0.6:7070")
	last := r.fake.lastTo("127.0.0.6:7070")
	assert.True(t, r.fake.closed[old])
	assert.True(t, r.fake.closed[r.fake.lastTo("127.0.0.7:7070")])
	r.Opened(r.at, last)
	assert.Equal(t, []any{codec.Subscribe{Host: "127.0.0.6:7070", After: 1}}, r.fake.sent[last])
	r.Received(r.at, old, batchOf(5, nodeEvent(5, "Ready", 0)))
	r.Received(r.at, last, batchOf(2, nodeEvent(2, "Terminating", 0)))
	r.receive(r.client, request(7))
	assert.Empty(t, r.sentAbout(r.node, 7))
	assert.Equal(t, []string{"termination 34"}, r.sentAbout(r.client, 7))
}

func TestSubscription_MalformedEventIsReadAgainThenPassedOver(t *testing.T) {
	r := newRig(t)
	batch := &codec.EventBatch{Events: []codec.Event{
		{Revision: 2, Data: []byte(`{"hosts":{"endpoints":[{"name":"s-01","status":"Lost"}]}}`)},
		{Revision: 3, Data: nodeEvent(3, "Terminating", 0)},
	}}
	for range maxMalformed - 1 {
		conn := r.fake.lastTo(discoveryAddr)
		r.Received(r.at, conn, batch)
		assert.True(t, r.fake.closed[conn])
		assert.Equal(t, placement.Ready, r.nodes.byName["s-01"].entry.State, "what follows it waits")
		again := r.fake.lastTo(discoveryAddr)
		assert.Greater(t, again, conn)
		r.Opened(r.at, again)
		assert.Equal(t, []any{codec.Subscribe{Host: discoveryAddr, After: 1}}, r.fake.sent[again])
	}
	conn := r.fake.lastTo(discoveryAddr)
	r.Received(r.at, conn, batch)
	assert.False(t, r.fake.closed[conn])
	assert.Equal(t, placement.Draining, r.nodes.byName["s-01"].entry.State)
	assert.Equal(t, uint64(3), r.subscription.revision)
	assert.Zero(t, r.subscription.malformed)
}

func TestSubscription_DelayGrowsWithFailures(t *testing.T) {
	r := newRig(t)
	attempts := 0
	for last := r.fake.lastTo(discoveryAddr); r.at < 10e3; r.pass(10) {
		if !r.fake.closed[last] {
			r.close(last, errClosed)
			r.fake.closed[last] = true
			attempts++
		}
		last = r.fake.lastTo(discoveryAddr)
	}
	assert.InDelta(t, 22, attempts, 5, "about every 0.5 s in the end")
}

func TestSubscription_EventOrNewAddressEndsARowOfFailures(t *testing.T) {
	r := newRig(t)
	r.subscription.failures = 5
	r.publishNode(2, "Ready")
	assert.Zero(t, r.subscription.failures)
	r.subscription.failures = 5
	r.Reload(r.at, "127.0.0.7:7070")
	assert.Zero(t, r.subscription.failures)
}
