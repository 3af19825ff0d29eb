package trace

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"grebeglade/trace/tracepb"
)

// tally collects the counts of a summary.
type tally struct {
	summary    *Summary
	pending    map[workloadKey]*pendingWorkload // workloads without a final answer
	groups     map[string]*Outcomes             // key: group name
	groupNames map[SourceKey][]string           // group names of each source, indexed by number
	rejections map[NodeRejection]int            // counts by node and reason; Count is 0 in the keys
	sources    map[SourceKey]bool
}

// pendingWorkload is a workload without a final answer.
type pendingWorkload struct {
	group       *Outcomes
	requestedMs float64 // Unix time
	node        uint32  // node of the last bind
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

// count counts a record of a file. Kinds without a case here only affect the summary's Records, times and sources.
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

// extendTime counts a record, and extends the summary's time range to its time.
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

// countRequest counts a request received at a Unix time in milliseconds, and its first step if that is a bind.
func (t *tally) countRequest(source SourceKey, workload *tracepb.Workload, step *tracepb.Step, at float64) {
	pending := &pendingWorkload{group: t.group(source, workload.GetGroup()), requestedMs: at}
	pending.group.Requests++
	t.pending[workloadKey{source, workload.GetId()}] = pending
	pending.countBind(step)
}

// group returns the outcomes of a source's group, given the group's number.
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

// countResult counts the results that indicate a problem with a node. Other results are not counted; the answers that
// follow from them are.
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

// countAnswer counts the answer given at a Unix time in milliseconds. Verdicts added by later versions are not counted.
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

// finish adds to the summary the counts and lists that depend on all records.
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

// finishRejections adds the rejections to the summary, most frequent first.
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
