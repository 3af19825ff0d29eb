package replay

import (
	"iter"

	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// RunFiles is Run for the records of files. The files of one allocator must be in the order of writing.
func RunFiles(files []*trace.Reader, options Options) ([]*Report, error) {
	records, sources, err := concatenate(files)
	if err != nil {
		return nil, err
	}
	return Run(records, sources, options)
}

// ReproduceFiles is Reproduce for the records of files. The files of one allocator must be in the order of writing.
func ReproduceFiles(files []*trace.Reader, workload uint32) (*Reproduction, error) {
	records, sources, err := concatenate(files)
	if err != nil {
		return nil, err
	}
	return Reproduce(records, sources, workload)
}

// concatenate returns the records of all files, and the list of all sources, to which Record.Source refers.
func concatenate(files []*trace.Reader) (iter.Seq2[*trace.Record, error], []*tracepb.Source, error) {
	var sources []*tracepb.Source
	indexes := map[trace.SourceKey]uint32{}
	for _, file := range files {
		if file.Header.Anonymised {
			return nil, nil, ErrAnonymised
		}
		for _, source := range file.Header.Sources {
			if _, listed := indexes[trace.KeyOf(source)]; !listed {
				indexes[trace.KeyOf(source)] = uint32(len(sources))
				sources = append(sources, source)
			}
		}
	}
	records := func(yield func(*trace.Record, error) bool) {
		for _, file := range files {
			for record, err := range file.Records(trace.Span{}) {
				if err == nil && int(record.Source) < len(file.Header.Sources) {
					record.Source = indexes[trace.KeyOf(file.Header.Sources[record.Source])]
				}
				if !yield(record, err) {
					return
				}
			}
		}
	}
	return records, sources, nil
}
