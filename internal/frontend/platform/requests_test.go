package platform

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
)

func TestRequestHandler_InvalidRequest_AnsweredAndConnectionClosed(t *testing.T) {
	const valid = `{"verb":"START","tag":"0000000000000007","opts":{"class":"tiles","left":"2000","key":"aa",` +
		`"extras":"cores:1;memory:2;service:07"},"blob":"x"}`
	for name, change := range map[string][2]string{
		"unknown class":            {"tiles", "none"},
		"cores not a number":       {"cores:1", "cores:NaN"},
		"cores below zero":         {"cores:1", "cores:-1"},
		"cores out of range":       {"cores:1", "cores:1e9"},
		"more cores than any node": {"cores:1", "cores:20.5"},
		"more memory than a node":  {"memory:2", "memory:41"},
		"no cores and memory":      {"cores:1;memory:2;service:07", ""},
		"timeout too long":         {"2000", "1e300"},
		"no description":           {`"blob"`, `"other"`},
		"verb sent by allocators":  {`"START"`, `"MOVE"`},
		"confirmation by a client": {`"START"`, `"STARTED"`},
		"adoption, unknown class":  {`tiles","left":"2000`, `none","at":"s-01`},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.receiveLine(t, harness.clientConn, strings.Replace(valid, change[0], change[1], 1))
			assert.Equal(t, []sentMessage{aTermination(codec.CauseInvalid)}, harness.sentAbout(harness.clientConn, 7))
			assert.Empty(t, harness.sentAbout(harness.nodeConn, 7))
			assert.True(t, harness.network.closed[harness.clientConn])
		})
	}
	harness := newHarness(t)
	harness.receiveLine(t, harness.clientConn, valid)
	assert.Equal(t, []sentMessage{anOffer}, harness.sentAbout(harness.nodeConn, 7), "the unchanged request is valid")
}

func TestRequestHandler_MessageWithoutEffect_Ignored(t *testing.T) {
	for _, verb := range []string{"PENDING", "FINISHED", "NOTICE", "ECHOED"} {
		harness := newHarness(t)
		harness.receiveLine(t, harness.clientConn, fmt.Sprintf(`{"verb":%q,"tag":"0000000000000007"}`, verb))
		assert.Empty(t, harness.network.sent[harness.clientConn], verb)
		assert.False(t, harness.network.closed[harness.clientConn], verb)
	}
}

func TestRequestHandler_TagOfAnotherConnection_Rejected(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, request(7))
	harness.openConn(otherConn)
	harness.receive(otherConn, request(7))
	harness.receive(otherConn, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseInvalid)}, harness.sentAbout(otherConn, 7))
	assert.False(t, harness.network.closed[otherConn])
	harness.receive(harness.nodeConn, confirmation(7))
	assert.Equal(t, []sentMessage{aConfirmation},
		harness.sentAbout(harness.clientConn, 7), "the first request is not affected")
}

func TestRequestHandler_TagInUseOnTheSameConnection_ConnectionClosed(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, request(7))
	harness.receive(harness.clientConn, request(7))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseInvalid)}, harness.sentAbout(harness.clientConn, 7))
	assert.True(t, harness.network.closed[harness.clientConn])
	assert.Equal(t, []sentMessage{anOffer, aTermination(codec.CauseNormal)}, harness.sentAbout(harness.nodeConn, 7))
}

func TestRequestHandler_CancelledRequest_AbandonedAndNotAnswered(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, request(7))
	harness.receive(harness.clientConn, codec.NewTermination(7, codec.CauseNormal))
	harness.receive(harness.nodeConn, confirmation(7))
	assert.Equal(t, []sentMessage{anOffer, aTermination(codec.CauseNormal)}, harness.sentAbout(harness.nodeConn, 7))
	assert.Empty(t, harness.sentAbout(harness.clientConn, 7))
	assert.Empty(t, harness.workloads.byID)
}

// A request from a client that has closed its connection must not cause a bind, even if the request is handled before
// the close. The termination of a running workload is still handled.
func TestRequestHandler_RequestOnClosedConnection_Dropped(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(6)
	harness.network.closedByPeer[harness.clientConn] = true
	harness.receive(harness.clientConn, request(7))
	harness.receive(harness.clientConn, codec.NewTermination(6, codec.CauseNormal))
	assert.Empty(t, harness.sentAbout(harness.nodeConn, 7))
	assert.Equal(t, []sentMessage{anOffer, aTermination(codec.CauseNormal)}, harness.sentAbout(harness.nodeConn, 6))
	harness.closeConn(harness.clientConn, errClosed)
	assert.Empty(t, harness.sentAbout(harness.nodeConn, 7))
	assert.Zero(t, harness.workloads.unanswered.Count())
}

