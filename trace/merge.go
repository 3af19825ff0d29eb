package trace

import (
	"errors"

	"grebeglade/trace/tracepb"
)

// ErrContradiction means that files cannot be merged: no order satisfies both their times and their revisions.
var ErrContradiction = errors.New(
	"the files contradict each other: the order of time and the order of revisions cannot both hold")

// MergeReport is the outcome of a merge.
type MergeReport struct {
	Records    uint64   `json:"records"`    // records written
	Duplicates uint64   `json:"duplicates"` // records omitted because another file also has them
	Clocks     []string `json:"clocks"`     // descriptions of clock differences
}

// Merge writes the records of several files to one. Records are ordered by time; those of one allocator are always
// ordered by incarnation and revision, even if its clock was set back. Merge calls create with the merged header to
// obtain the writer, and closes the writer unless an error occurs. Damage is an error.
func Merge(readers []*Reader, create func(*tracepb.Header) (*Writer, error)) (*MergeReport, error) {
	merged, err := newMerger(readers)
	if err != nil {
		return nil, err
	}
	writer, err := create(merged.header)
	if err != nil {
		return nil, err
	}
	defer merged.stop()
	if err := merged.start(); err != nil {
		return nil, err
	}
	report := &MergeReport{Clocks: clockDifferences(merged.header, merged.received)}
	if err := merged.copyTo(writer, report); err != nil {
		return nil, err
	}
	return report, writer.Close()
}

// merger merges files. Sources are identified by their index in the merged header.
type merger struct {
	header        *tracepb.Header
	sourceIndexes map[SourceKey]uint32 // index of each source in header
	inputs        []*mergeInput
	received      receptionTimes
	lastWritten   map[uint32]uint64 // greatest written revision, by source
}

// nodeListRevision identifies a version of the node list.
type nodeListRevision struct {
	epoch    uint64
	revision uint64
}

// newMerger reads each file once to collect its sources, revision ranges, record counts and node list revisions.
func newMerger(readers []*Reader) (*merger, error) {
	merged := &merger{
		header:        &tracepb.Header{Tool: toolName},
		sourceIndexes: map[SourceKey]uint32{},
		received:      receptionTimes{},
		lastWritten:   map[uint32]uint64{},
	}
	for _, reader := range readers {
		merged.header.Anonymised = merged.header.Anonymised || reader.Header.Anonymised
		input := newMergeInput(reader)
		merged.inputs = append(merged.inputs, input)
		merged.addSources(input)
		if err := merged.collect(input); err != nil {
			return nil, err
		}
	}
	return merged, nil
}

// addSources adds the sources of a file to the merged header and stores their indexes there.
func (m *merger) addSources(input *mergeInput) {
	for i, source := range input.reader.Header.Sources {
		index, listed := m.sourceIndexes[KeyOf(source)]
		if !listed {
			index = uint32(len(m.header.Sources))
			m.sourceIndexes[KeyOf(source)] = index
			m.header.Sources = append(m.header.Sources, source)
		}
		input.sourceIndexes[uint32(i)] = index
	}
}

// collect counts the records of a file and collects the times at which its sources received revisions of the node list.
func (m *merger) collect(input *mergeInput) error {
	for record, err := range input.reader.Records(Span{}) {
		if err != nil {
			return err
		}
		index, err := input.count(record)
		if err != nil {
			return err
		}
		if updated := record.GetDiscoveryUpdated(); updated != nil {
			revision := nodeListRevision{updated.Epoch, updated.Revision}
			m.received.add(index, revision, input.reader.UnixMillis(record))
		}
	}
	return nil
}

// start reads the first record of each file.
func (m *merger) start() error {
	for _, input := range m.inputs {
		if err := input.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop stops the iterators of the files that were started.
func (m *merger) stop() {
	for _, input := range m.inputs {
		if input.stop != nil {
			input.stop()
		}
	}
}

// copyTo writes the records in merged order and counts them in report.
func (m *merger) copyTo(writer *Writer, report *MergeReport) error {
	for input := m.nextInput(); input != nil; input = m.nextInput() {
		record := input.head
		if m.isDuplicate(record) {
			report.Duplicates++
		} else {
			if err := writer.Append(record); err != nil {
				return err
			}
			m.lastWritten[record.Source] = record.Revision
			report.Records++
		}
		if err := input.advance(); err != nil {
			return err
		}
	}
	for _, input := range m.inputs {
		if input.head != nil {
			return ErrContradiction
		}
	}
	return nil
}

// isDuplicate reports whether a record of the same source with the same or a greater revision has been written.
func (m *merger) isDuplicate(record *Record) bool {
	written, found := m.lastWritten[record.Source]
	return found && record.Revision <= written
}
