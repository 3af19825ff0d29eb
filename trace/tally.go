package trace

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"grebeglade/trace/tracepb"
)

// tally counts for a summary.
type tally struct {
	summary    *Summary
	pending    map[workloadKey]*pendingWorkload
	groups     map[string]*Outcomes // by name
	groupNames map[SourceKey][]string
	rejections map[NodeRejection]int // by node and reason
	sources    map[SourceKey]bool
}

// pendingWorkload is a workload without a final answer.
type pendingWorkload struct {
	group       *Outcomes
	requestedMs float64 // Unix time
	node        uint32  // of the last bind
}

func newTally() *tally {
	return &tally{
		summary:    &Summary{Damage: []string{}},
		pending:    map[workloadKey]*pendingWorkload{},
		groups:     map[string]*Outcomes{},
		groupNames: map[SourceKey][]string{},
		rejections: map[NodeRejection]int{},
		sources:    map[SourceKey]bool{},
	}
}

// add counts the records of a file. Parts that cannot be read are listed as damage.
func (t *tally) add(file *Reader) error {
	for _, damage := range file.Damage {
		t.summary.Damage = append(t.summary.Damage, damage.Error())
	}
	for record, err := range file.Records(Span{}) {
		if errors.As(err, new(DamageError)) {
			t.summary.Damage = append(t.summary.Damage, err.Error())
			continue
		}
		if err != nil {
			return err
		}
		t.count(file, record)
	}
	return nil
}

// count counts a record of a file. Kinds of records that are not named here do not occur in a summary.
func (t *tally) count(file *Reader, record *Record) {
	at := file.UnixMillis(record)
	t.extendTime(at)
	source := KeyOf(file.source(record))
	t.sources[source] = true
	switch body := record.Body.(type) {
	case *tracepb.Record_Start:
		t.groupNames[source] = body.Start.Groups
	case *tracepb.Record_Schedule:
		t.countRequest(source, body.Schedule.GetWorkload(), record.Step, at)
	case *tracepb.Record_StepResult:
		if workload := t.pending[workloadKey{source, body.StepResult.Workload}]; workload != nil {
			t.countResult(workload, body.StepResult)
			workload.countBind(record.Step)
		}
	case *tracepb.Record_RequestAnswered:
		key := workloadKey{source, body.RequestAnswered.Workload}
		if workload := t.pending[key]; workload != nil {
			workload.countAnswer(body.RequestAnswered.Verdict, at)
			delete(t.pending, key)
		}
	case *tracepb.Record_Gap:
		t.summary.Missing += body.Gap.Missing
	}
}

// extendTime counts a record, and extends the summary's times by its own.
func (t *tally) extendTime(unixMs float64) {
	summary := t.summary
	summary.Records++
	if summary.Records == 1 {
		summary.FromMs = unixMs
		summary.ToMs = unixMs
	}
	summary.FromMs = min(summary.FromMs, unixMs)
	summary.ToMs = max(summary.ToMs, unixMs)
}

// countRequest counts a request at a Unix time, and the bind to which it led at once.
func (t *tally) countRequest(source SourceKey, workload *tracepb.Workload, step *tracepb.Step, at float64) {
	pending := &pendingWorkload{group: t.group(source, workload.GetGroup()), requestedMs: at}
	pending.group.Requests++
	t.pending[workloadKey{source, workload.GetId()}] = pending
	pending.countBind(step)
}

// group returns the outcomes of a source's group by its number.
func (t *tally) group(source SourceKey, number uint32) *Outcomes {
	name := nameOr(t.groupNames[source], number, fmt.Sprintf("group %d", number))
	if t.groups[name] == nil {
		t.groups[name] = newOutcomes(name)
	}
	return t.groups[name]
}

// countBind counts a step if it is a bind.
func (w *pendingWorkload) countBind(step *tracepb.Step) {
	if step != nil && step.Kind == stepBind {
		w.group.Binds++
		w.node = step.Node
	}
}

// countResult counts the results that show a fault of a node. Others are counted by the answers to which they lead.
func (t *tally) countResult(workload *pendingWorkload, result *tracepb.StepResult) {
	switch result.Kind {
	case resultRejectedByNode:
		reason := RejectionName(result.Reason, fmt.Sprintf("reason %d", result.Reason))
		t.rejections[NodeRejection{Node: workload.node, Reason: reason}]++
	case resultNotDelivered:
		t.summary.NotDelivered++
	case resultOutcomeUnknown, resultTimedOut:
		t.summary.OutcomeUnknown++
	}
}

// countAnswer counts the answer to the request at a Unix time. A verdict that a later version has added is not counted.
func (w *pendingWorkload) countAnswer(verdict uint32, at float64) {
	switch verdict {
	case verdictPlaced:
		w.group.Placed++
		w.group.addWait(at - w.requestedMs)
	case verdictRejected:
		w.group.Rejected++
	case verdictUnschedulable:
		w.group.Unschedulable++
	}
}

// finish completes the summary with what is known only at the end.
func (t *tally) finish() {
	for _, workload := range t.pending {
		workload.group.Open++
	}
	t.finishSources()
	t.finishGroups()
	t.finishRejections()
}

func (t *tally) finishSources() {
	for source := range t.sources {
		t.summary.Sources = append(t.summary.Sources, source.String())
	}
	slices.Sort(t.summary.Sources)
}

func (t *tally) finishGroups() {
	t.summary.Groups = []*Outcomes{}
	for _, name := range slices.Sorted(maps.Keys(t.groups)) {
		group := t.groups[name]
		group.summariseWaits()
		t.summary.Groups = append(t.summary.Groups, group)
	}
}

// finishRejections sorts the rejections by how frequent they are.
func (t *tally) finishRejections() {
	found := []NodeRejection{}
	for rejection, count := range t.rejections {
		rejection.Count = count
		found = append(found, rejection)
	}
	slices.SortFunc(found, func(x, y NodeRejection) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Node, y.Node), cmp.Compare(x.Reason, y.Reason))
	})
	t.summary.NodeRejections = found
}
