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

// Kinds of steps and results, as the records' numbers have them.
const (
	stepBind = 0

	resultConfirmed   = 0
	resultDeclined    = 1
	resultUnreachable = 2
	resultUnclear     = 4
	resultTimedOut    = 5
)

// Outcomes counts what came of a group's asks.
type Outcomes struct {
	Group         string  `json:"group"`
	Asks          int     `json:"asks"`
	Placed        int     `json:"placed"`
	Rejected      int     `json:"rejected"`
	Unschedulable int     `json:"unschedulable"`
	Open          int     `json:"open"` // neither, by the end of the trace: withdrawn, or beyond it
	Binds         int     `json:"binds"`
	MedianMs      float64 `json:"placed_median_ms"`
	P99Ms         float64 `json:"placed_p99_ms"`
	MaxMs         float64 `json:"placed_max_ms"`

	waits *hdrhistogram.Histogram
}

// Refusals counts how often a node said no for one reason.
type Refusals struct {
	Node   uint32 `json:"node"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Summary is what a trace holds, in figures.
type Summary struct {
	Sources  []string    `json:"sources"`
	FromMs   float64     `json:"from_unix_ms"`
	ToMs     float64     `json:"to_unix_ms"`
	Records  uint64      `json:"records"`
	Groups   []*Outcomes `json:"groups"`
	Refusals []Refusals  `json:"refusals"` // most frequent first
	Unclear  int         `json:"unclear"`  // binds without an answer: timed out, or cut off
	NotThere int         `json:"unreachable"`
	Missing  uint64      `json:"missing"`
	Damage   []string    `json:"damage"`
}

var reasons = []string{
	"no reason", "no cores", "no memory", "too many waiting", "not here", "evicted", "pushed out", "sent away",
}

// pending is a workload as a summary follows it.
type pending struct {
	group *Outcomes
	asked float64
	node  uint32
}

type workloadOf struct {
	allocator string
	life      uint64
	id        uint32
}

// Summarise goes through files in the order given; lives that go on from one file to the next are followed.
func Summarise(files []*Reader) (*Summary, error) {
	s := &Summary{Damage: []string{}}
	t := tally{
		summary: s, open: map[workloadOf]*pending{}, groups: map[string]*Outcomes{}, names: map[life][]string{},
		refusals: map[Refusals]int{}, sources: map[string]bool{},
	}
	for _, f := range files {
		for _, d := range f.Damage {
			s.Damage = append(s.Damage, d.Error())
		}
		for r, err := range f.Records(Span{}) {
			if errors.As(err, new(Damage)) {
				s.Damage = append(s.Damage, err.Error())
				continue
			}
			if err != nil {
				return nil, err
			}
			t.take(f, r)
		}
	}
	t.finish()
	return s, nil
}

type tally struct {
	summary  *Summary
	open     map[workloadOf]*pending
	groups   map[string]*Outcomes
	names    map[life][]string
	refusals map[Refusals]int
	sources  map[string]bool
}

func (t *tally) take(f *Reader, r *Record) {
	s, at := t.summary, f.UnixMillis(r)
	if s.Records++; s.Records == 1 {
		s.FromMs, s.ToMs = at, at
	}
	s.FromMs, s.ToMs = min(s.FromMs, at), max(s.ToMs, at)
	src := &tracepb.Source{}
	if int(r.Source) < len(f.Header.Sources) {
		src = f.Header.Sources[r.Source]
	}
	l := life{src.Allocator, src.Incarnation}
	t.sources[fmt.Sprintf("%s.%d", l.allocator, l.incarnation)] = true
	of := func(id uint32) workloadOf { return workloadOf{l.allocator, l.incarnation, id} }
	switch b := r.Body.(type) {
	case *tracepb.Record_Start:
		t.names[l] = b.Start.Groups
	case *tracepb.Record_Place:
		w := b.Place.GetWorkload()
		p := &pending{group: t.group(l, w.GetGroup()), asked: at}
		p.group.Asks++
		t.open[of(w.GetId())] = p
		t.bound(p, r.Step)
	case *tracepb.Record_Next:
		p := t.open[of(b.Next.Workload)]
		if p == nil {
			return
		}
		t.result(p, b.Next)
		t.bound(p, r.Step)
	case *tracepb.Record_Answered:
		k := of(b.Answered.Workload)
		if p := t.open[k]; p != nil {
			t.answered(p, b.Answered.Verdict, at)
			delete(t.open, k)
		}
	case *tracepb.Record_Gap:
		s.Missing += b.Gap.Missing
	}
}

func (t *tally) group(l life, i uint32) *Outcomes {
	name := fmt.Sprintf("group %d", i)
	if names := t.names[l]; int(i) < len(names) {
		name = names[i]
	}
	g := t.groups[name]
	if g == nil {
		g = &Outcomes{Group: name, waits: hdrhistogram.New(1, 3_600_000_000, 3)}
		t.groups[name] = g
	}
	return g
}

func (t *tally) bound(p *pending, s *tracepb.Step) {
	if s != nil && s.Kind == stepBind {
		p.group.Binds++
		p.node = s.Node
	}
}

func (t *tally) result(p *pending, n *tracepb.Next) {
	switch n.Kind {
	case resultDeclined:
		reason := fmt.Sprintf("reason %d", n.Reason)
		if int(n.Reason) < len(reasons) {
			reason = reasons[n.Reason]
		}
		t.refusals[Refusals{Node: p.node, Reason: reason}]++
	case resultUnreachable:
		t.summary.NotThere++
	case resultUnclear, resultTimedOut:
		t.summary.Unclear++
	}
}

func (t *tally) answered(p *pending, verdict uint32, at float64) {
	switch verdict {
	case 1:
		p.group.Placed++
		if err := p.group.waits.RecordValue(max(1, int64((at-p.asked)*1000))); err != nil {
			p.group.waits.RecordValue(p.group.waits.HighestTrackableValue())
		}
	case 2:
		p.group.Rejected++
	case 3:
		p.group.Unschedulable++
	}
}

func (t *tally) finish() {
	for _, p := range t.open {
		p.group.Open++
	}
	s := t.summary
	s.Sources = slices.Sorted(maps.Keys(t.sources))
	s.Groups, s.Refusals = []*Outcomes{}, []Refusals{}
	for _, name := range slices.Sorted(maps.Keys(t.groups)) {
		g := t.groups[name]
		if g.waits.TotalCount() > 0 {
			g.MedianMs = float64(g.waits.ValueAtQuantile(50)) / 1000
			g.P99Ms = float64(g.waits.ValueAtQuantile(99)) / 1000
			g.MaxMs = float64(g.waits.Max()) / 1000
		}
		s.Groups = append(s.Groups, g)
	}
	for r, n := range t.refusals {
		r.Count = n
		s.Refusals = append(s.Refusals, r)
	}
	slices.SortFunc(s.Refusals, func(x, y Refusals) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Node, y.Node), cmp.Compare(x.Reason, y.Reason))
	})
}
