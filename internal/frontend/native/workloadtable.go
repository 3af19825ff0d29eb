package native

import (
	"cmp"
	"slices"

	"grebeglade/internal/allocator"
	"grebeglade/internal/frontend"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// reservedIDs is how many ids, the last ones, are not given to requests. They are for workloads that are found on nodes
// and for parts of gangs, which are requested anew by later attempts.
const reservedIDs = 1 << 20

// workloadTable holds the workloads that the engine holds, and finds them by id, by request, by idempotency key and
// by bind. With it, the requestHandler distinguishes a repeated request from a new one.
//
// On the platform a tag of the client names a workload in all cases. Here a request, a key, and a bind of an earlier
// incarnation each do, and the last ids are reserved for adopted workloads and for parts of gangs.
type workloadTable struct {
	allocator   string // by which nodes know our binds
	incarnation uint64

	byID      map[placement.WorkloadID]*workload
	byRequest map[requestID]placement.WorkloadID // but for parts of gangs, which share their gang's request
	byKey     map[uint64]placement.WorkloadID
	byAdopted map[adoptedBind]placement.WorkloadID
	ids       frontend.WorkloadIDs
	// unanswered counts the requests but for gangs, which the gangTable counts.
	unanswered frontend.UnansweredRequests
}

func newWorkloadTable(c Config) *workloadTable {
	return &workloadTable{
		allocator:   c.Name,
		incarnation: c.Incarnation,
		byID:        map[placement.WorkloadID]*workload{},
		byRequest:   map[requestID]placement.WorkloadID{},
		byKey:       map[uint64]placement.WorkloadID{},
		byAdopted:   map[adoptedBind]placement.WorkloadID{},
	}
}

// count returns the number of workloads that the engine holds.
func (t *workloadTable) count() int { return len(t.byID) }

// get returns the workload of that id, if the engine holds it.
func (t *workloadTable) get(id placement.WorkloadID) (*workload, bool) {
	w, ok := t.byID[id]
	return w, ok
}

// held returns the workload of an id that the engine passes to an action. It is held, since the engine passes no id
// after the Forget that removes the workload.
func (t *workloadTable) held(id placement.WorkloadID) *workload { return t.byID[id] }

// hasKey reports whether a workload of that idempotency key is held.
func (t *workloadTable) hasKey(key uint64) bool {
	_, ok := t.byKey[key]
	return ok
}

// hasRequest reports whether a workload of that request is held.
func (t *workloadTable) hasRequest(id requestID) bool {
	_, ok := t.byRequest[id]
	return ok
}

// requested returns the workload of a request, if it is held.
func (t *workloadTable) requested(id requestID) (*workload, bool) {
	if w, ok := t.byRequest[id]; ok {
		return t.get(w)
	}
	return nil, false
}

// idsExhausted reports whether no id is left for requests.
func (t *workloadTable) idsExhausted() bool { return t.ids.Remaining() <= reservedIDs }

// adoptionIDsExhausted reports whether no id at all is left.
func (t *workloadTable) adoptionIDsExhausted() bool { return t.ids.Remaining() == 0 }

// add gives the workload of a new request the next id.
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

// addPart gives a part of a gang the next id. It has no request of its own.
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

// adopt gives a workload that was found on a node the next id. Its key may be held by another one.
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
	t.byAdopted[adoptedBindOf(node, offer.Bind)] = adopted.id
	t.byRequest[requestID{adopted.client, adopted.request.RequestId}] = adopted.id
	if !t.hasKey(adopted.request.Key) {
		t.byKey[adopted.request.Key] = adopted.id
	}
	return adopted
}

// insert gives a workload the next id.
func (t *workloadTable) insert(w *workload) *workload {
	w.id = t.ids.Next()
	t.byID[w.id] = w
	return w
}

// remove forgets a workload that the engine has forgotten.
func (t *workloadTable) remove(w *workload) {
	delete(t.byID, w.id)
	if request := (requestID{w.client, w.request.RequestId}); t.byRequest[request] == w.id {
		delete(t.byRequest, request)
	}
	if w.adopted != nil {
		delete(t.byAdopted, adoptedBindOf(w.bindNodes[0], w.adopted))
	}
	if t.byKey[w.request.Key] == w.id {
		delete(t.byKey, w.request.Key)
	}
}

// markAnswered changes a workload's state by its final answer.
func (t *workloadTable) markAnswered(w *workload, v allocator.Verdict) {
	t.change(w, w.state.afterAnswer(v))
}

// markWithdrawn changes a workload's state by its withdrawal.
func (t *workloadTable) markWithdrawn(w *workload) { t.change(w, w.state.afterWithdrawal()) }

// change changes a workload's state. Unless it is pending, no answer is due.
func (t *workloadTable) change(w *workload, to workloadState) {
	t.unanswered.MarkAnswered(&w.answer)
	w.state = to
}

// ofClient returns a client's workloads that are wanted, in the order of their ids.
func (t *workloadTable) ofClient(client string, wanted func(*workload) bool) []*workload {
	var found []*workload
	for _, w := range t.byID {
		if w.client == client && wanted(w) {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(x, y *workload) int { return cmp.Compare(x.id, y.id) })
	return found
}
