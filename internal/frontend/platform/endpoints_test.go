package platform

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// A snapshot replaces the whole list, also if it is received after other events: nodes that it does not contain are
// removed, and their workloads are lost.
func TestEndpointList_LateSnapshot_ReplacesTheList(t *testing.T) {
	harness := newHarness(t)
	harness.publishNodes(2)
	harness.receive(harness.clientConn, adoptRequest(7, extraNodeName(1)))
	harness.publish(9, snapshotEvent(readyEndpoint(nodeName, nodeAddr)))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseReset)}, harness.sentAbout(harness.clientConn, 7))
	assert.Nil(t, harness.nodes.byName[extraNodeName(1)])
	assert.NotNil(t, harness.nodes.byName[nodeName])
	harness.publishNode(8, "Gone")
	assert.Equal(t, placement.Ready, harness.nodes.byName[nodeName].entry.State, "an earlier revision is skipped")
}

// The list may be out of date and still contain a node whose address a new node has. Two nodes never share an address,
// so the workloads of the old node have ended, and offers for it must not be sent to the new one.
func TestEndpointList_AddressTakenOver_EarlierNodeEnds(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(7)
	harness.publish(2, deltaEvent(fmt.Sprintf(
		`{"name":"s-02","address":%q,"zone":"z","type":"small","status":"Ready","room":[0,0]}`, nodeAddr)))
	assert.Equal(t, []sentMessage{aConfirmation, aTermination(codec.CauseReset)},
		harness.sentAbout(harness.clientConn, 7))
	assert.True(t, harness.network.closed[harness.nodeConn])
	harness.receive(harness.clientConn, request(8))
	assert.Equal(t, harness.nodeConn, harness.network.lastDialed(nodeAddr), "the address is not dialed for the old node")
	assert.Equal(t, []sentMessage{aTermination(codec.CauseNoCapacity)}, harness.sentAbout(harness.clientConn, 8))
	harness.publishNode(3, "Gone")
	assert.NotNil(t, harness.nodes.byName["s-02"])
	assert.Equal(t, harness.nodes.byName["s-02"], harness.nodes.byAddr[nodeAddr])
}

func TestEndpointList_NewAddress_OldConnectionClosed(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(7)
	const moved = "127.0.0.99:5080"
	harness.publish(2, deltaEvent(fmt.Sprintf(
		`{"name":%q,"address":%q,"zone":"z","type":"small","status":"Ready"}`, nodeName, moved)))
	assert.True(t, harness.network.closed[harness.nodeConn])
	assert.NotZero(t, harness.network.lastDialed(moved), "dialed to receive the end of its workload")
	assert.Nil(t, harness.nodes.byAddr[nodeAddr])
}

// The start time of a node is calculated from two clocks for each event. A small difference between two calculations
// must not be treated as a restart, which would end the node's workloads.
func TestEndpointList_SameStartReadTwice_NoRestart(t *testing.T) {
	harness := newHarness(t)
	startedAt := float64(harness.endpoints.clock.unixTime())
	harness.publish(2, nodeEvent(2, "Ready", startedAt))
	harness.startWorkload(7)
	harness.advance(100)
	harness.publish(3, nodeEvent(3, "Ready", startedAt+15))
	assert.Equal(t, []sentMessage{aConfirmation}, harness.sentAbout(harness.clientConn, 7))
	harness.publish(4, nodeEvent(4, "Ready", startedAt+1000))
	assert.Equal(t, []sentMessage{aConfirmation, aTermination(codec.CauseReset)},
		harness.sentAbout(harness.clientConn, 7))
}

