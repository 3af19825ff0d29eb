package platform

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// Addresses of the discovery service after one and two changes.
const (
	movedAddr = "127.0.0.7:7070"
	lastAddr  = "127.0.0.6:7070"
)

func TestSubscription_LostOrSilentConnectionOrNewAddress_Resumed(t *testing.T) {
	harness := newHarness(t)
	first := harness.discoveryConn()
	assert.Equal(t, []any{codec.Subscribe{Host: discoveryAddr, After: 1}}, harness.network.sent[first])
	harness.publishNode(2, "Terminating")
	harness.closeConn(first, errReset)
	harness.advance(200)
	second := harness.discoveryConn()
	harness.openConn(second)
	assert.Equal(t, []any{codec.Subscribe{Host: discoveryAddr, After: 2}}, harness.network.sent[second])
	harness.publishNode(1, "Ready")
	assert.Equal(t, placement.Draining, harness.nodes.byName[nodeName].entry.State, "an earlier revision is skipped")
	harness.advance(silenceTimeout + 200)
	third := harness.discoveryConn()
	assert.Greater(t, third, second, "the silent connection is replaced")
	harness.Reload(harness.now, movedAddr)
	assert.True(t, harness.network.closed[third])
	assert.NotZero(t, harness.network.lastDialed(movedAddr))
}

// After two changes of the discovery service's address, the subscription continues at the last address, after the last
// applied event. Late events from the first address are ignored, since the last one sends them again; a drain published
// there applies.
func TestSubscription_ReloadedTwice_LastAddressUsed(t *testing.T) {
	harness := newHarness(t)
	old := harness.discoveryConn()
	harness.Reload(harness.now, movedAddr)
	harness.Reload(harness.now, lastAddr)
	last := harness.network.lastDialed(lastAddr)
	assert.True(t, harness.network.closed[old])
	assert.True(t, harness.network.closed[harness.network.lastDialed(movedAddr)])
	harness.openConn(last)
	assert.Equal(t, []any{codec.Subscribe{Host: lastAddr, After: 1}}, harness.network.sent[last])
	harness.Received(harness.now, old, batchOf(5, nodeEvent(5, "Ready", 0)))
	harness.Received(harness.now, last, batchOf(2, nodeEvent(2, "Terminating", 0)))
	harness.receive(harness.clientConn, request(7))
	assert.Empty(t, harness.sentAbout(harness.nodeConn, 7))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseNoCapacity)}, harness.sentAbout(harness.clientConn, 7))
}

func TestSubscription_MalformedEvent_RequestedAgainThenSkipped(t *testing.T) {
	harness := newHarness(t)
	batch := &codec.EventBatch{Events: []codec.Event{
		{Revision: 2, Data: deltaEvent(`{"name":"s-01","status":"Lost"}`)},
		{Revision: 3, Data: nodeEvent(3, "Terminating", 0)},
	}}
	for range maxMalformed - 1 {
		conn := harness.discoveryConn()
		harness.Received(harness.now, conn, batch)
		assert.True(t, harness.network.closed[conn])
		assert.Equal(t, placement.Ready, harness.nodes.byName[nodeName].entry.State, "later events are not applied yet")
		again := harness.discoveryConn()
		assert.Greater(t, again, conn)
		harness.openConn(again)
		assert.Equal(t, []any{codec.Subscribe{Host: discoveryAddr, After: 1}}, harness.network.sent[again])
	}
	conn := harness.discoveryConn()
	harness.Received(harness.now, conn, batch)
	assert.False(t, harness.network.closed[conn])
	assert.Equal(t, placement.Draining, harness.nodes.byName[nodeName].entry.State)
	assert.Equal(t, uint64(3), harness.subscription.revision)
	assert.Zero(t, harness.subscription.malformed)
}

func TestSubscription_Failures_DelayGrows(t *testing.T) {
	harness := newHarness(t)
	attempts := 0
	for last := harness.discoveryConn(); harness.now < 10e3; harness.advance(10) {
		if !harness.network.closed[last] {
			harness.closeConn(last, errClosed)
			harness.network.closed[last] = true
			attempts++
		}
		last = harness.discoveryConn()
	}
	assert.InDelta(t, 22, attempts, 5, "about one every 0.5 s, after shorter initial delays")
}

func TestSubscription_EventOrNewAddress_ResetsFailures(t *testing.T) {
	harness := newHarness(t)
	harness.subscription.failures = 5
	harness.publishNode(2, "Ready")
	assert.Zero(t, harness.subscription.failures)
	harness.subscription.failures = 5
	harness.Reload(harness.now, movedAddr)
	assert.Zero(t, harness.subscription.failures)
}

// Guards both sides of the silence timeout: a connection on which a part of an event has arrived is not silent, and one
// that falls silent afterwards is replaced.
func TestSubscription_PartOfAnEvent_IsNoSilence(t *testing.T) {
	harness := newHarness(t)
	conn := harness.discoveryConn()
	harness.network.receiving[conn] = true
	harness.advance(4 * silenceTimeout)
	assert.False(t, harness.network.closed[conn])
	harness.network.receiving[conn] = false
	harness.advance(silenceTimeout + 100)
	assert.True(t, harness.network.closed[conn])
	assert.Greater(t, harness.discoveryConn(), conn)
}

// Guards against an event that is too large to be received: later events must be applied, and an operator must see it.
func TestSubscription_EventTooLarge_SkippedWithAnError(t *testing.T) {
	var log strings.Builder
	harness := newHarness(t)
	harness.subscription.log = slog.New(slog.NewTextHandler(&log, nil))
	conn := harness.discoveryConn()
	harness.Received(harness.now, conn, &codec.EventBatch{Events: []codec.Event{
		{Revision: 2, Data: nil},
		{Revision: 3, Data: nodeEvent(3, "Terminating", 0)},
	}})
	assert.False(t, harness.network.closed[conn])
	assert.Equal(t, placement.Draining, harness.nodes.byName[nodeName].entry.State)
	assert.Equal(t, uint64(1), harness.Counters.SkippedEvents)
	assert.Contains(t, log.String(), `level=ERROR msg="event of the discovery service skipped" revision=2`)
}
