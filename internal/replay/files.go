package replay

import (
	"errors"
	"iter"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// ErrAnonymised means a trace under pseudonyms: some choices rest on the ids themselves.
var ErrAnonymised = errors.New("the trace is under pseudonyms and cannot be decided again: some choices rest on the ids " +
	"themselves; replay the original")

// chain puts files behind each other, with the sources of all of them under places of their own.
func chain(files []*trace.Reader) (iter.Seq2[*trace.Record, error], []*tracepb.Source, error) {
	type life struct {
		allocator   string
		incarnation uint64
	}
	var sources []*tracepb.Source
	places := map[life]uint32{}
	for _, f := range files {
		if f.Header.Anonymised {
			return nil, nil, ErrAnonymised
		}
		for _, s := range f.Header.Sources {
			l := life{s.Allocator, s.Incarnation}
			if _, known := places[l]; !known {
				places[l] = uint32(len(sources))
				sources = append(sources, s)
			}
		}
	}
	return func(yield func(*trace.Record, error) bool) {
		for _, f := range files {
			for r, err := range f.Records(trace.Span{}) {
				if err == nil && int(r.Source) < len(f.Header.Sources) {
					s := f.Header.Sources[r.Source]
					r.Source = places[life{s.Allocator, s.Incarnation}]
				}
				if !yield(r, err) {
					return
				}
			}
		}
	}, sources, nil
}

// Files runs the calls of files, those of one allocator in the order given.
func Files(files []*trace.Reader, o Options) ([]*Report, error) {
	records, sources, err := chain(files)
	if err != nil {
		return nil, err
	}
	return Run(records, sources, o)
}

// ExtractFiles extracts from files, those of one allocator in the order given.
func ExtractFiles(files []*trace.Reader, id uint32) (*Extract, error) {
	records, sources, err := chain(files)
	if err != nil {
		return nil, err
	}
	return ExtractDecision(records, sources, id)
}

// Filter says which records concern someone; a zero field lets all through.
type Filter struct {
	Workload uint32
	Service  uint64
	Node     uint32
}

// Matcher returns a filter for the records of one file, to be asked in their order: which workloads are of a
// service is learnt from their asks.
func (f Filter) Matcher() func(*trace.Record) bool {
	type of struct{ source, workload uint32 }
	inService := map[of]bool{}
	return func(r *trace.Record) bool {
		w, known := workloadOf(r)
		if p := workloadBody(r); p != nil {
			inService[of{r.Source, w}] = p.Service == f.Service
		}
		switch {
		case f.Workload != 0 && (!known || w != f.Workload),
			f.Service != 0 && (!known || !inService[of{r.Source, w}]),
			f.Node != 0 && !concerns(r, f.Node):
			return false
		}
		return true
	}
}

func workloadBody(r *trace.Record) *tracepb.Workload {
	if p := r.GetPlace(); p != nil {
		return p.Workload
	}
	return r.GetAdopt().GetWorkload()
}

func workloadOf(r *trace.Record) (uint32, bool) {
	switch b := r.Body.(type) {
	case *tracepb.Record_Place:
		return b.Place.GetWorkload().GetId(), true
	case *tracepb.Record_Adopt:
		return b.Adopt.GetWorkload().GetId(), true
	case *tracepb.Record_Next:
		return b.Next.Workload, true
	case *tracepb.Record_Note:
		return b.Note.Workload, true
	case *tracepb.Record_Asked:
		return b.Asked.Workload, true
	case *tracepb.Record_Answered:
		return b.Answered.Workload, true
	case *tracepb.Record_Refused:
		return b.Refused.Workload, true
	}
	return 0, false
}

func concerns(r *trace.Record, node uint32) bool {
	if r.Step != nil && r.Step.Kind == 0 && r.Step.Node == node {
		return true
	}
	switch b := r.Body.(type) {
	case *tracepb.Record_Adopt:
		return b.Adopt.Node == node
	case *tracepb.Record_Report:
		return b.Report.Node == node
	case *tracepb.Record_Probed:
		return b.Probed.Node == node
	case *tracepb.Record_Answered:
		return b.Answered.Node == node
	case *tracepb.Record_Refused:
		return b.Refused.Node == node
	case *tracepb.Record_List:
		for _, n := range b.List.Nodes {
			if n.Id == node {
				return true
			}
		}
	}
	return false
}
