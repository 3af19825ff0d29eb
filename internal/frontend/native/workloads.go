package native

import (
	"cmp"
	"math"
	"slices"

	"grebeglade/internal/allocator"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// maxRequestedID is the last id that a request may get. The ids after it are for workloads that are found on nodes and for
// parts of gangs.
const maxRequestedID = placement.WorkloadID(math.MaxUint32 - 1<<20)

// workloadState is how far a workload is, as its client knows it.
type workloadState uint8

const (
	workloadPending    workloadState = iota // it has no final answer
	workloadPlaced                          // answered: it was accepted by a node
	workloadNotPlaced                       // answered: rejected or unschedulable
	workloadCancelling                      // withdrawn or stopped before it was placed; a bind of it may be unanswered
	workloadStopping                        // withdrawn or stopped after it was placed
)

// afterAnswer is the state after a final answer.
func (s workloadState) afterAnswer(v allocator.Verdict) workloadState {
	if v == allocator.Placed {
		return workloadPlaced
	}
	return workloadNotPlaced
}

// afterWithdrawal is the state after the workload was withdrawn or stopped.
func (s workloadState) afterWithdrawal() workloadState {
	if s == workloadPlaced || s == workloadStopping {
		return workloadStopping
	}
	return workloadCancelling
}

// withdrawn reports whether the client has withdrawn the workload.
func (s workloadState) withdrawn() bool { return s == workloadCancelling || s == workloadStopping }

// accepted reports whether the workload was placed on the node of its last bind.
func (s workloadState) accepted() bool { return s == workloadPlaced || s == workloadStopping }

// bindState is what has become of a workload's last bind on its way to the node. Each bind begins as not sent:
//
//	notSent -> persisting -> sent       if the journal must have it first
//	notSent -> sent                     if not
//	persisting -> outdated -> notSent   if the decision no longer holds
//	any -> stopRequested                if the engine cancels it
//
// Type binds makes these transitions.
type bindState uint8

const (
	bindNone          bindState = iota // no bind was made
	bindPersisting                     // it is being written to the journal, and its offer is sent after that
	bindOutdated                       // likewise, but what the placement was decided by has changed: it is not sent
	bindNotSent                        // its offer is not sent, yet or at all
	bindSent                           // its offer was sent
	bindStopRequested                  // the engine called it off
)

// workload is one workload that the engine holds. The table changes its state, binds its binds, and the gangs which gang it
// is of.
type workload struct {
	id         placement.WorkloadID
	client     string
	request    *pb.PlaceRequest
	receivedAt placement.Millis
	state      workloadState
	bindNodes  []placement.NodeID // to which it was offered, in order
	bindState  bindState          // of the last bind
	adopted    *pb.BindID         // the bind by which its node knows a workload that was found there; nil for any other
	gang       *gangRequest       // nil unless it is a part of a gang
	part       int                // of the gang
}

// lastNode is the node of the last bind, or 0, which is no node's id, if there was none.
func (wl *workload) lastNode() placement.NodeID {
	if len(wl.bindNodes) == 0 {
		return 0
	}
	return wl.bindNodes[len(wl.bindNodes)-1]
}

// lastBind is the number of the last bind, -1 if there was none.
func (wl *workload) lastBind() int { return len(wl.bindNodes) - 1 }

// requestID names a request: its number counts within its client.
type requestID struct {
	client  string
	request uint64
}

func compareRequestIDs(x, y requestID) int {
	return cmp.Or(cmp.Compare(x.client, y.client), cmp.Compare(x.request, y.request))
}

// adoptedBind names the bind of an adopted workload: one of an earlier incarnation, or one that this one had abandoned.
type adoptedBind struct {
	node        placement.NodeID
	incarnation uint64
	workload    uint64
	number      uint32
}

func adoptedBindOf(node placement.NodeID, b *pb.BindID) adoptedBind {
	return adoptedBind{node, b.Incarnation, b.Workload, b.Number}
}

// workloadTable holds the workloads that the engine holds, and finds them by id, by request, by idempotency key and by bind.
// With it, requests distinguishes a repeated request from a new one.
type workloadTable struct {
	allocator   string // by which nodes know our binds
	incarnation uint64

	byID      map[placement.WorkloadID]*workload
	byRequest map[requestID]placement.WorkloadID // but for parts of gangs, which share their gang's request
	byKey     map[uint64]placement.WorkloadID
	byAdopted map[adoptedBind]placement.WorkloadID
	lastID    placement.WorkloadID
	pending   int // requests without a final answer, but for gangs
}

func newWorkloadTable(c Config) *workloadTable {
	return &workloadTable{
		allocator: c.Name, incarnation: c.Incarnation,
		byID: map[placement.WorkloadID]*workload{}, byRequest: map[requestID]placement.WorkloadID{},
		byKey: map[uint64]placement.WorkloadID{}, byAdopted: map[adoptedBind]placement.WorkloadID{},
	}
}

// count returns the number of workloads that the engine holds.
func (t *workloadTable) count() int { return len(t.byID) }

// get returns the workload of that id, if the engine holds it.
func (t *workloadTable) get(id placement.WorkloadID) (*workload, bool) {
	wl, ok := t.byID[id]
	return wl, ok
}

// held returns a workload that the engine names, and that is held for that reason.
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
	if wl, ok := t.byRequest[id]; ok {
		return t.get(wl)
	}
	return nil, false
}

