package trace

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"

	"grebeglade/trace/tracepb"
)

// clocksApart is how far apart, in ms, two allocators may hear the same revision of the list before their clocks
// are said to differ: pushes and calls alone take some hundred.
const clocksApart = 1000

// Cut copies the records of a span, and each source's start, which says what the rest means.
func Cut(r *Reader, w *Writer, s Span) error {
	begun := map[uint32]bool{}
	for rec, err := range r.Records(s) {
		if err != nil {
			return err
		}
		if begun[rec.Source] = begun[rec.Source] || rec.GetStart() != nil; !begun[rec.Source] {
			start, err := r.start(rec.Source)
			if err != nil {
				return err
			}
			if start != nil {
				if err := w.Append(start); err != nil {
					return err
				}
			}
			begun[rec.Source] = true
		}
		if err := w.Append(rec); err != nil {
			return err
		}
	}
	return w.Close()
}

// start finds a source's start, nil where the file lacks it.
func (t *Reader) start(source uint32) (*Record, error) {
	for rec, err := range t.Records(Span{}) {
		if err != nil {
			return nil, err
		}
		if rec.Source == source {
			if rec.GetStart() != nil {
				return rec, nil
			}
			return nil, nil
		}
	}
	return nil, nil
}

// life names one source over several files.
type life struct {
	allocator   string
	incarnation uint64
}

// input is one file being merged.
type input struct {
	r     *Reader
	next  func() (*Record, error, bool)
	stop  func()
	head  *Record
	place map[uint32]uint32    // its sources' places in the merged file
	spans map[uint32][2]uint64 // revisions of each of its sources, by merged place
	left  map[uint32]uint64    // records of each source that are not taken yet
}

// MergeReport is what a merge found.
type MergeReport struct {
	Records    uint64   `json:"records"`
	Duplicates uint64   `json:"duplicates"` // that stood in several files
	Clocks     []string `json:"clocks"`     // allocators whose clocks differ
}

// Merge writes the records of several files into one: by time, and within an allocator always by incarnation and
// revision, whatever its clock says. create makes the writer once the sources are known.
func Merge(readers []*Reader, create func(*tracepb.Header) (*Writer, error)) (*MergeReport, error) {
	header, inputs, report, err := survey(readers)
	if err != nil {
		return nil, err
	}
	w, err := create(header)
	if err != nil {
		return nil, err
	}
	for _, in := range inputs {
		in.next, in.stop = iter.Pull2(in.r.Records(Span{}))
		defer in.stop()
		if err := in.advance(); err != nil {
			return nil, err
		}
	}
	written := map[uint32]uint64{} // greatest revision of each source
	seen := map[uint32]bool{}
	for {
		in := pick(inputs, header)
		if in == nil {
			break
		}
		r := in.head
		if r.Revision > written[r.Source] || !seen[r.Source] {
			if err := w.Append(r); err != nil {
				return nil, err
			}
			written[r.Source], seen[r.Source] = r.Revision, true
			report.Records++
		} else {
			report.Duplicates++
		}
		in.left[r.Source]--
		if err := in.advance(); err != nil {
			return nil, err
		}
	}
	for _, in := range inputs {
		if in.head != nil {
			return nil, errors.New("the files contradict each other: the order of time and the order of revisions cannot both hold")
		}
	}
	return report, w.Close()
}

// advance takes the next record of a file, under its source's place in the merged one.
func (in *input) advance() error {
	r, err, ok := in.next()
	if err != nil {
		return err
	}
	if in.head = nil; ok {
		in.head = r
		r.Source = in.place[r.Source]
	}
	return nil
}

// survey reads the files once: which sources and revisions each holds, and when each source heard of the list.
func survey(readers []*Reader) (*tracepb.Header, []*input, *MergeReport, error) {
	header, places := &tracepb.Header{Tool: "grebeglade"}, map[life]uint32{}
	heard := map[uint32]map[[2]uint64]float64{}
	var inputs []*input
	for _, r := range readers {
		header.Anonymised = header.Anonymised || r.Header.Anonymised
		in := &input{r: r, place: map[uint32]uint32{}, spans: map[uint32][2]uint64{}, left: map[uint32]uint64{}}
		inputs = append(inputs, in)
		for i, s := range r.Header.Sources {
			l := life{s.Allocator, s.Incarnation}
			if _, known := places[l]; !known {
				places[l] = uint32(len(header.Sources))
				header.Sources = append(header.Sources, s)
			}
			in.place[uint32(i)] = places[l]
		}
		for rec, err := range r.Records(Span{}) {
			if err != nil {
				return nil, nil, nil, err
			}
			p, known := in.place[rec.Source]
			if !known {
				return nil, nil, nil, fmt.Errorf("a record is of source %d, which its file does not name", rec.Source)
			}
			span, any := in.spans[p]
			if !any {
				span = [2]uint64{rec.Revision, rec.Revision}
			}
			in.spans[p] = [2]uint64{min(span[0], rec.Revision), max(span[1], rec.Revision)}
			in.left[p]++
			if h := rec.GetHeard(); h != nil {
				if heard[p] == nil {
					heard[p] = map[[2]uint64]float64{}
				}
				if k := [2]uint64{h.Epoch, h.Revision}; heard[p][k] == 0 {
					heard[p][k] = r.UnixMillis(rec)
				}
			}
		}
	}
	return header, inputs, &MergeReport{Clocks: clocks(header, heard)}, nil
}

