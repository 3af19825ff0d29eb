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
		for allocator := range rapid.IntRange(1, 4).Draw(t, "allocators") {
			allocatorFiles, records := randomFiles(t, fmt.Sprint("a", allocator))
			files = append(files, allocatorFiles...)
			total += records
		}
		order := rapid.Permutation(files).Draw(t, "order")
		merged, report := merge(t, append(order, files[0])...) // one file twice
		got, _ := readAll(merged, Span{})
		assert.Len(t, got, total)
		assert.Equal(t, uint64(total), report.Records)
		last := 0.0
		revisions := map[uint32]uint64{}
		for _, record := range got {
			assert.GreaterOrEqual(t, merged.UnixMillis(record), last)
			last = merged.UnixMillis(record)
			assert.Equal(t, revisions[record.Source]+1, record.Revision)
			revisions[record.Source] = record.Revision
		}
	})
}

// randomFiles returns the files of one incarnation of an allocator, and the total number of their records.
func randomFiles(t *rapid.T, allocator string) (files [][]byte, total int) {
	wallMs := float64(rapid.IntRange(0, 3).Draw(t, "wall"))
	at := 0.0
	revision := uint64(0)
	for range rapid.IntRange(1, 3).Draw(t, "files") {
		var records []*Record
		for range rapid.IntRange(0, 12).Draw(t, "records") {
			at += float64(rapid.IntRange(0, 2).Draw(t, "step"))
			revision++
			records = append(records, placedRequest(at, revision, uint32(revision)))
		}
		total += len(records)
		files = append(files, encodeFile(t, headerWithSource(source(allocator, 1, wallMs)), records, 3))
	}
	return files, total
}

// merge returns a reader of the merged file, and the report.
func merge(t require.TestingT, files ...[]byte) (*Reader, *MergeReport) {
	var readers []*Reader
	for _, file := range files {
		readers = append(readers, newReader(t, file))
	}
	var out bytes.Buffer
	report, err := Merge(readers, func(h *tracepb.Header) (*Writer, error) { return NewWriter(&out, h) })
	require.NoError(t, err)
	return newReader(t, out.Bytes()), report
}

// Guards against an order by clock time alone: the clock of a machine may be set back between two incarnations of its
// allocator.
func TestMerge_IncarnationsStayInOrderIfClockIsSetBack(t *testing.T) {
	first := encodeFile(t, headerWithSource(source("a", 1, 5e6)), placedRequests(3), 2)
	second := encodeFile(t, headerWithSource(source("a", 2, 1e6)), placedRequests(3), 2)
	merged, report := merge(t, second, first)
	got, _ := readAll(merged, Span{})
	var incarnations []uint64
	for _, r := range got {
		incarnations = append(incarnations, merged.Header.Sources[r.Source].Incarnation)
	}
	assert.Equal(t, []uint64{1, 1, 1, 2, 2, 2}, incarnations)
	assert.Equal(t, []string{"the clock of a stepped back by 4000.0 s or more between two starts"}, report.Clocks)
}

func TestMerge_ReportsClocksThatDiffer(t *testing.T) {
	// received returns a file whose only record is the reception of the node list's revision 5.
	received := func(name string, wallMs float64) []byte {
		updated := &tracepb.DiscoveryUpdated{Epoch: 1, Revision: 5}
		record := &Record{Revision: 1, Body: &tracepb.Record_DiscoveryUpdated{DiscoveryUpdated: updated}}
		return encodeFile(t, headerWithSource(source(name, 1, wallMs)), []*Record{record}, 1)
	}
	_, report := merge(t, received("a", 10e3), received("b", 15e3), received("c", 10.2e3))
	const difference = "b.1 receives the same revisions of the node list 5.0 s later than a.1 (median of 1)"
	assert.Equal(t, []string{difference}, report.Clocks)
}
