package daemon

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	pb "grebeglade/proto/grebeglade/v1"
)

// retryingClient requests workloads under fixed keys until each has a final answer.
type retryingClient struct {
	t           *testing.T
	outstanding map[uint64]bool // keys without a final answer
	verdicts    map[pb.Verdict]int
}

func newRetryingClient(t *testing.T, keys int) *retryingClient {
	t.Helper()
	outstanding := map[uint64]bool{}
	for key := range uint64(keys) {
		outstanding[key+1] = true
	}
	return &retryingClient{
		t:           t,
		outstanding: outstanding,
		verdicts:    map[pb.Verdict]int{},
	}
}

// next returns the lowest outstanding keys, at most limit of them.
func (c *retryingClient) next(limit int) (keys []uint64) {
	for key := uint64(1); len(keys) < min(limit, len(c.outstanding)); key++ {
		if c.outstanding[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// send sends a request for each key, and returns the keys by request ID. Request IDs differ between rounds.
func (c *retryingClient) send(p *peer, round int, keys []uint64) map[uint64]uint64 {
	sent := map[uint64]uint64{}
	for i, key := range keys {
		requestID := uint64(round+1)<<32 | uint64(i+1)
		sent[requestID] = key
		if err := p.send(requestFrame(requestID, key)); err != nil {
			break // the allocator was killed; receive returns an error
		}
	}
	return sent
}

// requestFrame returns a request for a workload that must not be started twice.
func requestFrame(requestID, key uint64) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
		RequestId:         requestID,
		Key:               key,
		Service:           key % 5,
		Group:             "once",
		Cores:             1,
		Memory:            1,
		PendingTimeoutMs:  2000,
		ExpectedRuntimeMs: 1e6,
	}}}
}

// receive records the answers to the requests in sent. It returns an error if the connection ends before all answers.
func (c *retryingClient) receive(p *peer, sent map[uint64]uint64) error {
	for len(sent) > 0 {
		f, err := p.receive()
		if err != nil {
			return err
		}
		answer := f.GetAnswer()
		if answer == nil {
			continue
		}
		key, expected := sent[answer.RequestId]
		require.True(c.t, expected, "second answer to a request, or unknown request ID")
		delete(sent, answer.RequestId)
		c.record(key, answer)
	}
	return nil
}

// reasonDuplicate is a part of the rejection reason for a request whose key the allocator already holds.
const reasonDuplicate = "held here already"

// record counts an answer that is final for its key. After any other answer the workload did not run, and its key is
// requested again.
func (c *retryingClient) record(key uint64, answer *pb.Answer) {
	if answer.Verdict == pb.Verdict_REJECTED && !strings.Contains(answer.Reason, reasonDuplicate) {
		return
	}
	c.verdicts[answer.Verdict]++
	delete(c.outstanding, key)
}
