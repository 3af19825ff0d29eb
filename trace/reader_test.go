package trace

import (
	"bytes"
	"encoding/binary"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"grebeglade/trace/tracepb"
)

func TestReader_ReturnsWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(drawn)).Draw(t, "records")
		r := reader(t, file(t, one, records, rapid.IntRange(1, 9).Draw(t, "per block")))
		got, damaged := all(r, Span{})
		assert.Zero(t, damaged)
		same(t, records, got)
		assert.False(t, r.IndexRebuilt)
		assert.Equal(t, uint64(len(records)), r.Count())
	})
}

func TestReader_TruncatedFileIsReadUpToLastCompleteBlock(t *testing.T) {
	records := some(20)
	b := file(t, one, records, 4)
	ends := []int{} // of the five blocks
	for _, block := range reader(t, b).blocks {
		h, err := decodeBlockHead(b[block.Offset:])
		require.NoError(t, err)
		ends = append(ends, int(block.Offset)+blockHeadSize+int(h.packedSize))
	}
	first := int(reader(t, b).blocks[0].Offset)
	for n := range b {
		r, err := NewReader(bytes.NewReader(b[:n]), int64(n))
		if n < first {
			require.Error(t, err, "cut at %d, in the header", n)
			continue
		}
		require.NoError(t, err, "cut at %d", n)
		complete := 0
		for _, end := range ends {
			if n >= end {
				complete += 4
			}
		}
		got, damaged := all(r, Span{})
		assert.Zero(t, damaged)
		same(t, records[:complete], got)
	}
}

func TestReader_FlippedBitLosesOneBlockAtMost(t *testing.T) {
	records := some(20)
	b := file(t, one, records, 4)
	intact := reader(t, b)
	first, index := int(intact.blocks[0].Offset), 0
	last := intact.blocks[len(intact.blocks)-1]
	h, err := decodeBlockHead(b[last.Offset:])
	require.NoError(t, err)
	index = int(last.Offset) + blockHeadSize + int(h.packedSize)
	for at := range b {
		flipped := slices.Clone(b)
		flipped[at] ^= 1 << (at % 8)
		r, err := NewReader(bytes.NewReader(flipped), int64(len(b)))
		if at < first {
			require.Error(t, err, "header, byte %d", at)
			continue
		}
		require.NoError(t, err)
		got, damaged := all(r, Span{})
		if at >= index {
			same(t, records, got)
			continue
		}
		assert.Len(t, got, 16, "byte %d", at)
		assert.NotZero(t, damaged+len(r.Damage))
		assert.NotEmpty(t, Verify(r).Wrong)
	}
}

func TestNewReader_LaterMajorVersionIsAnError(t *testing.T) {
	later := file(t, one, some(3), 3)
	binary.LittleEndian.PutUint16(later[len(magic):], Major+1)
	_, err := NewReader(bytes.NewReader(later), int64(len(later)))
	require.ErrorContains(t, err, "the trace is of format 2.1 and this program reads 1.x: read it with a newer grebeglade")
	assert.Equal(t, VersionError{Major: Major + 1, Minor: Minor}, err)
}

// A later minor version adds fields and kinds of records; those that are known are read all the same.
func TestReader_UnknownFieldIsIgnored(t *testing.T) {
	var raw bytes.Buffer
	w, err := NewWriter(&raw, one)
	require.NoError(t, err)
	r := placed(5, 1, 9)
	r.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 999, protowire.VarintType), 5))
	require.NoError(t, w.Append(r))
	require.NoError(t, w.Close())
	got, damaged := all(reader(t, raw.Bytes()), Span{})
	assert.Zero(t, damaged)
	assert.Equal(t, uint32(9), got[0].GetSchedule().Workload.Id)
}

func TestNewReader_OtherFilesAreErrors(t *testing.T) {
	_, err := NewReader(strings.NewReader("PK\x03\x04 something else"), 19)
	require.ErrorIs(t, err, ErrNotTrace)
	_, err = NewReader(bytes.NewReader(nil), 0)
	require.ErrorIs(t, err, ErrEmpty)
}

func TestWriter_UseAfterCloseIsAnError(t *testing.T) {
	w, err := NewWriter(io.Discard, one)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	require.ErrorIs(t, w.Append(placed(1, 1, 1)), ErrClosed)
}

func TestWriter_LargeRecordHasBlockOfItsOwn(t *testing.T) {
	big := &Record{Revision: 2, Body: &tracepb.Record_OfferRejected{OfferRejected: &tracepb.OfferRejected{Text: strings.Repeat("x", 5*targetBlockSize)}}}
	records := []*Record{placed(1, 1, 1), big, placed(2, 3, 2)}
	r := reader(t, file(t, one, records, 100))
	got, _ := all(r, Span{})
	same(t, records, got)
	assert.Equal(t, 3, r.Blocks())
	w, err := NewWriter(io.Discard, one)
	require.NoError(t, err)
	big.GetOfferRejected().Text = strings.Repeat("x", maxBlockSize)
	err = w.Append(big)
	require.ErrorContains(t, err, "over the limit")
	require.ErrorAs(t, err, new(SizeError))
	require.NoError(t, w.Append(records[0]), "the next one is written all the same")
}

func TestReaderRecords_SpanSelectsRecords(t *testing.T) {
	records := some(100)
	r := reader(t, file(t, one, records, 10))
	got, _ := all(r, Span{FromMs: 1e12 + 355, ToMs: 1e12 + 420})
	same(t, records[36:43], got)
}

func TestCut_CopiesRecordsOfSpan(t *testing.T) {
	records := some(100)
	r := reader(t, file(t, one, records, 10))
	var cut bytes.Buffer
	w, err := NewWriter(&cut, CopyHeader(r.Header))
	require.NoError(t, err)
	require.NoError(t, Cut(r, w, Span{FromMs: 1e12 + 990}))
	got, _ := all(reader(t, cut.Bytes()), Span{})
	same(t, records[99:], got)
}

func TestReader_FileWithoutRecordsIsEmpty(t *testing.T) {
	r := reader(t, file(t, one, nil, 1))
	got, damaged := all(r, Span{})
	assert.Zero(t, len(got)+damaged)
	s, err := Summarise([]*Reader{r})
	require.NoError(t, err)
	assert.Zero(t, s.Records)
}

func FuzzReader(f *testing.F) {
	f.Add(file(f, one, some(20), 4))
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := NewReader(bytes.NewReader(b), int64(len(b)))
		if err != nil {
			return
		}
		records, _ := all(r, Span{})
		Verify(r)
		require.NoError(t, r.Close())
		if len(records) > 0 && len(b) < headerSize+blockHeadSize {
			t.Error("records out of nothing")
		}
	})
}
