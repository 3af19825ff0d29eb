package native

import (
	"cmp"
	"slices"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// reservedIDs is the number of ids at the end of the range that are not assigned to requests. They are reserved for
// adopted workloads and for parts of gangs, which later attempts request again.
const reservedIDs = 1 << 20

// workloadTable holds the workloads that the engine holds, and finds them by id, by request, by idempotency key and
// by bind. With it, the requestHandler distinguishes a repeated request from a new one.
//
// On the platform a client's tag always identifies a workload. Here a request, a key or a bind of an earlier
// incarnation can identify it, and the last ids are reserved for adopted workloads and parts of gangs.
type workloadTable struct {
	allocator   string // allocator name in the bind ids
	incarnation uint64

	byID      map[placement.WorkloadID]*workload
	byRequest map[requestID]placement.WorkloadID // parts of gangs, which share their gang's request, only if adopted
	byKey     map[uint64]placement.WorkloadID
	byAdopted map[adoptedBindKey]placement.WorkloadID
	ids       frontend.WorkloadIDs
	// unanswered counts the requests except those for gangs, which the gangTable counts.
	unanswered frontend.UnansweredRequests
}

func newWorkloadTable(c Config) *workloadTable {
	return &workloadTable{
		allocator:   c.Name,
		incarnation: c.Incarnation,
		byID:        map[placement.WorkloadID]*workload{},
		byRequest:   map[requestID]placement.WorkloadID{},
		byKey:       map[uint64]placement.WorkloadID{},
		byAdopted:   map[adoptedBindKey]placement.WorkloadID{},
	}
}

// count returns the number of workloads that the engine holds.
func (t *workloadTable) count() int { return len(t.byID) }

// get returns the workload with the id, if the engine holds it.
func (t *workloadTable) get(id placement.WorkloadID) (*workload, bool) {
	w, ok := t.byID[id]
	return w, ok
}

// existing returns the workload of an id that the engine passes to an action. It is always in the table, since the
// engine passes no id after the Forget that removes the workload.
func (t *workloadTable) existing(id placement.WorkloadID) *workload { return t.byID[id] }

// hasKey reports whether the table has a workload with the idempotency key.
func (t *workloadTable) hasKey(key uint64) bool {
	_, ok := t.byKey[key]
	return ok
}

// hasRequest reports whether the table has the workload of a request.
func (t *workloadTable) hasRequest(id requestID) bool {
	_, ok := t.byRequest[id]
	return ok
}

// getByRequest returns the workload of a request, if the table has it.
func (t *workloadTable) getByRequest(id requestID) (*workload, bool) {
	if w, ok := t.byRequest[id]; ok {
		return t.get(w)
	}
	return nil, false
}

// idsExhausted reports whether no id is left for requests.
func (t *workloadTable) idsExhausted() bool { return t.ids.Remaining() <= reservedIDs }

// adoptionIDsExhausted reports whether no id at all is left.
func (t *workloadTable) adoptionIDsExhausted() bool { return t.ids.Remaining() == 0 }

// add adds the workload of a new request under the next id.
func (t *workloadTable) add(now placement.Millis, client string, r *pb.PlaceRequest) *workload {
	w := t.insert(&workload{
		client:     client,
		request:    r,
		receivedAt: now,
	})
	t.byRequest[requestID{client, r.RequestId}] = w.id
	t.byKey[r.Key] = w.id
	t.unanswered.Add(&w.answer)
	return w
}

// addPart adds a part of a gang under the next id. It has no entry by request.
func (t *workloadTable) addPart(now placement.Millis, g *gangRequest, part int) *workload {
	r := g.request.Parts[part]
	w := t.insert(&workload{
		client:     g.id.client,
		request:    r,
		receivedAt: now,
		partOfGang: partOfGang{gang: g, part: part},
	})
	t.byKey[r.Key] = w.id
	return w
}

// adopt adds a workload that was found on a node under the next id. Another workload may have the same key.
func (t *workloadTable) adopt(now placement.Millis, node placement.NodeID, offer *pb.Offer) *workload {
	adopted := t.insert(&workload{
		client:     offer.Client,
		request:    offer.Request,
		receivedAt: now,
		state:      workloadPlaced,
		bindNodes:  []placement.NodeID{node},
		bindState:  bindSent,
		adopted:    offer.Bind,
	})
	t.byAdopted[adoptedBindKeyOf(node, offer.Bind)] = adopted.id
	t.byRequest[requestID{adopted.client, adopted.request.RequestId}] = adopted.id
	if !t.hasKey(adopted.request.Key) {
		t.byKey[adopted.request.Key] = adopted.id
	}
	return adopted
}

// insert adds a workload under the next id.
func (t *workloadTable) insert(w *workload) *workload {
	w.id = t.ids.Next()
	t.byID[w.id] = w
	return w
}

// remove deletes a workload after the engine's Forget.
func (t *workloadTable) remove(w *workload) {
	delete(t.byID, w.id)
	if request := (requestID{w.client, w.request.RequestId}); t.byRequest[request] == w.id {
		delete(t.byRequest, request)
	}
	if w.adopted != nil {
		delete(t.byAdopted, adoptedBindKeyOf(w.bindNodes[0], w.adopted))
	}
	if t.byKey[w.request.Key] == w.id {
		delete(t.byKey, w.request.Key)
	}
}

// markAnswered changes a workload's state by its final answer.
func (t *workloadTable) markAnswered(w *workload, v allocator.Verdict) {
	t.setState(w, w.state.afterAnswer(v))
}

// markWithdrawn changes a workload's state by its withdrawal.
func (t *workloadTable) markWithdrawn(w *workload) { t.setState(w, w.state.afterWithdrawal()) }

// setState sets a workload's state to one in which no answer is due.
func (t *workloadTable) setState(w *workload, to workloadState) {
	t.unanswered.MarkAnswered(&w.answer)
	w.state = to
}

// ofClient returns a client's workloads for which match returns true, in the order of their ids.
func (t *workloadTable) ofClient(client string, match func(*workload) bool) []*workload {
	var found []*workload
	for _, w := range t.byID {
		if w.client == client && match(w) {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(x, y *workload) int { return cmp.Compare(x.id, y.id) })
	return found
}
