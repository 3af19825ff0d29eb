package trace

import (
	"fmt"
	"iter"
)

// mergeInput is one file that is merged.
type mergeInput struct {
	reader    *Reader
	next      func() (*Record, error, bool)
	stop      func()                   // nil until start
	head      *Record                  // the next record, nil at the end
	places    map[uint32]uint32        // of its sources in the merged header
	ranges    map[uint32]revisionRange // by place
	remaining map[uint32]uint64        // records that are not taken yet, by place
}

// revisionRange is the least and the greatest revision of a source in a file.
type revisionRange struct {
	first uint64
	last  uint64
}

func newMergeInput(reader *Reader) *mergeInput {
	return &mergeInput{
		reader:    reader,
		places:    map[uint32]uint32{},
		ranges:    map[uint32]revisionRange{},
		remaining: map[uint32]uint64{},
	}
}

// count counts a record, and returns the place of its source.
func (in *mergeInput) count(record *Record) (place uint32, err error) {
	place, known := in.places[record.Source]
	if !known {
		return 0, fmt.Errorf("a record is of source %d, which its file does not name", record.Source)
	}
	revisions, found := in.ranges[place]
	if !found {
		revisions = revisionRange{record.Revision, record.Revision}
	}
	in.ranges[place] = revisionRange{
		first: min(revisions.first, record.Revision),
		last:  max(revisions.last, record.Revision),
	}
	in.remaining[place]++
	return place, nil
}

// start reads the first record.
func (in *mergeInput) start() error {
	in.next, in.stop = iter.Pull2(in.reader.Records(Span{}))
	return in.readNext()
}

// advance takes the next record, and reads the one after it.
func (in *mergeInput) advance() error {
	in.remaining[in.head.Source]--
	return in.readNext()
}

// readNext reads the next record, and gives it its source's place in the merged header.
func (in *mergeInput) readNext() error {
	record, err, ok := in.next()
	if err != nil {
		return err
	}
	in.head = nil
	if ok {
		record.Source = in.places[record.Source]
		in.head = record
	}
	return nil
}
