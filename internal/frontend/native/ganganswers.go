package native

import (
	"fmt"

	"grebeglade/internal/gang"
	pb "grebeglade/proto/grebeglade/v1"
)

// gangAnswers sends clients the final answers for their gangs and notifications of their ends.
type gangAnswers struct {
	*environment
	gangs     *gangTable
	clients   *clientSessions
	workloads *workloadTable
	nodes     *nodeTable
}

// placed answers that a gang runs, with the nodes of its running parts.
func (a *gangAnswers) placed(g *gangRequest) {
	a.counters.GangsPlaced++
	nodes := make([]uint32, len(g.parts))
	for part, id := range g.parts {
		if w, exists := a.workloads.get(id); exists && g.machine.PartState(part) == gang.PartRunning {
			nodes[part] = uint32(w.lastNode())
		}
	}
	a.send(g, &pb.Answer{Verdict: pb.Verdict_PLACED, Nodes: nodes})
}

// rejected answers that a gang does not run and can be retried safely.
func (a *gangAnswers) rejected(g *gangRequest) {
	a.counters.GangsAbandoned++
	a.send(g, &pb.Answer{
		Verdict: pb.Verdict_REJECTED,
		Reason:  a.rejectionReason(g),
		Nodes:   make([]uint32, len(g.parts)),
	})
}

// unschedulable answers that a gang does not run, but a part may have run.
func (a *gangAnswers) unschedulable(g *gangRequest) {
	a.counters.GangsAbandoned++
	a.send(g, &pb.Answer{
		Verdict: pb.Verdict_UNSCHEDULABLE,
		Reason:  reasonPartMayHaveRun,
		Nodes:   make([]uint32, len(g.parts)),
	})
}

// send sends a gang's final answer. Its Nodes have an entry for each part: the node, or 0 if the part does not run.
func (a *gangAnswers) send(g *gangRequest, answer *pb.Answer) {
	answer.RequestId = g.id.request
	a.gangs.markAnswered(g)
	a.clients.answer(g.id.client, answer)
}

// rejectionReason returns the reason of a gang's rejection.
func (a *gangAnswers) rejectionReason(g *gangRequest) string {
	if g.machine.Attempts() <= 1 && g.unrequestedParts() == len(g.parts) {
		return fmt.Sprintf("%d of %d parts do not fit together on the %d nodes known",
			g.request.MinParts, len(g.parts), a.nodes.count())
	}
	return fmt.Sprintf("it fell apart, %d times begun", g.machine.Attempts())
}

// ended notifies the client that its running gang has ended.
func (a *gangAnswers) ended(g *gangRequest) {
	a.clients.notifyEnded(g.id.client, &pb.WorkloadEnded{RequestId: g.id.request, Reason: g.endReason()})
}
