package native

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend"
	pb "grebeglade/proto/grebeglade/v1"
)

func TestWorkloadState_AfterAnswerAndWithdrawal(t *testing.T) {
	assert.Equal(t, workloadPlaced, workloadPending.afterAnswer(allocator.Placed))
	assert.Equal(t, workloadNotPlaced, workloadPending.afterAnswer(allocator.Rejected))
	assert.Equal(t, workloadNotPlaced, workloadPending.afterAnswer(allocator.Unschedulable))
	for before, after := range map[workloadState]workloadState{
		workloadPending:    workloadCancelling,
		workloadNotPlaced:  workloadCancelling,
		workloadCancelling: workloadCancelling,
		workloadPlaced:     workloadStopping,
		workloadStopping:   workloadStopping,
	} {
		assert.Equal(t, after, before.afterWithdrawal(), before)
		assert.True(t, after.withdrawn())
		assert.Equal(t, before.accepted(), after.accepted(), "a withdrawal does not change the acceptance")
	}
}

func TestWorkloadTable_Pending_CountsUnansweredRequests(t *testing.T) {
	table := newWorkloadTable(Config{Name: "a", Incarnation: 1})
	placed := table.add(0, "c", &pb.PlaceRequest{RequestId: 1, Key: 1})
	withdrawn := table.add(0, "c", &pb.PlaceRequest{RequestId: 2, Key: 2})
	assert.Equal(t, 2, table.unanswered.Count())
	table.markAnswered(placed, allocator.Placed)
	table.markWithdrawn(placed)
	assert.Equal(t, 1, table.unanswered.Count())
	table.markWithdrawn(withdrawn)
	table.markWithdrawn(withdrawn)
	assert.Zero(t, table.unanswered.Count())
	table.remove(placed)
	assert.False(t, table.hasKey(1))
	assert.False(t, table.hasRequest(requestID{"c", 1}))
	assert.True(t, table.hasKey(2))
}

func TestWorkloadTable_LastIDs_KeptForAdoption(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.workloads.ids = frontend.WorkloadIDsAfter(math.MaxUint32 - reservedIDs - 1)
	harness.request(1, idempotent)
	harness.offer(nodeConn)
	harness.request(2, idempotent)
	sent := harness.network.takeSent(clientConn)
	assert.Equal(t, "the allocator has named all its workloads; restart it", sent[0].GetAnswer().GetReason())
	harness.workloads.ids = frontend.WorkloadIDsAfter(math.MaxUint32 - 1)
	harness.closeConn(nodeConn, errReset)
	harness.reconnectNode(runningOf(earlierOffer(1, idempotent)), runningOf(earlierOffer(2, idempotent)))
	assert.EqualValues(t, uint32(math.MaxUint32), harness.workloads.ids.Last(), "the id 0 is never assigned")
	assert.Equal(t, 1, harness.WorkloadCount())
}
