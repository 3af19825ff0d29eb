package trace

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"grebeglade/trace/tracepb"
)

func TestMerge_OrdersByTimeAndWithinAllocatorByRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var files [][]byte
		total := 0
		for s := range rapid.IntRange(1, 4).Draw(t, "allocators") {
			h := &tracepb.Header{Sources: []*tracepb.Source{source(fmt.Sprint("a", s), 1, float64(rapid.IntRange(0, 3).Draw(t, "wall")))}}
			at, revision := 0.0, uint64(0)
			for range rapid.IntRange(1, 3).Draw(t, "files") { // one incarnation in several files
				var records []*Record
				for range rapid.IntRange(0, 12).Draw(t, "records") {
					at += float64(rapid.IntRange(0, 2).Draw(t, "step"))
					revision++
					records = append(records, placed(at, revision, uint32(revision)))
				}
				total += len(records)
				files = append(files, file(t, h, records, 3))
			}
		}
		order := rapid.Permutation(files).Draw(t, "order")
		merged, report := merge(t, append(order, files[0])...) // one of them twice
		got, _ := all(merged, Span{})
		assert.Len(t, got, total)
		assert.Equal(t, uint64(total), report.Records)
		last, revisions := 0.0, map[uint32]uint64{}
		for _, r := range got {
			assert.GreaterOrEqual(t, merged.UnixMillis(r), last)
			last = merged.UnixMillis(r)
			assert.Equal(t, revisions[r.Source]+1, r.Revision)
			revisions[r.Source] = r.Revision
		}
	})
}

func merge(t require.TestingT, files ...[]byte) (*Reader, *MergeReport) {
	var readers []*Reader
	for _, f := range files {
		readers = append(readers, reader(t, f))
	}
	var out bytes.Buffer
	report, err := Merge(readers, func(h *tracepb.Header) (*Writer, error) { return NewWriter(&out, h) })
	require.NoError(t, err)
	return reader(t, out.Bytes()), report
}

// The clock of a machine may be set back between two incarnations of its allocator.
func TestMerge_IncarnationsStayInOrderIfClockIsSetBack(t *testing.T) {
	first := file(t, &tracepb.Header{Sources: []*tracepb.Source{source("a", 1, 5e6)}}, some(3), 2)
	second := file(t, &tracepb.Header{Sources: []*tracepb.Source{source("a", 2, 1e6)}}, some(3), 2)
	merged, report := merge(t, second, first)
	got, _ := all(merged, Span{})
	var incarnations []uint64
	for _, r := range got {
		incarnations = append(incarnations, merged.Header.Sources[r.Source].Incarnation)
	}
	assert.Equal(t, []uint64{1, 1, 1, 2, 2, 2}, incarnations)
	assert.Equal(t, []string{"the clock of a stepped back by 4000.0 s or more between two starts"}, report.Clocks)
}

func TestMerge_ReportsClocksThatDiffer(t *testing.T) {
	heard := func(name string, wall float64) []byte {
		h := &Record{Revision: 1, Body: &tracepb.Record_DiscoveryUpdated{DiscoveryUpdated: &tracepb.DiscoveryUpdated{Epoch: 1, Revision: 5}}}
		return file(t, &tracepb.Header{Sources: []*tracepb.Source{source(name, 1, wall)}}, []*Record{h}, 1)
	}
	_, report := merge(t, heard("a", 10e3), heard("b", 15e3), heard("c", 10.2e3))
	assert.Equal(t, []string{"b.1 hears the same news of the list 5.0 s later than a.1 (median of 1)"}, report.Clocks)
}
