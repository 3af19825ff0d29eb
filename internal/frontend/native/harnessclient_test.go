package native

import (
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// connectClient connects a client and discards the reply to its hello.
func (h *testHarness) connectClient(conn transport.ConnID, name string) {
	h.openConn(conn)
	h.receive(conn, clientHello(name))
	h.network.takeSent(conn)
}

// connectOperator connects an operator and discards the reply to its hello.
func (h *testHarness) connectOperator() {
	h.openConn(operatorConn)
	h.receive(operatorConn, transport.HelloFrame(&pb.Hello{Role: pb.Role_OPERATOR}))
	h.network.takeSent(operatorConn)
}

// query sends a query of the operator and returns the answer.
func (h *testHarness) query(kind pb.Query_Kind) *pb.State {
	h.t.Helper()
	h.receive(operatorConn, &pb.Frame{Body: &pb.Frame_Query{Query: &pb.Query{Kind: kind}}})
	sent := h.network.takeSent(operatorConn)
	require.Len(h.t, sent, 1)
	return sent[0].GetState()
}

// request sends a request of the client.
func (h *testHarness) request(id uint64, group string, change ...func(*pb.PlaceRequest)) {
	request := placeRequest(id, group)
	for _, apply := range change {
		apply(request)
	}
	h.receive(clientConn, &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: request}})
}

// requestGang sends a request of the client for a gang of two parts.
func (h *testHarness) requestGang(id uint64, change ...func(*pb.GangRequest)) {
	request := gangRequestOfTwo(id)
	for _, apply := range change {
		apply(request)
	}
	h.receive(clientConn, &pb.Frame{Body: &pb.Frame_GangRequest{GangRequest: request}})
}

// withdraw sends a withdrawal of the client.
func (h *testHarness) withdraw(request uint64) {
	h.receive(clientConn, &pb.Frame{Body: &pb.Frame_Withdraw{Withdraw: &pb.Withdraw{RequestId: request}}})
}

// answers returns the answers sent to the client since the last call, in order.
func (h *testHarness) answers() []*pb.Answer {
	var answers []*pb.Answer
	for _, frame := range h.network.takeSent(clientConn) {
		if answer := frame.GetAnswer(); answer != nil {
			answers = append(answers, answer)
		}
	}
	return answers
}

// verdicts returns the verdicts of the answers sent to the client since the last call, by request.
func (h *testHarness) verdicts() map[uint64]pb.Verdict {
	verdicts := map[uint64]pb.Verdict{}
	for _, answer := range h.answers() {
		_, twice := verdicts[answer.RequestId]
		assert.False(h.t, twice, "answered twice")
		verdicts[answer.RequestId] = answer.Verdict
	}
	return verdicts
}
