package native

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "grebeglade/proto/grebeglade/v1"
)

// inadmissibleGangs has changes to a request for a gang of two parts, and the reasons of the resulting rejections.
// There is one node with 10 cores.
var inadmissibleGangs = []struct {
	change func(*pb.GangRequest)
	reason string
}{
	{
		func(request *pb.GangRequest) { request.Parts = nil },
		"a gang of 0 parts; it must have 1 to 1000",
	},
	{
		func(request *pb.GangRequest) { request.MinParts = 3 },
		"need is 3 of 2 parts",
	},
	{
		func(request *pb.GangRequest) { request.Spread = "rack" },
		`spread is "rack"; it must be "node", "cell", "zone" or nothing`,
	},
	{
		func(request *pb.GangRequest) { request.Parts[1].Group = "x" },
		`part 1: group "x" is not known here; known are ["serve" "once" "check"]`,
	},
	{
		func(request *pb.GangRequest) { request.Parts[1].Key = request.Parts[0].Key },
		"part 1 has the key of another part",
	},
	{
		func(request *pb.GangRequest) { request.Replace = true },
		"replace_within_ms must be above 0 where parts are to be replaced",
	},
	{
		func(request *pb.GangRequest) { request.Parts[1].Cores = 9.5 },
		"2 of 2 parts do not fit together on the 1 nodes known",
	},
	{
		func(request *pb.GangRequest) { request.Spread = "node" },
		"2 of 2 parts do not fit together on the 1 nodes known",
	},
}

func TestGangRequest_NotAdmissible_RejectedWithReason(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	for i, test := range inadmissibleGangs {
		harness.requestGang(uint64(i+1), test.change)
	}
	sent := harness.network.takeSent(clientConn)
	require.Len(t, sent, len(inadmissibleGangs))
	for i, test := range inadmissibleGangs {
		assert.Equal(t, test.reason, sent[i].GetAnswer().GetReason())
	}
	assert.Empty(t, harness.offers(nodeConn), "no part is offered")
	assert.Zero(t, harness.WorkloadCount())
	assert.Zero(t, harness.Pending())
}

func TestGangRequest_ClientDisconnected_WithdrawnIfUnanswered(t *testing.T) {
	harness := newHarness(t)
	nodeConn := harness.startNode(1)
	harness.requestGang(1)
	offers := harness.offers(nodeConn)
	harness.startWorkload(nodeConn, offers[0].Bind)
	harness.closeConn(clientConn, errReset)
	assert.Equal(t, uint64(1), harness.Counters.Withdrawn)
	for _, bind := range harness.stops(nodeConn) {
		harness.endWorkload(nodeConn, bind, pb.Reason_STOPPED)
	}
	assert.Empty(t, harness.gangs.byRequest)
	assert.Zero(t, harness.WorkloadCount())
	assert.Zero(t, harness.Pending())
}

// Guards against exceeding MaxWorkloads: a gang that waits for its next attempt has no workloads in the table, but its
// parts must count towards the limit.
func TestGangRequest_OtherGangWaitsForRetry_CountsAgainstMaxWorkloads(t *testing.T) {
	harness := newHarness(t, func(c *Config) { c.MaxWorkloads = 3 })
	nodeConn := harness.startNode(1)
	harness.requestGang(1)
	for _, offer := range harness.offers(nodeConn) {
		harness.rejectOffer(nodeConn, offer.Bind, pb.Reason_QUEUE_FULL)
	}
	require.Len(t, harness.gangs.byRequest, 1)
	require.Equal(t, 0, harness.WorkloadCount())
	harness.requestGang(2)
	assert.Equal(t, map[uint64]pb.Verdict{2: pb.Verdict_REJECTED}, harness.verdicts())
}
