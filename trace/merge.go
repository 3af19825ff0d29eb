package trace

import (
	"errors"
	"fmt"
	"iter"

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
// revision, whatever its clock says. create makes the writer once the sources are known.
func Merge(readers []*Reader, create func(*tracepb.Header) (*Writer, error)) (*MergeReport, error) {
	m, err := newMerger(readers)
	if err != nil {
		return nil, err
	}
	w, err := create(m.header)
	if err != nil {
		return nil, err
	}
	defer m.stop()
	if err := m.start(); err != nil {
		return nil, err
	}
	report := &MergeReport{Clocks: clockDifferences(m.header, m.listRevisions)}
	if err := m.copyTo(w, report); err != nil {
		return nil, err
	}
	return report, w.Close()
}

// merger merges files whose sources have places in one header.
type merger struct {
	header *tracepb.Header
	places map[SourceKey]uint32 // of sources in the header
	inputs []*mergeInput
	// listRevisions are the Unix times, in milliseconds, at which each source first received each revision of the
	// endpoint list.
	listRevisions map[uint32]map[listRevision]float64
	written       map[uint32]uint64 // greatest revision of each source
}

// listRevision identifies a state of the endpoint list.
type listRevision struct{ epoch, revision uint64 }

// revisionRange is the least and the greatest revision of a source in a file.
type revisionRange struct{ first, last uint64 }

// mergeInput is one file that is merged.
type mergeInput struct {
	r      *Reader
	next   func() (*Record, error, bool)
	stop   func()
	head   *Record                  // the next record, nil at the end
	places map[uint32]uint32        // of its sources in the merged header
	ranges map[uint32]revisionRange // by place
	left   map[uint32]uint64        // records that are not taken yet, by place
}

// newMerger reads the files once, for what sources and revisions each has.
func newMerger(readers []*Reader) (*merger, error) {
	m := &merger{
		header: &tracepb.Header{Tool: toolName}, places: map[SourceKey]uint32{},
		listRevisions: map[uint32]map[listRevision]float64{}, written: map[uint32]uint64{},
	}
	for _, r := range readers {
		m.header.Anonymised = m.header.Anonymised || r.Header.Anonymised
		in := &mergeInput{
			r: r, places: map[uint32]uint32{}, ranges: map[uint32]revisionRange{}, left: map[uint32]uint64{},
		}
		m.inputs = append(m.inputs, in)
		m.addSources(in)
		for rec, err := range r.Records(Span{}) {
			if err != nil {
				return nil, err
			}
			if err := m.survey(in, rec); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}

func (m *merger) addSources(in *mergeInput) {
	for i, s := range in.r.Header.Sources {
		place, known := m.places[KeyOf(s)]
		if !known {
			place = uint32(len(m.header.Sources))
			m.places[KeyOf(s)] = place
			m.header.Sources = append(m.header.Sources, s)
		}
		in.places[uint32(i)] = place
	}
}

// survey counts a record of a file.
func (m *merger) survey(in *mergeInput, rec *Record) error {
	place, known := in.places[rec.Source]
	if !known {
		return fmt.Errorf("a record is of source %d, which its file does not name", rec.Source)
	}
	revisions, any := in.ranges[place]
	if !any {
		revisions = revisionRange{rec.Revision, rec.Revision}
	}
	in.ranges[place] = revisionRange{min(revisions.first, rec.Revision), max(revisions.last, rec.Revision)}
	in.left[place]++
	if h := rec.GetDiscoveryUpdated(); h != nil {
		m.noteListRevision(place, listRevision{h.Epoch, h.Revision}, in.r.UnixMillis(rec))
	}
	return nil
}

func (m *merger) noteListRevision(place uint32, revision listRevision, unixMs float64) {
	received := m.listRevisions[place]
	if received == nil {
		received = map[listRevision]float64{}
		m.listRevisions[place] = received
	}
	if received[revision] == 0 {
		received[revision] = unixMs
	}
}

// start reads the first record of each file.
func (m *merger) start() error {
	for _, in := range m.inputs {
		in.next, in.stop = iter.Pull2(in.r.Records(Span{}))
		if err := in.advance(); err != nil {
			return err
		}
	}
	return nil
}

func (m *merger) stop() {
	for _, in := range m.inputs {
		if in.stop != nil {
			in.stop()
		}
	}
}

// copyTo writes the records in their order.
func (m *merger) copyTo(w *Writer, report *MergeReport) error {
	for in := m.first(); in != nil; in = m.first() {
		r := in.head
		if written, any := m.written[r.Source]; any && r.Revision <= written {
			report.Duplicates++
		} else {
			if err := w.Append(r); err != nil {
				return err
			}
			m.written[r.Source] = r.Revision
			report.Records++
		}
		in.left[r.Source]--
		if err := in.advance(); err != nil {
			return err
		}
	}
	for _, in := range m.inputs {
		if in.head != nil {
			return ErrContradiction
		}
	}
	return nil
}

// advance reads the next record of a file, and gives it its source's place in the merged header.
func (in *mergeInput) advance() error {
	r, err, ok := in.next()
	if err != nil {
		return err
	}
	in.head = nil
	if ok {
		in.head = r
		r.Source = in.places[r.Source]
	}
	return nil
}

// first returns the file whose record comes next, nil if there is none: the earliest before which nothing of its
// allocator is left.
func (m *merger) first() *mergeInput {
	var first *mergeInput
	for _, in := range m.inputs {
		if in.head == nil || !m.ready(in) {
			continue
		}
		if first == nil || m.before(in.head, first.head) {
			first = in
		}
	}
	return first
}

func (m *merger) before(x, y *Record) bool {
	if a, b := unixMillis(m.header, x), unixMillis(m.header, y); a != b {
		return a < b
	}
	return x.Source < y.Source
}

// ready reports whether no other file has records left that precede this one's in the same incarnation, or that belong
// to an earlier incarnation of its allocator.
func (m *merger) ready(in *mergeInput) bool {
	own := in.head.Source
	for _, other := range m.inputs {
		for s, left := range other.left {
			if left == 0 || m.header.Sources[s].Allocator != m.header.Sources[own].Allocator {
				continue
			}
			if s != own && m.earlier(s, own) {
				return false
			}
			if s == own && other != in && other.ranges[s].first < in.ranges[s].first {
				return false
			}
		}
	}
	return true
}

// earlier reports whether one incarnation of an allocator was before another. Pseudonyms of incarnations have no order,
// so the clock decides between them.
func (m *merger) earlier(x, y uint32) bool {
	a, b := m.header.Sources[x], m.header.Sources[y]
	if m.header.Anonymised {
		return a.WallMs < b.WallMs
	}
	return a.Incarnation < b.Incarnation
}
