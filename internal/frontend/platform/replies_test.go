package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/settings"
	"grebeglade/placement"
)

// What a node sends about a bind that was abandoned is not taken for the next one there: neither its reply nor its
// end. It guards against nodes that were silent and then send all at once; it could harm if a node used any
// connection it likes.
func TestReplyHandler_MessageAboutAnAbandonedBindIsNotTakenForTheLast(t *testing.T) {
	r := newRig(t)
	r.pass(50)
	r.receive(r.client, request(7, func(m *codec.PlaceRequest) { m.Timeout = 6000 }))
	for len(r.sentAbout(r.node, 7)) < 2 {
		r.pass(50)
	}
	second := r.fake.lastTo(nodeAddr)
	require.Greater(t, second, r.node, "the first swallowed an offer")
	r.Opened(r.at, second)
	for range 100 {
		if r.pass(50); len(r.sentAbout(second, 7)) > 0 {
			break
		}
	}
	require.Equal(t, []string{"offer"}, r.sentAbout(second, 7))
	require.NotNil(t, r.nodeConns.get(r.node))
	r.receive(r.node, confirmation(7))
	assert.Empty(t, r.sentAbout(r.client, 7))
	r.receive(second, confirmation(7))
	r.receive(r.node, codec.NewTermination(7, codec.CauseCancelled))
	assert.Equal(t, []string{"confirmation"}, r.sentAbout(r.client, 7))
	r.receive(second, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []string{"confirmation", "termination 16"}, r.sentAbout(r.client, 7))
}

// A node that replies twice, or whose reply comes together with the end of its connection, has replied once.
func TestReplyHandler_RepeatedConfirmationCountsOnce(t *testing.T) {
	r := newRig(t)
	r.start(7)
	r.receive(r.node, confirmation(7))
	r.close(r.node, errReset)
	assert.Equal(t, []string{"confirmation"}, r.sentAbout(r.client, 7))
	r.pass(200)
	again := r.fake.lastTo(nodeAddr)
	r.Opened(r.at, again)
	r.receive(again, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []string{"confirmation", "termination 16"}, r.sentAbout(r.client, 7), "on the next connection")
}

// A node that has lost a connection which still stands for us sends an end on another one: its client is notified. It
// guards against an end that is passed over since it does not come on the connection of its offer.
func TestReplyHandler_EndIsHeardOnAnyConnectionOfItsNode(t *testing.T) {
	r := newRig(t)
	r.pass(50)
	r.start(7)
	r.pass(50)
	r.receive(r.client, request(8))
	for r.fake.lastTo(nodeAddr) == r.node {
		r.pass(50)
	}
	second := r.fake.lastTo(nodeAddr) // the first swallowed an offer
	r.Opened(r.at, second)
	require.NotNil(t, r.nodeConns.get(r.node))
	r.receive(second, codec.NewTermination(7, codec.CauseNormal))
	assert.Equal(t, []string{"confirmation", "termination 16"}, r.sentAbout(r.client, 7))
}

func TestReplyHandler_UnusableReplyEndsTheConnection(t *testing.T) {
	for name, m := range map[string]codec.Message{
		"malformed report":                   &codec.Invalid{Header: codec.Header{Tag: 7}, Err: codec.ErrMalformed},
		"confirmation without a description": &codec.Confirmation{Header: codec.Header{Tag: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.receive(r.client, request(7, atMostOnce))
			r.receive(r.node, m)
			assert.True(t, r.fake.closed[r.node])
			assert.Equal(t, []string{"termination 41"}, r.sentAbout(r.client, 7), "it may have run")
		})
	}
	r := newRig(t)
	r.receive(r.node, &codec.Confirmation{Header: codec.Header{Tag: 7}})
	assert.False(t, r.fake.closed[r.node], "a confirmation for no offer is passed over")
}

func TestResultOf(t *testing.T) {
	for cause, want := range map[codec.Cause]placement.ResultKind{
		codec.CauseNoCapacity: placement.RejectedByNode, codec.CauseNotDelivered: placement.NotAttempted, codec.CauseReset: placement.OutcomeUnknown,
		codec.CauseError: placement.OutcomeUnknown, codec.CauseNone: placement.OutcomeUnknown, codec.CauseNormal: placement.OutcomeUnknown, 200: placement.OutcomeUnknown,
	} {
		assert.Equal(t, want, resultOf(cause), "cause %d", cause)
	}
}

func TestReplyHandler_RejectionIsRetriedElsewhere(t *testing.T) {
	r := newRig(t)
	r.publishNodes(1)
	r.receive(r.client, request(7))
	first := r.workloads.tagged(7).bind.node
	r.openNodeConns()
	r.receive(first.conn.id, &codec.Termination{
		Header: codec.Header{Tag: 7, Load: settings.UnknownLoad()},
		Cause:  codec.CauseNoCapacity,
		Reason: placement.InsufficientCores,
	})
	second := r.workloads.tagged(7).bind.node
	require.NotEqual(t, first.name, second.name)
	r.openNodeConns()
	assert.Equal(t, []string{"offer"}, r.sentAbout(second.conn.id, 7))
	assert.Empty(t, first.workloads)
	assert.Len(t, second.workloads, 1)
}
