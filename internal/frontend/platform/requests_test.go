package platform

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend/platform/codec"
)

func TestRequestHandler_InvalidRequestIsAnsweredAndEndsTheConnection(t *testing.T) {
	const valid = `{"verb":"START","tag":"0000000000000007","opts":{"class":"tiles","left":"2000","key":"aa",` +
		`"extras":"cores:1;memory:2;service:07"},"blob":"x"}`
	for name, change := range map[string][2]string{
		"unknown class":         {"tiles", "none"},
		"cores not a number":    {"cores:1", "cores:NaN"},
		"cores below zero":      {"cores:1", "cores:-1"},
		"larger than any node":  {"cores:1", "cores:1e9"},
		"more cores than any":   {"cores:1", "cores:20.5"},
		"more memory than any":  {"memory:2", "memory:41"},
		"no figures":            {"cores:1;memory:2;service:07", ""},
		"timeout without end":   {"2000", "1e300"},
		"no description":        {`"blob"`, `"other"`},
		"verb of an allocator":  {`"START"`, `"MOVE"`},
		"answer to nobody":      {`"START"`, `"STARTED"`},
		"adoption, class wrong": {`tiles","left":"2000`, `none","at":"s-01`},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.receiveLine(t, r.client, strings.Replace(valid, change[0], change[1], 1))
			assert.Equal(t, []string{"termination 88"}, r.sentAbout(r.client, 7))
			assert.Empty(t, r.sentAbout(r.node, 7))
			assert.True(t, r.fake.closed[r.client])
		})
	}
	r := newRig(t)
	r.receiveLine(t, r.client, valid)
	assert.Equal(t, []string{"offer"}, r.sentAbout(r.node, 7), "unchanged, it is a request")
}

func TestRequestHandler_MessagesWithoutEffect(t *testing.T) {
	for _, verb := range []string{"PENDING", "FINISHED", "NOTICE", "ECHOED"} {
		r := newRig(t)
		r.receiveLine(t, r.client, fmt.Sprintf(`{"verb":%q,"tag":"0000000000000007"}`, verb))
		assert.Empty(t, r.fake.sent[r.client], verb)
		assert.False(t, r.fake.closed[r.client], verb)
	}
}

func TestRequestHandler_TagOfAnotherConnectionIsRejected(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, request(7))
	r.Opened(r.at, 2000)
	r.receive(2000, request(7))
	r.receive(2000, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []string{"termination 88"}, r.sentAbout(2000, 7))
	assert.False(t, r.fake.closed[2000])
	r.receive(r.node, confirmation(7))
	assert.Equal(t, []string{"confirmation"}, r.sentAbout(r.client, 7), "the first request is left alone")
}

func TestRequestHandler_TagInUseOnTheSameConnectionEndsIt(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, request(7))
	r.receive(r.client, request(7))
	assert.Equal(t, []string{"termination 88"}, r.sentAbout(r.client, 7))
	assert.True(t, r.fake.closed[r.client])
	assert.Equal(t, []string{"offer", "termination 16"}, r.sentAbout(r.node, 7))
}

func TestRequestHandler_CancelledRequestIsAbandonedAndNotAnswered(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, request(7))
	r.receive(r.client, codec.NewTermination(7, codec.CauseNormal))
	r.receive(r.node, confirmation(7))
	assert.Equal(t, []string{"offer", "termination 16"}, r.sentAbout(r.node, 7))
	assert.Empty(t, r.sentAbout(r.client, 7))
	assert.Empty(t, r.workloads.byID)
}

// A client that has gone gets no bind, also where its request is handled before its end. It guards against work for those
// who have left; a running workload is ended all the same.
func TestRequestHandler_RequestOfAClosedConnectionIsDropped(t *testing.T) {
	r := newRig(t)
	r.start(6)
	r.fake.hungUp[r.client] = true
	r.receive(r.client, request(7))
	r.receive(r.client, codec.NewTermination(6, codec.CauseNormal))
	assert.Empty(t, r.sentAbout(r.node, 7))
	assert.Equal(t, []string{"offer", "termination 16"}, r.sentAbout(r.node, 6))
	r.close(r.client, errClosed)
	assert.Empty(t, r.sentAbout(r.node, 7))
	assert.Zero(t, r.workloads.unanswered)
}

