package platform

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// A snapshot that arrives late replaces the list: a node that it does not name is removed, and its workloads are lost.
func TestEndpointList_LateSnapshot_ReplacesTheList(t *testing.T) {
	harness := newHarness(t)
	harness.publishNodes(2)
	harness.receive(harness.clientConn, runningOn(7, extraNodeName(1)))
	harness.publish(9, snapshotEvent(readyEndpoint(nodeName, nodeAddr)))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseReset)}, harness.sentAbout(harness.clientConn, 7))
	assert.Nil(t, harness.nodes.byName[extraNodeName(1)])
	assert.NotNil(t, harness.nodes.byName[nodeName])
	harness.publishNode(8, "Gone")
	assert.Equal(t, placement.Ready, harness.nodes.byName[nodeName].entry.State, "an earlier revision is skipped")
}

// A new node has the address of one that the list still names: the offers for the old one must not reach it, and the
// workloads of the old one have ended. The list may be out of date; two nodes never share an address.
func TestEndpointList_AddressTakenOver_EarlierNodeEnds(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(7)
	harness.publish(2, deltaEvent(fmt.Sprintf(
		`{"name":"s-02","address":%q,"zone":"z","type":"small","status":"Ready","room":[0,0]}`, nodeAddr)))
	assert.Equal(t, []sentMessage{aConfirmation, aTermination(codec.CauseReset)},
		harness.sentAbout(harness.clientConn, 7))
	assert.True(t, harness.network.closed[harness.nodeConn])
	harness.receive(harness.clientConn, request(8))
	assert.Equal(t, harness.nodeConn, harness.network.lastDialed(nodeAddr), "the address is not dialed for the old one")
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
	assert.NotZero(t, harness.network.lastDialed(moved), "the end of its workload is to be received")
	assert.Nil(t, harness.nodes.byAddr[nodeAddr])
}

// Two readings of the clocks must not make one start of a node look like two, which would end its workloads.
func TestEndpointList_SameStartReadTwice_NoRestart(t *testing.T) {
	harness := newHarness(t)
	startedAt := float64(harness.endpoints.unixTime())
	harness.publish(2, nodeEvent(2, "Ready", startedAt))
	harness.startWorkload(7)
	harness.advance(100)
	harness.publish(3, nodeEvent(3, "Ready", startedAt+15))
	assert.Equal(t, []sentMessage{aConfirmation}, harness.sentAbout(harness.clientConn, 7))
	harness.publish(4, nodeEvent(4, "Ready", startedAt+1000))
	assert.Equal(t, []sentMessage{aConfirmation, aTermination(codec.CauseReset)},
		harness.sentAbout(harness.clientConn, 7))
}

// An event may remove a node and name it again: the second entry is that of a new node, and must not crash the process.
func TestEndpointList_NodeNamedTwiceInOneEvent_LastEntryApplies(t *testing.T) {
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
	assert.Len(t, harness.network.sent[harness.clientConn], 1, "the service has responded")
}

// A workload is adopted before the list names its node. The node's first entry is neither a restart nor its end.
func TestEndpointList_NodeNotListedBefore_NoRestart(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, runningOn(7, extraNodeName(0)))
	harness.advance(100)
	harness.publish(2, snapshotEvent(readyEndpoint(nodeName, nodeAddr)))
	assert.Empty(t, harness.sentAbout(harness.clientConn, 7), "a list that does not name it yet")
	harness.publish(3, deltaEvent(fmt.Sprintf(
		`{"name":%q,"address":%q,"zone":"z","type":"small","status":"Ready","since_ms":%f,"room":[20,40]}`,
		extraNodeName(0), extraNodeAddr(0), float64(harness.endpoints.unixTime()))))
	assert.Empty(t, harness.sentAbout(harness.clientConn, 7))
	assert.NotZero(t, harness.network.lastDialed(extraNodeAddr(0)))
}
