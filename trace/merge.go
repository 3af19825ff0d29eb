package trace

import (
	"errors"

	"grebeglade/trace/tracepb"
)

// ErrContradiction means that files cannot be merged: no order satisfies both their times and their revisions.
var ErrContradiction = errors.New(
	"the files contradict each other: the order of time and the order of revisions cannot both hold")

// MergeReport is what a merge found.
type MergeReport struct {
	Records    uint64   `json:"records"`
	Duplicates uint64   `json:"duplicates"` // records that were in several files
	Clocks     []string `json:"clocks"`     // allocators whose clocks differ
}

// Merge writes the records of several files into one: by time, and within an allocator always by incarnation and
// revision, whatever its clock says. The function create makes the writer once the sources are known.
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

// merger merges files whose sources have places in one header.
type merger struct {
	header   *tracepb.Header
	places   map[SourceKey]uint32 // of sources in the header
	inputs   []*mergeInput
	received receptionTimes
	written  map[uint32]uint64 // greatest revision of each source
}

// listRevision identifies a state of the node list.
type listRevision struct {
	epoch    uint64
	revision uint64
}

// newMerger reads the files once, for what sources and revisions each has.
func newMerger(readers []*Reader) (*merger, error) {
	merged := &merger{
		header:   &tracepb.Header{Tool: toolName},
		places:   map[SourceKey]uint32{},
		received: receptionTimes{},
		written:  map[uint32]uint64{},
	}
	for _, reader := range readers {
		merged.header.Anonymised = merged.header.Anonymised || reader.Header.Anonymised
		input := newMergeInput(reader)
		merged.inputs = append(merged.inputs, input)
		merged.addSources(input)
		if err := merged.survey(input); err != nil {
			return nil, err
		}
	}
	return merged, nil
}

// addSources gives the sources of a file places in the header.
func (m *merger) addSources(input *mergeInput) {
	for i, source := range input.reader.Header.Sources {
		place, known := m.places[KeyOf(source)]
		if !known {
			place = uint32(len(m.header.Sources))
			m.places[KeyOf(source)] = place
			m.header.Sources = append(m.header.Sources, source)
		}
		input.places[uint32(i)] = place
	}
}

// survey counts the records of a file, and takes the times at which revisions of the node list were received.
func (m *merger) survey(input *mergeInput) error {
	for record, err := range input.reader.Records(Span{}) {
		if err != nil {
			return err
		}
		place, err := input.count(record)
		if err != nil {
			return err
		}
		if updated := record.GetDiscoveryUpdated(); updated != nil {
			revision := listRevision{updated.Epoch, updated.Revision}
			m.received.add(place, revision, input.reader.UnixMillis(record))
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

// stop ends the reading of the files that were started.
func (m *merger) stop() {
	for _, input := range m.inputs {
		if input.stop != nil {
			input.stop()
		}
	}
}

// copyTo writes the records in their order.
func (m *merger) copyTo(writer *Writer, report *MergeReport) error {
	for input := m.first(); input != nil; input = m.first() {
		record := input.head
		if m.isDuplicate(record) {
			report.Duplicates++
		} else {
			if err := writer.Append(record); err != nil {
				return err
			}
			m.written[record.Source] = record.Revision
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

// isDuplicate reports whether a record, or a later one of its source, has been written.
func (m *merger) isDuplicate(record *Record) bool {
	written, found := m.written[record.Source]
	return found && record.Revision <= written
}