// The time for which a request waited to be handled is taken off its timeout, so that its answer comes within it.
func TestRequestHandler_TimeoutRunsFromWhenTheRequestWasRead(t *testing.T) {
	r := newRig(t)
	r.pass(1000)
	r.fake.waited = 700
	r.receive(r.client, request(7, atMostOnce)) // so its one bind has all of its time
	r.fake.waited = 0
	r.pass(2000 - 700 - 30)
	assert.Empty(t, r.sentAbout(r.client, 7))
	r.pass(30)
	assert.Equal(t, []string{"termination 41"}, r.sentAbout(r.client, 7))
}

func TestRequestHandler_AdoptedWorkloadsEndIsNotified(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, runningOn(7, "s-01"))
	assert.Empty(t, r.sentAbout(r.client, 7))
	r.receive(r.client, runningOn(7, "s-01"))
	assert.Len(t, r.workloads.byID, 1, "a second statement changes nothing")
	r.receive(r.node, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []string{"termination 16"}, r.sentAbout(r.client, 7))
}

// A running workload is named before the first list names its node: that is dialed as soon as the list does.
func TestRequestHandler_AdoptedWorkloadOnANodeNotListedYet(t *testing.T) {
	r := newRig(t)
	r.receive(r.client, runningOn(7, extraNode(0)))
	r.pass(100)
	r.publishNodes(1)
	c := r.fake.lastTo("127.0.1.0:5080")
	assert.NotZero(t, c)
	r.Opened(r.at, c)
	r.receive(c, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []string{"termination 16"}, r.sentAbout(r.client, 7))
}

func TestRequestHandler_FullTableRejects(t *testing.T) {
	r := newRig(t)
	r.workloads.limit = 1
	r.start(7)
	r.receive(r.client, request(8))
	assert.Equal(t, []string{"termination 34"}, r.sentAbout(r.client, 8))
	r.receive(r.client, runningOn(9, "s-01"))
	assert.Len(t, r.workloads.byID, 2, "a running workload is adopted all the same")
}

func TestRequestHandler_CancelledWorkloadsClientIsNotNotified(t *testing.T) {
	r := newRig(t)
	r.start(7)
	r.receive(r.node, codec.NewTermination(7, codec.CauseCancelled))
	assert.Equal(t, []string{"confirmation"}, r.sentAbout(r.client, 7), "its client ended it, or was told of the migration")
}

func TestRequestHandler_MigratedWorkloadsClientIsNotifiedOnce(t *testing.T) {
	r := newRig(t)
	r.start(7)
	w := r.workloads.tagged(7)
	r.host.Handle(r.at, func() {
		engineActions{r.Frontend}.Stop(w.id, w.bind.number, w.bind.node.id, allocator.Migrating, false)
	})
	assert.Equal(t, bindMigrating, w.bind.state)
	r.receive(r.node, codec.NewTermination(7, codec.CauseReset))
	assert.Equal(t, []string{"confirmation", "*codec.Migration"}, r.sentAbout(r.client, 7))
	assert.Equal(t, []string{"offer"}, r.sentAbout(r.node, 7), "the platform ends it at its node")
	assert.Empty(t, r.workloads.byID)
}

func TestRequestHandler_ExhaustedIDsReject(t *testing.T) {
	r := newRig(t)
	r.workloads.lastID = math.MaxUint32
	r.receive(r.client, request(7))
	r.receive(r.client, runningOn(8, "s-01"))
	assert.Equal(t, []string{"termination 34"}, r.sentAbout(r.client, 7))
	assert.Equal(t, []string{"termination 34"}, r.sentAbout(r.client, 8))
	assert.Empty(t, r.workloads.byID)
}

func TestRequestHandler_TagOfARunningWorkloadIsRejected(t *testing.T) {
	r := newRig(t)
	r.start(7)
	r.receive(r.client, request(7))
	assert.Equal(t, []string{"confirmation", "termination 88"}, r.sentAbout(r.client, 7))
	assert.False(t, r.fake.closed[r.client])
	assert.Len(t, r.workloads.byID, 1)
}

func TestRequestHandler_PlacedAndAdoptedWorkloadsCountForTheirConnection(t *testing.T) {
	r := newRig(t)
	r.start(7)
	r.receive(r.client, runningOn(8, "s-01"))
	assert.Equal(t, 2, r.clients.get(r.client).placed)
}
