package trace

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"grebeglade/trace/tracepb"
)

const (
	maxWaitMicros  = 3_600_000_000
	waitPrecision  = 3 // significant digits
	microsPerMilli = 1000
)

// Outcomes counts what the requests of a group came to.
type Outcomes struct {
	Group         string  `json:"group"`
	Requests      int     `json:"asks"`
	Placed        int     `json:"placed"`
	Rejected      int     `json:"rejected"`
	Unschedulable int     `json:"unschedulable"`
	Open          int     `json:"open"` // none of these by the end of the trace: withdrawn, or still pending
	Binds         int     `json:"binds"`
	MedianMs      float64 `json:"placed_median_ms"`
	P99Ms         float64 `json:"placed_p99_ms"`
	MaxMs         float64 `json:"placed_max_ms"`

	waits *hdrhistogram.Histogram // until placed, in microseconds
}

// NodeRejection counts how often a node rejected a bind for one reason.
type NodeRejection struct {
	Node   uint32 `json:"node"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Summary is what a trace holds, in figures.
type Summary struct {
	Sources        []string        `json:"sources"`
	FromMs         float64         `json:"from_unix_ms"`
	ToMs           float64         `json:"to_unix_ms"`
	Records        uint64          `json:"records"`
	Groups         []*Outcomes     `json:"groups"`
	NodeRejections []NodeRejection `json:"refusals"`    // most frequent first
	OutcomeUnknown int             `json:"unclear"`     // binds without an answer: timed out, or the connection was lost
	NotDelivered   int             `json:"unreachable"` // binds that found no connection
	Missing        uint64          `json:"missing"`     // records that gaps report
	Damage         []string        `json:"damage"`
}

// Summarise summarises files in the order given. Workloads are followed from one file to the next.
func Summarise(files []*Reader) (*Summary, error) {
	t := tally{
		summary: &Summary{Damage: []string{}}, pending: map[workloadKey]*pendingWorkload{}, groups: map[string]*Outcomes{},
		groupNames: map[SourceKey][]string{}, rejections: map[NodeRejection]int{}, sources: map[SourceKey]bool{},
	}
	for _, f := range files {
		if err := t.add(f); err != nil {
			return nil, err
		}
	}
	t.finish()
	return t.summary, nil
}

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

func (t *tally) add(f *Reader) error {
	for _, d := range f.Damage {
		t.summary.Damage = append(t.summary.Damage, d.Error())
	}
	for r, err := range f.Records(Span{}) {
		if errors.As(err, new(Damage)) {
			t.summary.Damage = append(t.summary.Damage, err.Error())
			continue
		}
		if err != nil {
			return err
		}
		t.count(f, r)
	}
	return nil
}

func (t *tally) count(f *Reader, r *Record) {
	at := f.UnixMillis(r)
	t.extendTime(at)
	source := KeyOf(f.source(r))
	t.sources[source] = true
	switch b := r.Body.(type) {
	case *tracepb.Record_Start:
		t.groupNames[source] = b.Start.Groups
	case *tracepb.Record_Schedule:
		t.countRequest(source, b.Schedule.GetWorkload(), r.Step, at)
	case *tracepb.Record_StepResult:
		if p := t.pending[workloadKey{source, b.StepResult.Workload}]; p != nil {
			t.countResult(p, b.StepResult)
			p.countBind(r.Step)
		}
	case *tracepb.Record_RequestAnswered:
		k := workloadKey{source, b.RequestAnswered.Workload}
		if p := t.pending[k]; p != nil {
			p.countAnswer(b.RequestAnswered.Verdict, at)
			delete(t.pending, k)
		}
	case *tracepb.Record_Gap:
		t.summary.Missing += b.Gap.Missing
	}
}

func (t *tally) extendTime(unixMs float64) {
	s := t.summary
	if s.Records++; s.Records == 1 {
		s.FromMs, s.ToMs = unixMs, unixMs
	}
	s.FromMs, s.ToMs = min(s.FromMs, unixMs), max(s.ToMs, unixMs)
}

func (t *tally) countRequest(source SourceKey, w *tracepb.Workload, step *tracepb.Step, at float64) {
	p := &pendingWorkload{group: t.group(source, w.GetGroup()), requestedMs: at}
	p.group.Requests++
	t.pending[workloadKey{source, w.GetId()}] = p
	p.countBind(step)
}

// group returns the outcomes of a source's group by its number.
func (t *tally) group(source SourceKey, number uint32) *Outcomes {
	name := nameOr(t.groupNames[source], number, fmt.Sprintf("group %d", number))
	g := t.groups[name]
	if g == nil {
		g = &Outcomes{Group: name, waits: hdrhistogram.New(1, maxWaitMicros, waitPrecision)}
		t.groups[name] = g
	}
	return g
}

func (p *pendingWorkload) countBind(s *tracepb.Step) {
	if s != nil && s.Kind == stepBind {
		p.group.Binds++
		p.node = s.Node
	}
}

func (t *tally) countResult(p *pendingWorkload, n *tracepb.StepResult) {
	switch n.Kind {
	case resultRejectedByNode:
		reason := RejectionName(n.Reason, fmt.Sprintf("reason %d", n.Reason))
		t.rejections[NodeRejection{Node: p.node, Reason: reason}]++
	case resultNotDelivered:
		t.summary.NotDelivered++
	case resultOutcomeUnknown, resultTimedOut:
		t.summary.OutcomeUnknown++
	}
}

func (p *pendingWorkload) countAnswer(verdict uint32, at float64) {
	g := p.group
	switch verdict {
	case verdictPlaced:
		g.Placed++
		micros := int64((at - p.requestedMs) * microsPerMilli)
		if err := g.waits.RecordValue(max(1, micros)); err != nil { // it is beyond the histogram's bounds
			_ = g.waits.RecordValue(g.waits.HighestTrackableValue()) // which is within them
		}
	case verdictRejected:
		g.Rejected++
	case verdictUnschedulable:
		g.Unschedulable++
	}
}

// finish completes the summary with what is known only at the end.
func (t *tally) finish() {
	for _, p := range t.pending {
		p.group.Open++
	}
	s := t.summary
	s.Sources, s.Groups, s.NodeRejections = nil, []*Outcomes{}, []NodeRejection{}
	for source := range t.sources {
		s.Sources = append(s.Sources, source.String())
	}
	slices.Sort(s.Sources)
	for _, name := range slices.Sorted(maps.Keys(t.groups)) {
		g := t.groups[name]
		g.summariseWaits()
		s.Groups = append(s.Groups, g)
	}
	for r, n := range t.rejections {
		r.Count = n
		s.NodeRejections = append(s.NodeRejections, r)
	}
	slices.SortFunc(s.NodeRejections, func(x, y NodeRejection) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Node, y.Node), cmp.Compare(x.Reason, y.Reason))
	})
}

func (g *Outcomes) summariseWaits() {
	if g.waits.TotalCount() == 0 {
		return
	}
	g.MedianMs = float64(g.waits.ValueAtQuantile(50)) / microsPerMilli
	g.P99Ms = float64(g.waits.ValueAtQuantile(99)) / microsPerMilli
	g.MaxMs = float64(g.waits.Max()) / microsPerMilli
}
