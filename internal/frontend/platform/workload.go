package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// workloadsPerMB is how many workloads fit in each MB of memory: a few KB each, with their descriptions.
const workloadsPerMB = 64

// workload is a client's workload, from its request to its end.
type workload struct {
	id               placement.WorkloadID
	tag              codec.Tag
	client           transport.ConnID // connection of the request; it may have ended
	answer           frontend.AnswerState
	class            string
	key              string // idempotency key
	description      string // the client's
	replyDescription string // the node's, once it has confirmed a bind
	bind             bind
}

// workloadTable holds the workloads that the engine knows.
type workloadTable struct {
	byID       map[placement.WorkloadID]*workload
	byTag      map[codec.Tag]*workload
	ids        frontend.WorkloadIDs
	limit      int // of the table's size, for further requests
	unanswered frontend.UnansweredRequests
}

func newWorkloadTable(memoryMB int) *workloadTable {
	return &workloadTable{
		byID:  map[placement.WorkloadID]*workload{},
		byTag: map[codec.Tag]*workload{},
		limit: workloadsPerMB * memoryMB,
	}
}

// get returns the workload of that id, or nil.
func (t *workloadTable) get(id placement.WorkloadID) *workload { return t.byID[id] }

// tagged returns the workload of that tag, or nil.
func (t *workloadTable) tagged(tag codec.Tag) *workload { return t.byTag[tag] }

// full reports whether the table's limit leaves no capacity for another request.
func (t *workloadTable) full() bool { return len(t.byID) >= t.limit }

// idsExhausted reports whether no id is left. The native frontend reserves ids for the adoption of running workloads;
// here none are, since it is a client that requests an adoption, and it can be rejected like any request.
func (t *workloadTable) idsExhausted() bool { return t.ids.Remaining() == 0 }

// holds reports whether the workload has not been removed.
func (t *workloadTable) holds(w *workload) bool { return t.byID[w.id] == w }

// addRequest adds the workload of a request, which is to be answered.
func (t *workloadTable) addRequest(tag codec.Tag, task *codec.Task, client transport.ConnID) *workload {
	added := t.add(&workload{tag: tag, client: client}, task)
	t.unanswered.Add(&added.answer)
	return added
}

// addRunning adds a workload that runs already, so that nothing is to be answered.
func (t *workloadTable) addRunning(tag codec.Tag, task *codec.Task, client transport.ConnID) *workload {
	return t.add(&workload{tag: tag, client: client}, task)
}

// add adds a workload under a new id, as the task describes it.
func (t *workloadTable) add(w *workload, task *codec.Task) *workload {
	w.id = t.ids.Next()
	w.class = task.Class
	w.key = task.Key
	w.description = task.Description
	t.byID[w.id] = w
	t.byTag[w.tag] = w
	return w
}

// markAnswered records that the request needs no answer any more.
func (t *workloadTable) markAnswered(w *workload) { t.unanswered.MarkAnswered(&w.answer) }

// remove removes a workload, and its tag unless a later workload has it.
func (t *workloadTable) remove(w *workload) {
	delete(t.byID, w.id)
	if t.byTag[w.tag] == w {
		delete(t.byTag, w.tag)
	}
}
