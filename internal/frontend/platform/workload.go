package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// workloadsPerMB is the number of workloads accepted per MB of the memory limit. A workload and its descriptions use a
// few KB.
const workloadsPerMB = 64

// workload is a client's workload, from its request to its end.
type workload struct {
	id               placement.WorkloadID
	tag              codec.Tag
	client           transport.ConnID // connection of the request, which may be closed
	answer           frontend.AnswerState
	class            string
	key              string // idempotency key
	description      string // description from the client's request
	replyDescription string // description from the node's confirmation; empty before
	bind             bind   // last bind
}

// workloadTable is the table of the workloads that were passed to the engine, by id and tag.
type workloadTable struct {
	byID       map[placement.WorkloadID]*workload
	byTag      map[codec.Tag]*workload
	ids        frontend.WorkloadIDs
	limit      int // number of workloads at which new requests are rejected; adoptions may exceed it
	unanswered frontend.UnansweredRequests
}

func newWorkloadTable(memoryMB int) *workloadTable {
	return &workloadTable{
		byID:  map[placement.WorkloadID]*workload{},
		byTag: map[codec.Tag]*workload{},
		limit: workloadsPerMB * memoryMB,
	}
}

// get returns the workload with the given id, or nil.
func (t *workloadTable) get(id placement.WorkloadID) *workload { return t.byID[id] }

// getByTag returns the workload with the given tag, or nil.
func (t *workloadTable) getByTag(tag codec.Tag) *workload { return t.byTag[tag] }

// full reports whether the table has reached the limit for new requests.
func (t *workloadTable) full() bool { return len(t.byID) >= t.limit }

// idsExhausted reports whether no id is left. Unlike the native frontend, this one reserves no ids for the adoption of
// running workloads: adoptions are requested by clients and can be rejected like any request.
func (t *workloadTable) idsExhausted() bool { return t.ids.Remaining() == 0 }

// contains reports whether the workload is in the table.
func (t *workloadTable) contains(w *workload) bool { return t.byID[w.id] == w }

// addRequest adds the workload of a request to place it. The request is counted as unanswered.
func (t *workloadTable) addRequest(tag codec.Tag, task *codec.Task, client transport.ConnID) *workload {
	added := t.add(&workload{tag: tag, client: client}, task)
	t.unanswered.Add(&added.answer)
	return added
}

// addRunning adds a workload that already runs. No answer is due for it.
func (t *workloadTable) addRunning(tag codec.Tag, task *codec.Task, client transport.ConnID) *workload {
	return t.add(&workload{tag: tag, client: client}, task)
}

// add adds a workload with a new id and the values of the task.
func (t *workloadTable) add(w *workload, task *codec.Task) *workload {
	w.id = t.ids.Next()
	w.class = task.Class
	w.key = task.Key
	w.description = task.Description
	t.byID[w.id] = w
	t.byTag[w.tag] = w
	return w
}

// markAnswered records that the request was answered or needs no answer.
func (t *workloadTable) markAnswered(w *workload) { t.unanswered.MarkAnswered(&w.answer) }

// remove removes a workload, and its tag unless a later workload has the same tag.
func (t *workloadTable) remove(w *workload) {
	delete(t.byID, w.id)
	if t.byTag[w.tag] == w {
		delete(t.byTag, w.tag)
	}
}
