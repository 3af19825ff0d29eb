package replay

import (
	"iter"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// RunFiles is Run for files, those of one allocator in the order given.
func RunFiles(files []*trace.Reader, o Options) ([]*Report, error) {
	records, sources, err := concatenate(files)
	if err != nil {
		return nil, err
	}
	return Run(records, sources, o)
}

// ReproduceFiles is Reproduce for files, those of one allocator in the order given.
func ReproduceFiles(files []*trace.Reader, workload uint32) (*Reproduction, error) {
	records, sources, err := concatenate(files)
	if err != nil {
		return nil, err
	}
	return Reproduce(records, sources, workload)
}

// concatenate returns the records of all files, and the sources to which their numbers refer.
func concatenate(files []*trace.Reader) (iter.Seq2[*trace.Record, error], []*tracepb.Source, error) {
	var sources []*tracepb.Source
	numbers := map[trace.SourceKey]uint32{}
	for _, f := range files {
		if f.Header.Anonymised {
			return nil, nil, ErrAnonymised
		}
		for _, s := range f.Header.Sources {
			if _, known := numbers[trace.KeyOf(s)]; !known {
				numbers[trace.KeyOf(s)] = uint32(len(sources))
				sources = append(sources, s)
			}
		}
	}
	records := func(yield func(*trace.Record, error) bool) {
		for _, f := range files {
			for rec, err := range f.Records(trace.Span{}) {
				if err == nil && int(rec.Source) < len(f.Header.Sources) {
					rec.Source = numbers[trace.KeyOf(f.Header.Sources[rec.Source])]
				}
				if !yield(rec, err) {
					return
				}
			}
		}
	}
	return records, sources, nil
}
