package platform

import (
	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// workloadsPerMB is the number of requested workloads accepted per MB of the memory limit, and that of adopted
	// workloads held in full. Each uses less than 2 KB, without the texts of a pending request.
	workloadsPerMB = 64
	// textShare is the share of the memory limit that the texts of pending requests may use.
	textShare = 0.125
)

// workload is a client's workload, from its request to its end.
type workload struct {
	id     placement.WorkloadID
	tag    codec.Tag
	client transport.ConnID // connection of the request, which may be closed
	answer frontend.AnswerState
	texts  texts
	bind   bind // last bind

	adopted  bool // handed over by a client
	verified bool // adopted, and its node has reported on it
}

// texts are the texts of a request that are passed on, in offers and in the answer. A workload that runs has none.
type texts struct {
	class            string
	key              string // idempotency key
	description      string // description from the client's request
	replyDescription string // description from the node's confirmation; empty before
}

// size returns the number of bytes.
func (t *texts) size() int {
	return len(t.class) + len(t.key) + len(t.description) + len(t.replyDescription)
}

// unverified reports whether the workload was handed over and its node has not reported on it, so that it may not
// exist.
func (w *workload) unverified() bool { return w.adopted && !w.verified }

// workloadTable is the table of the workloads that were passed to the engine, by id and tag.
type workloadTable struct {
	byID       map[placement.WorkloadID]*workload
	byTag      map[codec.Tag]*workload
	ids        frontend.WorkloadIDs
	limit      int // number of requested workloads at which new requests are rejected, and that of adopted ones in byID
	adopted    int // number of adopted workloads in byID
	textBytes  int // size of the texts of all workloads
	textLimit  int // size of the texts at which new requests are rejected
	unanswered frontend.UnansweredRequests
}

func newWorkloadTable(memoryMB int) *workloadTable {
	return &workloadTable{
		byID:      map[placement.WorkloadID]*workload{},
		byTag:     map[codec.Tag]*workload{},
		limit:     workloadsPerMB * memoryMB,
		textLimit: int(textShare * float64(memoryMB<<20)),
	}
}

// get returns the workload with the given id, or nil.
func (t *workloadTable) get(id placement.WorkloadID) *workload { return t.byID[id] }

// getByTag returns the workload with the given tag, or nil.
func (t *workloadTable) getByTag(tag codec.Tag) *workload { return t.byTag[tag] }

// full reports whether the table has reached a limit for new requests. Adopted workloads do not count: a client may
// hand over any number of workloads that do not exist.
func (t *workloadTable) full() bool {
	return len(t.byID)-t.adopted >= t.limit || t.textBytes >= t.textLimit
}

// adoptionsFull reports whether the table has reached its limit for adopted workloads.
func (t *workloadTable) adoptionsFull() bool { return t.adopted >= t.limit }

// idsExhausted reports whether no id is left. Unlike the native frontend, this one reserves no ids for the adoption of
// running workloads: adoptions are requested by clients and can be rejected like any request.
func (t *workloadTable) idsExhausted() bool { return t.ids.Remaining() == 0 }

// contains reports whether the workload is in the table.
func (t *workloadTable) contains(w *workload) bool { return t.byID[w.id] == w }

// addRequest adds the workload of a request to place it. The request is counted as unanswered.
func (t *workloadTable) addRequest(tag codec.Tag, task *codec.Task, client transport.ConnID) *workload {
	added := t.add(&workload{tag: tag, client: client})
	t.setTexts(added, texts{
		class:       task.Class,
		key:         task.Key,
		description: task.Description,
	})
	t.unanswered.Add(&added.answer)
	return added
}

// addRunning adds a workload that already runs. No answer is due for it.
func (t *workloadTable) addRunning(tag codec.Tag, client transport.ConnID) *workload {
	t.adopted++
	return t.add(&workload{tag: tag, client: client, adopted: true})
}

// add adds a workload with a new id.
func (t *workloadTable) add(w *workload) *workload {
	w.id = t.ids.Next()
	t.byID[w.id] = w
	t.byTag[w.tag] = w
	return w
}

// setTexts replaces the texts of a workload.
func (t *workloadTable) setTexts(w *workload, replacement texts) {
	t.textBytes += replacement.size() - w.texts.size()
	w.texts = replacement
}

// setReplyDescription sets the description from the node's confirmation.
func (t *workloadTable) setReplyDescription(w *workload, description string) {
	replacement := w.texts
	replacement.replyDescription = description
	t.setTexts(w, replacement)
}

// dropTexts drops the texts of a workload, which are no longer needed once its request has its final answer.
func (t *workloadTable) dropTexts(w *workload) { t.setTexts(w, texts{}) }

// markAnswered records that the request was answered or needs no answer.
func (t *workloadTable) markAnswered(w *workload) { t.unanswered.MarkAnswered(&w.answer) }

// remove removes a workload, and its tag unless a later workload has the same tag.
func (t *workloadTable) remove(w *workload) {
	t.dropTexts(w)
	if w.adopted {
		t.adopted--
	}
	delete(t.byID, w.id)
	if t.byTag[w.tag] == w {
		delete(t.byTag, w.tag)
	}
}
