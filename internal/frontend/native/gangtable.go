package native

import (
	"maps"
	"slices"

	"grebeglade/internal/frontend"
)

// gangTable holds the gangs, by the request that each was started by.
type gangTable struct {
	byRequest  map[requestID]*gangRequest
	unanswered frontend.UnansweredRequests
}

func newGangTable() *gangTable { return &gangTable{byRequest: map[requestID]*gangRequest{}} }

// get returns the gang of that request, if it is held.
func (t *gangTable) get(id requestID) (*gangRequest, bool) {
	g, held := t.byRequest[id]
	return g, held
}

// addRequested adds the gang of a request, which is to be answered.
func (t *gangTable) addRequested(g *gangRequest) {
	t.addFound(g)
	t.unanswered.Add(&g.answer)
}

// addFound adds a gang whose parts were found on nodes. No client waits for its answer.
func (t *gangTable) addFound(g *gangRequest) { t.byRequest[g.id] = g }

// holds reports whether a gang is still held: another may have come under its request since.
func (t *gangTable) holds(g *gangRequest) bool { return t.byRequest[g.id] == g }

// remove forgets a gang that has ended. Its client no longer waits for an answer.
func (t *gangTable) remove(g *gangRequest) {
	t.markAnswered(g)
	delete(t.byRequest, g.id)
}

// markAnswered records that the client no longer waits for an answer.
func (t *gangTable) markAnswered(g *gangRequest) { t.unanswered.MarkAnswered(&g.answer) }

// sorted returns the gangs in the order of their clients and requests.
func (t *gangTable) sorted() []*gangRequest {
	all := make([]*gangRequest, 0, len(t.byRequest))
	for _, id := range slices.SortedFunc(maps.Keys(t.byRequest), compareRequestIDs) {
		all = append(all, t.byRequest[id])
	}
	return all
}

// unrequestedParts counts the parts that have no workload now. They count for the limit on workloads, since a gang that
// waits for its next attempt will request them.
func (t *gangTable) unrequestedParts() int {
	count := 0
	for _, g := range t.byRequest {
		count += g.unrequestedParts()
	}
	return count
}
