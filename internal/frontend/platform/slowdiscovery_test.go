package platform

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

// longEvent returns an event of at least the given size in bytes that begins to drain the harness's node.
func longEvent(size int) []byte {
	endpoints := []string{fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"small","group":0,`+
		`"status":"Terminating","room":[20,40]}`, nodeName, nodeAddr)}
	for length := 0; length < size; length += len(endpoints[len(endpoints)-1]) {
		endpoints = append(endpoints, readyEndpoint(extraNodeName(len(endpoints)), extraNodeAddr(len(endpoints))))
	}
	return deltaEvent(endpoints...)
}

// startWithDiscovery starts a frontend on sockets, and waits until it has subscribed.
func startWithDiscovery(t *testing.T) *socketHarness {
	t.Helper()
	harness := startOnSockets(t)
	require.Eventually(t, func() bool { return harness.discovery.subscriptions() == 1 }, eventTimeout, writeInterval)
	return harness
}

// Guards against a message timeout that cuts off an event of a discovery service that writes slowly: it was requested
// again without end, and no later event was received either.
func TestSubscription_EventTakesLongerThanTheMessageTimeout_Applied(t *testing.T) {
	t.Parallel()
	harness := startWithDiscovery(t)
	const pieceSize = 1000 // 20 kB a second
	event := sseEvent(2, longEvent(int(1.5*float64(messageTimeout)/1000*20*pieceSize)))
	require.NoError(t, harness.discovery.write(event, pieceSize))
	harness.waitUntil(t, func() bool { return harness.nodeState() == placement.Draining })
	assert.Equal(t, 1, harness.discovery.subscriptions())
}

// Guards against a discovery service that stops in the middle of an event: the connection must be replaced soon.
func TestSubscription_EventStops_RequestedAgain(t *testing.T) {
	t.Parallel()
	harness := startWithDiscovery(t)
	event := sseEvent(2, longEvent(30_000))
	require.NoError(t, harness.discovery.stall(event[:20_000]))
	require.Eventually(t, func() bool { return harness.discovery.subscriptions() == 2 }, eventTimeout, writeInterval)
	require.NoError(t, harness.discovery.write(event, len(event)))
	harness.waitUntil(t, func() bool { return harness.nodeState() == placement.Draining })
	harness.waitUntil(t, func() bool { return harness.Counters.StalledMessages == 1 })
}

// Guards against a silence timeout that counts whole events: it replaced the connection during an event that takes
// longer, or during several in a row.
func TestSubscription_EventsTakeLongerThanTheSilenceTimeout_Applied(t *testing.T) {
	t.Parallel()
	harness := startWithDiscovery(t)
	const pieceSize = 1000 // 20 kB a second
	size := int(1.2 * float64(silenceTimeout) / 1000 * 20 * pieceSize)
	events := sseEvent(2, longEvent(size)) + sseEvent(3, nodeEvent(3, "Ready", 0)) + sseEvent(4, longEvent(size))
	require.NoError(t, harness.discovery.write(events, pieceSize))
	harness.waitUntil(t, func() bool { return harness.subscription.revision == 4 })
	harness.waitUntil(t, func() bool { return harness.nodeState() == placement.Draining })
	assert.Equal(t, 1, harness.discovery.subscriptions())
}
