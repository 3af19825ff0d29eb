package native

import (
	"maps"
	"slices"

	"grebeglade/internal/frontend"
)

// gangTable has the gangs by the id of their request.
type gangTable struct {
	byRequest  map[requestID]*gangRequest
	unanswered frontend.UnansweredRequests
}

func newGangTable() *gangTable { return &gangTable{byRequest: map[requestID]*gangRequest{}} }

// get returns the gang of a request, if the table has it.
func (t *gangTable) get(id requestID) (*gangRequest, bool) {
	g, exists := t.byRequest[id]
	return g, exists
}

// addRequested adds the gang of a new request, whose answer is due.
func (t *gangTable) addRequested(g *gangRequest) {
	t.addFound(g)
	t.unanswered.Add(&g.answer)
}

// addFound adds a gang whose parts were found on nodes. No client waits for its answer.
func (t *gangTable) addFound(g *gangRequest) { t.byRequest[g.id] = g }

// contains reports whether the table still has a gang. Another gang may have replaced it under the same request id.
func (t *gangTable) contains(g *gangRequest) bool { return t.byRequest[g.id] == g }

// remove removes a gang that has ended. No answer is due for it.
func (t *gangTable) remove(g *gangRequest) {
	t.markAnswered(g)
	delete(t.byRequest, g.id)
}

// markAnswered records that no answer is due for a gang.
func (t *gangTable) markAnswered(g *gangRequest) { t.unanswered.MarkAnswered(&g.answer) }

// sorted returns the gangs in the order of their clients and requests.
func (t *gangTable) sorted() []*gangRequest {
	all := make([]*gangRequest, 0, len(t.byRequest))
	for _, id := range slices.SortedFunc(maps.Keys(t.byRequest), compareRequestIDs) {
		all = append(all, t.byRequest[id])
	}
	return all
}

// unrequestedParts returns the number of parts without a workload. They count towards the limit on workloads, since a
// gang that waits for its next attempt will request them.
func (t *gangTable) unrequestedParts() int {
	count := 0
	for _, g := range t.byRequest {
		count += g.unrequestedParts()
	}
	return count
}
