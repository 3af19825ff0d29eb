package platform

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// A whole list that comes late replaces what was known: a node that it does not name is gone, with what ran there.
func TestEndpointList_LateSnapshotReplacesWhatWasKnown(t *testing.T) {
	r := newRig(t)
	r.publishNodes(2)
	r.receive(r.client, runningOn(7, extraNode(1)))
	r.publish(9, fmt.Appendf(nil,
		`{"hosts":{"snapshot":true,"endpoints":[{"name":"s-01","address":%q,"zone":"z","type":"small","status":"Ready","room":[20,40]}]}}`,
		nodeAddr))
	assert.Equal(t, []string{"termination 41"}, r.sentAbout(r.client, 7))
	assert.Nil(t, r.nodes.byName[extraNode(1)])
	assert.NotNil(t, r.nodes.byName["s-01"])
	r.publishNode(8, "Gone")
	assert.Equal(t, placement.Ready, r.nodes.byName["s-01"].entry.State, "an earlier revision revives nothing and ends nothing")
}

// A new node at the address of one that the list still names: the old one's offers must not reach it, and what ran on
// the old one has ended. It guards against lists that are behind; it could harm if two nodes really shared an
// address.
func TestEndpointList_NodeThatTakesOverAnAddressEndsTheOneBefore(t *testing.T) {
	r := newRig(t)
	r.start(7)
	r.publish(2, fmt.Appendf(nil,
		`{"hosts":{"endpoints":[{"name":"s-02","address":%q,"zone":"z","type":"small","status":"Ready","room":[0,0]}]}}`, nodeAddr))
	assert.Equal(t, []string{"confirmation", "termination 41"}, r.sentAbout(r.client, 7))
	assert.True(t, r.fake.closed[r.node])
	r.receive(r.client, request(8))
	assert.Equal(t, r.node, r.fake.lastTo(nodeAddr), "nobody is dialed there for the old one")
	assert.Equal(t, []string{"termination 34"}, r.sentAbout(r.client, 8))
	r.publishNode(3, "Gone")
	assert.NotNil(t, r.nodes.byName["s-02"])
	assert.Equal(t, r.nodes.byName["s-02"], r.nodes.byAddr[nodeAddr])
}

func TestEndpointList_NewAddressEndsTheOldConnection(t *testing.T) {
	r := newRig(t)
	r.start(7)
	const moved = "127.0.0.99:5080"
	r.publish(2, fmt.Appendf(nil,
		`{"hosts":{"endpoints":[{"name":"s-01","address":%q,"zone":"z","type":"small","status":"Ready"}]}}`, moved))
	assert.True(t, r.fake.closed[r.node])
	assert.NotZero(t, r.fake.lastTo(moved), "its workload's end is to be heard")
	assert.Nil(t, r.nodes.byAddr[nodeAddr])
}

// Two readings of the clocks must not make one start of a node look like two, which would end what runs there.
func TestEndpointList_SameStartReadTwiceIsNoRestart(t *testing.T) {
	r := newRig(t)
	startedAt := float64(r.endpoints.unixTime())
	r.publish(2, nodeEvent(2, "Ready", startedAt))
	r.start(7)
	r.pass(100)
	r.publish(3, nodeEvent(3, "Ready", startedAt+15))
	assert.Equal(t, []string{"confirmation"}, r.sentAbout(r.client, 7))
	r.publish(4, nodeEvent(4, "Ready", startedAt+1000))
	assert.Equal(t, []string{"confirmation", "termination 41"}, r.sentAbout(r.client, 7))
}

// An event that names a node twice, first as gone, must not end the process: the second entry is that of a new node.
func TestEndpointList_NodeNamedTwiceInOneEvent(t *testing.T) {
	r := newRig(t)
	r.publish(2, fmt.Appendf(nil, `{"hosts":{"endpoints":[{"name":"s-01","status":"Gone"},`+
		`{"name":"s-01","address":%q,"zone":"z","type":"small","status":"Ready","room":[20,40]}]}}`, nodeAddr))
	assert.Equal(t, placement.Ready, r.nodes.byName["s-01"].entry.State)
	assert.Equal(t, r.nodes.byName["s-01"], r.nodes.byAddr[nodeAddr])
}

func TestEndpointList_EventAboutSomethingElseChangesNothing(t *testing.T) {
	r := newRig(t)
	r.publish(2, []byte(`{"pos":2,"other":{}}`))
	assert.Equal(t, uint64(2), r.subscription.revision)
	assert.Equal(t, placement.Ready, r.nodes.byName["s-01"].entry.State)
	r.receive(r.client, codec.NewHealthCheck(1))
	assert.Len(t, r.fake.sent[r.client], 1, "the service was heard")
}

// A workload is adopted before the list names its node. What the list says first is neither a restart nor the node's
// end.
func TestEndpointList_NodeNotListedBeforeHasNotRestarted(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, runningOn(7, extraNode(0)))
	r.pass(100)
	r.publish(2, fmt.Appendf(nil, `{"hosts":{"snapshot":true,"endpoints":[{"name":"s-01","address":%q,"zone":"z","type":"small",`+
		`"status":"Ready","room":[20,40]}]}}`, nodeAddr))
	assert.Empty(t, r.sentAbout(r.client, 7), "a list that does not name it yet")
	r.publish(3, fmt.Appendf(nil, `{"hosts":{"endpoints":[{"name":%q,"address":"127.0.1.0:5080","zone":"z","type":"small",`+
		`"status":"Ready","since_ms":%f,"room":[20,40]}]}}`, extraNode(0), float64(r.endpoints.unixTime())))
	assert.Empty(t, r.sentAbout(r.client, 7))
	assert.NotZero(t, r.fake.lastTo("127.0.1.0:5080"))
}
