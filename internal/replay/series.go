package replay

import (
	"iter"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// Files replays the records of files. Those of one allocator must be given in their order, from its start on.
func Files(files []*trace.Reader, o Options) ([]*Report, error) {
	s, err := newSeries(files)
	if err != nil {
		return nil, err
	}
	return Run(s.records(), s.sources, o)
}

// ExtractFiles reproduces the first decision on a workload of files. Those of one allocator must be given in their order,
// from its start on.
func ExtractFiles(files []*trace.Reader, workload uint32) (*Reproduction, error) {
	s, err := newSeries(files)
	if err != nil {
		return nil, err
	}
	return Extract(s.records(), s.sources, workload)
}

// incarnation identifies one run of an allocator.
type incarnation struct {
	allocator string
	number    uint64
}

func incarnationOf(s *tracepb.Source) incarnation { return incarnation{s.Allocator, s.Incarnation} }

// series is the records of several files, one file after the other, with common numbers for their sources.
type series struct {
	files   []*trace.Reader
	sources []*tracepb.Source
	numbers map[incarnation]uint32 // indices in sources
}

func newSeries(files []*trace.Reader) (*series, error) {
	s := &series{files: files, numbers: map[incarnation]uint32{}}
	for _, f := range files {
		if f.Header.Anonymised {
			return nil, ErrAnonymised
		}
		for _, source := range f.Header.Sources {
			s.addSource(source)
		}
	}
	return s, nil
}

func (s *series) addSource(source *tracepb.Source) {
	i := incarnationOf(source)
	if _, known := s.numbers[i]; known {
		return
	}
	s.numbers[i] = uint32(len(s.sources))
	s.sources = append(s.sources, source)
}

func (s *series) records() iter.Seq2[*trace.Record, error] {
	return func(yield func(*trace.Record, error) bool) {
		for _, f := range s.files {
			for r, err := range f.Records(trace.Span{}) {
				if err == nil && int(r.Source) < len(f.Header.Sources) {
					r.Source = s.numbers[incarnationOf(f.Header.Sources[r.Source])]
				}
				if !yield(r, err) {
					return
				}
			}
		}
	}
}