// pick is the file whose record comes next: the earliest one that nothing earlier of its allocator is left of.
func pick(inputs []*input, h *tracepb.Header) *input {
	var best *input
	for _, in := range inputs {
		if in.head == nil || !ready(in, inputs, h) {
			continue
		}
		if best == nil || before(in.head, best.head, h) {
			best = in
		}
	}
	return best
}

func before(x, y *Record, h *tracepb.Header) bool {
	at := func(r *Record) float64 { return r.AtMs + h.Sources[r.Source].WallMs }
	if a, b := at(x), at(y); a != b {
		return a < b
	}
	return x.Source < y.Source
}

// ready tells whether no other file still holds something that comes before in the same allocator's life, or in
// an earlier life of it.
func ready(in *input, inputs []*input, h *tracepb.Header) bool {
	own := in.head.Source
	for _, other := range inputs {
		for s, left := range other.left {
			if left == 0 || h.Sources[s].Allocator != h.Sources[own].Allocator {
				continue
			}
			if s != own && earlier(h, s, own) {
				return false
			}
			if s == own && other != in && other.spans[s][0] < in.spans[s][0] {
				return false
			}
		}
	}
	return true
}

// earlier tells whether one life of an allocator was before another. Pseudonyms of incarnations say nothing;
// there the clock must do.
func earlier(h *tracepb.Header, x, y uint32) bool {
	if h.Anonymised {
		return h.Sources[x].WallMs < h.Sources[y].WallMs
	}
	return h.Sources[x].Incarnation < h.Sources[y].Incarnation
}

// clocks compares when sources heard the same revision of the list, and when lives of one allocator began.
func clocks(h *tracepb.Header, heard map[uint32]map[[2]uint64]float64) []string {
	said := []string{}
	order := slices.Sorted(maps.Keys(heard))
	for i := 1; i < len(order); i++ {
		var apart []float64
		for k, at := range heard[order[i]] {
			if first, both := heard[order[0]][k]; both {
				apart = append(apart, at-first)
			}
		}
		if len(apart) == 0 {
			continue
		}
		slices.Sort(apart)
		if m := apart[len(apart)/2]; math.Abs(m) > clocksApart {
			said = append(said, fmt.Sprintf("%s hears the same news of the list %.1f s %s than %s (median of %d)",
				name(h, order[i]), math.Abs(m)/1000, map[bool]string{true: "later", false: "earlier"}[m > 0], name(h, order[0]), len(apart)))
		}
	}
	for x := range h.Sources {
		for y := range h.Sources {
			a, b := h.Sources[x], h.Sources[y]
			if !h.Anonymised && a.Allocator == b.Allocator && a.Incarnation < b.Incarnation && a.WallMs > b.WallMs {
				said = append(said, fmt.Sprintf("the clock of %s stepped back by %.1f s or more between two starts", a.Allocator,
					(a.WallMs-b.WallMs)/1000))
			}
		}
	}
	return said
}

func name(h *tracepb.Header, source uint32) string {
	return fmt.Sprintf("%s.%d", h.Sources[source].Allocator, h.Sources[source].Incarnation)
}

// Check is what a verification found.
type Check struct {
	Blocks  int      `json:"blocks"`
	Records uint64   `json:"records"`
	Missing uint64   `json:"missing"` // by gaps
	Index   string   `json:"index"`
	Wrong   []string `json:"wrong"`
}

// Verify reads all of a file and says what is wrong with it.
func Verify(r *Reader) *Check {
	c := &Check{Blocks: r.Blocks(), Index: "whole", Wrong: []string{}}
	if r.Rebuilt {
		c.Index = "missing; made anew by a scan"
		c.Wrong = append(c.Wrong, "there is no index: the file was not closed")
	}
	for _, d := range r.Damage {
		c.Wrong = append(c.Wrong, d.Error())
	}
	last := map[uint32]uint64{}
	for rec, err := range r.Records(Span{}) {
		if err != nil {
			c.Wrong = append(c.Wrong, err.Error())
			clear(last)
			continue
		}
		c.Records++
		if g := rec.GetGap(); g != nil {
			c.Missing += g.Missing
			c.Wrong = append(c.Wrong, fmt.Sprintf("%d records are missing before revision %d: %s", g.Missing, rec.Revision+1, g.Why))
		} else if l, known := last[rec.Source]; known && rec.Revision != l+1 {
			c.Wrong = append(c.Wrong, fmt.Sprintf("revision %d follows %d", rec.Revision, l))
		}
		last[rec.Source] = rec.Revision
	}
	return c
}

// CopyHeader is a header without what belongs to one file only.
func CopyHeader(h *tracepb.Header) *tracepb.Header {
	return &tracepb.Header{Sources: h.Sources, Anonymised: h.Anonymised, Tool: cmp.Or(h.Tool, "grebeglade")}
}