// The time that a request spends in the event queue is subtracted from its timeout. Otherwise its answer could be sent
// after the client has timed out.
func TestRequestHandler_TimeoutRunsFromWhenTheRequestWasRead(t *testing.T) {
	harness := newHarness(t)
	harness.advance(1000)
	const queuedFor = 700
	harness.network.queuedFor = queuedFor
	harness.receive(harness.clientConn, request(7, atMostOnce)) // the only bind has the whole timeout
	harness.network.queuedFor = 0
	harness.advance(requestTimeout - queuedFor - 30)
	assert.Empty(t, harness.sentAbout(harness.clientConn, 7))
	harness.advance(30)
	assert.Equal(t, []sentMessage{aTermination(codec.CauseReset)}, harness.sentAbout(harness.clientConn, 7))
}

func TestRequestHandler_AdoptedWorkloadEnds_ClientNotified(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, adoptRequest(7, nodeName))
	assert.Empty(t, harness.sentAbout(harness.clientConn, 7))
	harness.receive(harness.clientConn, adoptRequest(7, nodeName))
	assert.Len(t, harness.workloads.byID, 1, "a repeated request has no effect")
	harness.receive(harness.nodeConn, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseNormal)}, harness.sentAbout(harness.clientConn, 7))
}

// A running workload may be adopted before the endpoint list contains its node. The node is dialed once the list
// contains it, so that it can report the end.
func TestRequestHandler_AdoptedOnANodeNotListedYet_EndIsNotified(t *testing.T) {
	harness := newHarness(t)
	harness.receive(harness.clientConn, adoptRequest(7, extraNodeName(0)))
	harness.advance(100)
	harness.publishNodes(1)
	c := harness.network.lastDialed(extraNodeAddr(0))
	assert.NotZero(t, c)
	harness.openConn(c)
	harness.receive(c, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseNormal)}, harness.sentAbout(harness.clientConn, 7))
}

func TestRequestHandler_TableFull_RequestRejectedAndRunningAdopted(t *testing.T) {
	harness := newHarness(t)
	harness.workloads.limit = 1
	harness.startWorkload(7)
	harness.receive(harness.clientConn, request(8))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseNoCapacity)}, harness.sentAbout(harness.clientConn, 8))
	harness.receive(harness.clientConn, adoptRequest(9, nodeName))
	assert.Len(t, harness.workloads.byID, 2, "the limit does not apply to running workloads")
}

func TestRequestHandler_CancelledWorkloadEnds_ClientNotNotified(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(7)
	harness.receive(harness.nodeConn, codec.NewTermination(7, codec.CauseCancelled))
	assert.Equal(t, []sentMessage{aConfirmation},
		harness.sentAbout(harness.clientConn, 7), "the client ended it, or was notified of its migration")
}

func TestRequestHandler_MigratedWorkloadEnds_ClientNotifiedOnce(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(7)
	migrated := harness.workloads.getByTag(7)
	harness.host.Handle(harness.now, func() {
		last := migrated.bind
		engineActions{harness.Frontend}.Stop(migrated.id, last.number, last.node.id, allocator.Migrating, false)
	})
	assert.Equal(t, bindMigrating, migrated.bind.state)
	harness.receive(harness.nodeConn, codec.NewTermination(7, codec.CauseReset))
	assert.Equal(t, []sentMessage{aConfirmation, aMigration}, harness.sentAbout(harness.clientConn, 7))
	assert.Equal(t, []sentMessage{anOffer}, harness.sentAbout(harness.nodeConn, 7), "the platform ends it at its node")
	assert.Empty(t, harness.workloads.byID)
}

func TestRequestHandler_IDsExhausted_Rejected(t *testing.T) {
	harness := newHarness(t)
	harness.workloads.ids = frontend.WorkloadIDsAfter(math.MaxUint32)
	harness.receive(harness.clientConn, request(7))
	harness.receive(harness.clientConn, adoptRequest(8, nodeName))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseNoCapacity)}, harness.sentAbout(harness.clientConn, 7))
	assert.Equal(t, []sentMessage{aTermination(codec.CauseNoCapacity)}, harness.sentAbout(harness.clientConn, 8))
	assert.Empty(t, harness.workloads.byID)
}

func TestRequestHandler_TagOfARunningWorkload_Rejected(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(7)
	harness.receive(harness.clientConn, request(7))
	assert.Equal(t, []sentMessage{aConfirmation, aTermination(codec.CauseInvalid)},
		harness.sentAbout(harness.clientConn, 7))
	assert.False(t, harness.network.closed[harness.clientConn])
	assert.Len(t, harness.workloads.byID, 1)
}

func TestRequestHandler_PlacedAndAdopted_CountedForTheirConnection(t *testing.T) {
	harness := newHarness(t)
	harness.startWorkload(7)
	harness.receive(harness.clientConn, adoptRequest(8, nodeName))
	assert.Equal(t, 2, harness.clients.get(harness.clientConn).placed)
}
