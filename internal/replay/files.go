package replay

import (
	"iter"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// RunFiles is Run for files, those of one allocator in the order given.
func RunFiles(files []*trace.Reader, options Options) ([]*Report, error) {
	records, sources, err := concatenate(files)
	if err != nil {
		return nil, err
	}
	return Run(records, sources, options)
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
	for _, file := range files {
		if file.Header.Anonymised {
			return nil, nil, ErrAnonymised
		}
		for _, source := range file.Header.Sources {
			if _, known := numbers[trace.KeyOf(source)]; !known {
				numbers[trace.KeyOf(source)] = uint32(len(sources))
				sources = append(sources, source)
			}
		}
	}
	records := func(yield func(*trace.Record, error) bool) {
		for _, file := range files {
			for record, err := range file.Records(trace.Span{}) {
				if err == nil && int(record.Source) < len(file.Header.Sources) {
					record.Source = numbers[trace.KeyOf(file.Header.Sources[record.Source])]
				}
				if !yield(record, err) {
					return
				}
			}
		}
	}
	return records, sources, nil
}
