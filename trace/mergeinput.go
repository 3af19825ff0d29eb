package trace

import (
	"fmt"
	"iter"
)

// mergeInput is an input file of a merge. Sources are identified by their index in the merged header.
type mergeInput struct {
	reader        *Reader
	next          func() (*Record, error, bool)
	stop          func()                   // nil until start
	head          *Record                  // the next record, nil at the end
	sourceIndexes map[uint32]uint32        // index in the merged header, by index in the file's header
	ranges        map[uint32]revisionRange // key: source
	remaining     map[uint32]uint64        // number of records not merged yet, by source
}

// revisionRange is the least and the greatest revision of a source in a file.
type revisionRange struct {
	first uint64
	last  uint64
}

func newMergeInput(reader *Reader) *mergeInput {
	return &mergeInput{
		reader:        reader,
		sourceIndexes: map[uint32]uint32{},
		ranges:        map[uint32]revisionRange{},
		remaining:     map[uint32]uint64{},
	}
}

// count counts a record and returns the index of its source in the merged header.
func (in *mergeInput) count(record *Record) (index uint32, err error) {
	index, listed := in.sourceIndexes[record.Source]
	if !listed {
		return 0, fmt.Errorf("a record refers to source %d, which the file's header does not list", record.Source)
	}
	revisions, found := in.ranges[index]
	if !found {
		revisions = revisionRange{record.Revision, record.Revision}
	}
	in.ranges[index] = revisionRange{
		first: min(revisions.first, record.Revision),
		last:  max(revisions.last, record.Revision),
	}
	in.remaining[index]++
	return index, nil
}

// start reads the first record.
func (in *mergeInput) start() error {
	in.next, in.stop = iter.Pull2(in.reader.Records(Span{}))
	return in.readNext()
}

// advance counts the head record as merged and reads the next one.
func (in *mergeInput) advance() error {
	in.remaining[in.head.Source]--
	return in.readNext()
}

// readNext reads the next record and sets its source to the index in the merged header.
func (in *mergeInput) readNext() error {
	record, err, ok := in.next()
	if err != nil {
		return err
	}
	in.head = nil
	if ok {
		record.Source = in.sourceIndexes[record.Source]
		in.head = record
	}
	return nil
}
