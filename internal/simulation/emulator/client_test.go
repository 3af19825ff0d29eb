package emulator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// clientConn is the connection of the client under test: the one that fakeNetwork dials.
const clientConn = 1

// newTestClient returns a client that is connected to one allocator and has sent one request.
func newTestClient(t *testing.T, idempotency placement.Idempotency) (*Client, *fakeNetwork, *pb.PlaceRequest) {
	t.Helper()
	model := &scenario.ClientModel{
		Demand: []scenario.Demand{{
			Name:           "g",
			Share:          1,
			Shapes:         [][2]float64{{1, 2}},
			Lifetime:       1e6,
			Services:       1,
			PendingTimeout: 1000,
			Idempotency:    idempotency,
		}},
		Until:       1e6, // without a rate, the next new request is sent at maxInterval
		RetryDelay:  100,
		MaxAttempts: 3,
		AnswerSlack: 10,
		Allocators:  []string{"allocator"},
	}
	network := &fakeNetwork{}
	client := NewClient("client", 0, model, 1)
	client.Start(0, network)
	client.Opened(0, clientConn)
	client.Received(0, clientConn, helloOf(allocatorIncarnation))
	client.requestNext(0)
	client.scheduleWake()
	requests := network.placeRequests()
	require.Len(t, requests, 1)
	return client, network, requests[0]
}

// helloOf returns the hello of an allocator incarnation that lists no running workloads.
func helloOf(incarnation uint64) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Hello{Hello: &pb.Hello{
		Role:        pb.Role_ALLOCATOR,
		Name:        allocatorName,
		Incarnation: incarnation,
	}}}
}

func answerFrame(requestID uint64, verdict pb.Verdict) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{RequestId: requestID, Verdict: verdict}}}
}

// placeRequests returns the requests that were sent since the last call, and clears the sent frames.
func (n *fakeNetwork) placeRequests() (requests []*pb.PlaceRequest) {
	for _, f := range n.sent {
		if request := f.GetPlaceRequest(); request != nil {
			requests = append(requests, request)
		}
	}
	n.sent = nil
	return requests
}

func TestClient_Answered_RetriesByOutcomeAndIdempotency(t *testing.T) {
	for _, test := range []struct {
		name        string
		idempotency placement.Idempotency
		verdict     pb.Verdict
		until       placement.Millis
		retried     bool
	}{
		{"rejected, idempotent", placement.Idempotent, pb.Verdict_REJECTED, 200, true},
		{"rejected, at most once", placement.AtMostOnce, pb.Verdict_REJECTED, 200, true},
		{"unschedulable, idempotent", placement.Idempotent, pb.Verdict_UNSCHEDULABLE, 200, true},
		{"by key, before the delay", placement.IdempotentByKey, pb.Verdict_UNSCHEDULABLE, RetryAfterUnknown - 1, false},
		{"by key, after the delay", placement.IdempotentByKey, pb.Verdict_UNSCHEDULABLE, RetryAfterUnknown, true},
		{"unschedulable, at most once", placement.AtMostOnce, pb.Verdict_UNSCHEDULABLE, 5e4, false},
		{"placed", placement.Idempotent, pb.Verdict_PLACED, 5e4, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, network, first := newTestClient(t, test.idempotency)
			client.Received(0, clientConn, answerFrame(first.RequestId, test.verdict))
			network.run(client, test.until)
			retries := network.placeRequests()
			if !test.retried {
				assert.Empty(t, retries)
				return
			}
			require.Len(t, retries, 1)
			assert.Equal(t, first.Key, retries[0].Key)
			assert.NotEqual(t, first.RequestId, retries[0].RequestId)
			assert.True(t, retries[0].Retried)
		})
	}
}

func TestClient_NoAnswerInTime_WithdrawnAndRetried(t *testing.T) {
	client, network, first := newTestClient(t, placement.Idempotent)
	network.run(client, 1009)
	assert.Zero(t, client.Tally.Unanswered)
	network.run(client, 1200)
	assert.Equal(t, 1, client.Tally.Unanswered)
	require.NotEmpty(t, network.sent)
	assert.Equal(t, first.RequestId, network.sent[0].GetWithdraw().RequestId)
	assert.Len(t, network.placeRequests(), 1)
}

func TestClient_PlacedWorkloadNotInHello_LostUnlessAllocatorRestarted(t *testing.T) {
	for name, test := range map[string]struct {
		incarnation uint64
		lost        int
	}{
		"same incarnation": {allocatorIncarnation, 1},
		"restarted":        {allocatorIncarnation + 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			client, _, first := newTestClient(t, placement.Idempotent)
			client.Received(0, clientConn, answerFrame(first.RequestId, pb.Verdict_PLACED))
			client.Closed(0, clientConn, nil)
			client.dial(0)
			client.Received(0, clientConn, helloOf(test.incarnation))
			assert.Equal(t, test.lost, client.Tally.Ended[pb.Reason_LOST])
		})
	}
}