// idsExhausted reports whether no id is left for requests.
func (t *workloadTable) idsExhausted() bool { return t.lastID >= maxRequestedID }

// adoptionIDsExhausted reports whether no id at all is left.
func (t *workloadTable) adoptionIDsExhausted() bool { return t.lastID == math.MaxUint32 }

// add gives the workload of a new request the next id.
func (t *workloadTable) add(now placement.Millis, client string, r *pb.PlaceRequest) *workload {
	wl := t.insert(&workload{client: client, request: r, receivedAt: now})
	t.byRequest[requestID{client, r.RequestId}] = wl.id
	t.byKey[r.Key] = wl.id
	t.pending++
	return wl
}

// addPart gives a part of a gang the next id. It has no request of its own.
func (t *workloadTable) addPart(now placement.Millis, g *gangRequest, part int) *workload {
	r := g.request.Parts[part]
	wl := t.insert(&workload{client: g.id.client, request: r, receivedAt: now, gang: g, part: part})
	t.byKey[r.Key] = wl.id
	return wl
}

// adopt gives a workload that was found on a node the next id. Its key may be held by another one.
func (t *workloadTable) adopt(now placement.Millis, node placement.NodeID, o *pb.Offer) *workload {
	wl := t.insert(&workload{
		client: o.Client, request: o.Request, receivedAt: now, state: workloadPlaced, bindNodes: []placement.NodeID{node},
		bindState: bindSent, adopted: o.Bind,
	})
	t.byAdopted[adoptedBindOf(node, o.Bind)] = wl.id
	t.byRequest[requestID{wl.client, wl.request.RequestId}] = wl.id
	if !t.hasKey(wl.request.Key) {
		t.byKey[wl.request.Key] = wl.id
	}
	return wl
}

func (t *workloadTable) insert(wl *workload) *workload {
	t.lastID++
	wl.id = t.lastID
	t.byID[wl.id] = wl
	return wl
}

// remove forgets a workload that the engine has let go of.
func (t *workloadTable) remove(wl *workload) {
	delete(t.byID, wl.id)
	if request := (requestID{wl.client, wl.request.RequestId}); t.byRequest[request] == wl.id {
		delete(t.byRequest, request)
	}
	if wl.adopted != nil {
		delete(t.byAdopted, adoptedBindOf(wl.bindNodes[0], wl.adopted))
	}
	if t.byKey[wl.request.Key] == wl.id {
		delete(t.byKey, wl.request.Key)
	}
}

// markAnswered changes a workload's state by its final answer.
func (t *workloadTable) markAnswered(wl *workload, v allocator.Verdict) {
	t.change(wl, wl.state.afterAnswer(v))
}

// markWithdrawn changes a workload's state by its withdrawal.
func (t *workloadTable) markWithdrawn(wl *workload) { t.change(wl, wl.state.afterWithdrawal()) }

func (t *workloadTable) change(wl *workload, to workloadState) {
	if wl.state == workloadPending && wl.gang == nil {
		t.pending--
	}
	wl.state = to
}

// ofClient returns a client's workloads that are wanted, in the order of their ids.
func (t *workloadTable) ofClient(client string, wanted func(*workload) bool) []*workload {
	var found []*workload
	for _, wl := range t.byID {
		if wl.client == client && wanted(wl) {
			found = append(found, wl)
		}
	}
	slices.SortFunc(found, func(x, y *workload) int { return cmp.Compare(x.id, y.id) })
	return found
}

// bindID is the identity of a workload's last bind on the wire.
func (t *workloadTable) bindID(wl *workload) *pb.BindID {
	if wl.adopted != nil {
		return wl.adopted
	}
	return &pb.BindID{
		Allocator: t.allocator, Incarnation: t.incarnation, Workload: uint64(wl.id), Number: uint32(wl.lastBind()),
	}
}

// offer is a workload's last bind as it is sent, without the time until which it may be accepted.
func (t *workloadTable) offer(now placement.Millis, wl *workload) *pb.Offer {
	o := &pb.Offer{Bind: t.bindID(wl), Client: wl.client, Request: wl.request}
	if wl.gang != nil {
		o.Gang = wl.gang.offerPart(now, wl.part)
	}
	return o
}

// find returns the workload and the number of its bind that a node names, if it is a bind of ours to that node.
func (t *workloadTable) find(node placement.NodeID, b *pb.BindID) (wl *workload, bind int, ok bool) {
	if b == nil || b.Allocator != t.allocator {
		return nil, 0, false
	}
	if id, adopted := t.byAdopted[adoptedBindOf(node, b)]; adopted {
		return t.byID[id], 0, true
	}
	if b.Incarnation != t.incarnation || b.Workload > math.MaxUint32 {
		return nil, 0, false
	}
	wl, held := t.byID[placement.WorkloadID(b.Workload)]
	if !held || wl.adopted != nil || int(b.Number) >= len(wl.bindNodes) || wl.bindNodes[b.Number] != node {
		return nil, 0, false
	}
	return wl, int(b.Number), true
}