// Guards against a step of the wall clock that looks like a restart of each node, which would end its workloads.
func TestEndpointList_WallClockStepped_NoRestart(t *testing.T) {
	for _, step := range []placement.Millis{-3600e3, -5e3, 5e3, 3600e3} {
		harness := newHarness(t)
		startedAt := float64(harness.endpoints.clock.unixTime())
		harness.publish(2, nodeEvent(2, "Ready", startedAt))
		harness.startWorkload(7)
		before := harness.nodes.byName[nodeName].entry.StartedAt
		harness.endpoints.clock.unixTime = func() placement.Millis { return 1e9 + harness.now + step }
		harness.advance(100)
		harness.publish(3, nodeEvent(3, "Ready", startedAt))
		assert.Equal(t, []sentMessage{aConfirmation}, harness.sentAbout(harness.clientConn, 7), step)
		assert.InDelta(t, float64(before), float64(harness.nodes.byName[nodeName].entry.StartedAt), 0.1, step)
		harness.publish(4, nodeEvent(4, "Ready", float64(harness.endpoints.clock.unixTime())))
		assert.Equal(t, []sentMessage{aConfirmation, aTermination(codec.CauseReset)},
			harness.sentAbout(harness.clientConn, 7), "a restart after the step")
	}
}

// Guards against a cold node that counts as warm, or a warm one that counts as cold, after a step of the wall clock.
func TestWallClock_Stepped_StartsConverted(t *testing.T) {
	const now, age = placement.Millis(100e3), placement.Millis(3e3)
	for _, step := range []placement.Millis{-3600e3, -5e3, 5e3, 3600e3} {
		unix := placement.Millis(1e12)
		clock := &wallClock{unixTime: func() placement.Millis { return unix }}
		clock.convert(0, unix)
		unix += now + step
		startedBeforeStep := unix - step - age
		startedAfterStep := unix - age
		for _, started := range []placement.Millis{startedBeforeStep, startedAfterStep} {
			converted := clock.convert(now, started)
			assert.InDelta(t, float64(now-age), float64(converted), 0.1, "step of %v, start %v", step, started)
		}
	}
}

// An event may remove a node and add it again. The first entry removes the node from the table, so the second one must
// create a new node rather than crash.
func TestEndpointList_TwoEntriesForOneNode_LastEntryApplies(t *testing.T) {
	harness := newHarness(t)
	harness.publish(2, deltaEvent(`{"name":"s-01","status":"Gone"}`, readyEndpoint(nodeName, nodeAddr)))
	assert.Equal(t, placement.Ready, harness.nodes.byName[nodeName].entry.State)
	assert.Equal(t, harness.nodes.byName[nodeName], harness.nodes.byAddr[nodeAddr])
}

func TestEndpointList_EventNotAboutNodes_ChangesNothing(t *testing.T) {
	harness := newHarness(t)
	harness.publish(2, []byte(`{"pos":2,"other":{}}`))
	assert.Equal(t, uint64(2), harness.subscription.revision)
	assert.Equal(t, placement.Ready, harness.nodes.byName[nodeName].entry.State)
	harness.receive(harness.clientConn, codec.NewHealthCheck(1))
	assert.Len(t, harness.network.sent[harness.clientConn], 1, "the frontend is ready after the response")
}

// A workload may be adopted before the endpoint list contains its node. Neither a list without the node nor the node's
// first entry may be treated as the end or restart of its process.
func TestEndpointList_NodeNotListedBefore_NoRestart(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, adoptRequest(7, extraNodeName(0)))
	harness.advance(100)
	harness.publish(2, snapshotEvent(readyEndpoint(nodeName, nodeAddr)))
	assert.Empty(t, harness.sentAbout(harness.clientConn, 7), "the list does not contain the node yet")
	harness.publish(3, deltaEvent(fmt.Sprintf(
		`{"name":%q,"address":%q,"zone":"z","type":"small","status":"Ready","since_ms":%f,"room":[20,40]}`,
		extraNodeName(0), extraNodeAddr(0), float64(harness.endpoints.clock.unixTime()))))
	assert.Empty(t, harness.sentAbout(harness.clientConn, 7))
	assert.NotZero(t, harness.network.lastDialed(extraNodeAddr(0)))
}
