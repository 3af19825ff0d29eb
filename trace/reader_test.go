package trace

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"grebeglade/trace/tracepb"
)

func TestReader_ReturnsWrittenRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(randomRecord)).Draw(t, "records")
		r := newReader(t, encodeFile(t, testHeader, records, rapid.IntRange(1, 9).Draw(t, "per block")))
		got, damaged := readAll(r, Span{})
		assert.Zero(t, damaged)
		assertSameRecords(t, records, got)
		assert.False(t, r.IndexRebuilt)
		assert.Equal(t, uint64(len(records)), r.Count())
	})
}

func TestReader_TruncatedFileIsReadUpToLastCompleteBlock(t *testing.T) {
	records := placedRequests(20)
	b := encodeFile(t, testHeader, records, 4)
	ends := []int{} // end offsets of the five blocks
	for _, block := range newReader(t, b).blocks {
		h, err := decodeBlockHeader(b[block.Offset:])
		require.NoError(t, err)
		ends = append(ends, int(block.Offset)+blockHeaderSize+int(h.compressedSize))
	}
	first := int(newReader(t, b).blocks[0].Offset)
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
		got, damaged := readAll(r, Span{})
		assert.Zero(t, damaged)
		assertSameRecords(t, records[:complete], got)
	}
}

func TestReader_FlippedBitLosesAtMostOneBlock(t *testing.T) {
	const (
		count    = 20
		perBlock = 4
	)
	records := placedRequests(count)
	intact := encodeFile(t, testHeader, records, perBlock)
	firstBlock, index := blockOffsets(t, intact)
	for at := range intact {
		flipped := slices.Clone(intact)
		flipped[at] ^= 1 << (at % 8)
		reader, err := NewReader(bytes.NewReader(flipped), int64(len(flipped)))
		if at < firstBlock {
			require.Error(t, err, "header, byte %d", at)
			continue
		}
		require.NoError(t, err)
		got, damaged := readAll(reader, Span{})
		if at >= index {
			assertSameRecords(t, records, got)
			continue
		}
		assert.Len(t, got, count-perBlock, "byte %d", at)
		assert.NotZero(t, damaged+len(reader.Damage))
		assert.NotEmpty(t, Verify(reader).Wrong)
	}
}

// blockOffsets returns the offsets of a file's first block and of its index.
func blockOffsets(t *testing.T, file []byte) (first, index int) {
	t.Helper()
	blocks := newReader(t, file).blocks
	last := blocks[len(blocks)-1]
	header, err := decodeBlockHeader(file[last.Offset:])
	require.NoError(t, err)
	return int(blocks[0].Offset), int(last.Offset) + int(header.size())
}

func TestNewReader_LaterMajorVersionIsAnError(t *testing.T) {
	later := encodeFile(t, testHeader, placedRequests(3), 3)
	binary.LittleEndian.PutUint16(later[len(magic):], Major+1)
	_, err := NewReader(bytes.NewReader(later), int64(len(later)))
	const message = "the trace is of format 2.1 and this program reads 1.x: read it with a newer grebeglade"
	require.ErrorContains(t, err, message)
	assert.Equal(t, VersionError{Major: Major + 1, Minor: Minor}, err)
}

// Guards against rejecting files of a later minor version, which may contain unknown fields and kinds of records.
func TestReader_UnknownFieldIsIgnored(t *testing.T) {
	var raw bytes.Buffer
	w, err := NewWriter(&raw, testHeader)
	require.NoError(t, err)
	r := placedRequest(5, 1, 9)
	r.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 999, protowire.VarintType), 5))
	require.NoError(t, w.Append(r))
	require.NoError(t, w.Close())
	got, damaged := readAll(newReader(t, raw.Bytes()), Span{})
	assert.Zero(t, damaged)
	assert.Equal(t, uint32(9), got[0].GetSchedule().Workload.Id)
}

func TestOpen_MissingFileErrorContainsPath(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing"+FileExtension)
	_, err := Open(missing)
	require.ErrorIs(t, err, fs.ErrNotExist)
	require.ErrorContains(t, err, "open a trace: open "+missing)
}

// failingFile fails every read and write.
type failingFile struct{}

func (failingFile) ReadAt([]byte, int64) (int, error) { return 0, errInputOutput }
func (failingFile) Write([]byte) (int, error)         { return 0, errInputOutput }

var errInputOutput = errors.New("input/output error")

func TestNewReader_ReadErrorContainsOffset(t *testing.T) {
	_, err := NewReader(failingFile{}, 1000)
	require.ErrorIs(t, err, errInputOutput)
	require.ErrorContains(t, err, "read at byte 0")
}

func TestNewWriter_WriteErrorContainsOperation(t *testing.T) {
	_, err := NewWriter(failingFile{}, testHeader)
	require.ErrorIs(t, err, errInputOutput)
	require.ErrorContains(t, err, "write to a trace")
}

func TestNewReader_OtherOrEmptyFileIsAnError(t *testing.T) {
	_, err := NewReader(strings.NewReader("PK\x03\x04 something else"), 19)
	require.ErrorIs(t, err, ErrNotTrace)
	_, err = NewReader(bytes.NewReader(nil), 0)
	require.ErrorIs(t, err, ErrEmpty)
}

func TestWriter_UseAfterCloseIsAnError(t *testing.T) {
	w, err := NewWriter(io.Discard, testHeader)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	require.ErrorIs(t, w.Append(placedRequest(1, 1, 1)), ErrClosed)
}

func TestWriter_LargeRecordGetsSeparateBlock(t *testing.T) {
	rejected := &tracepb.OfferRejected{Text: strings.Repeat("x", 5*targetBlockSize)}
	big := &Record{Revision: 2, Body: &tracepb.Record_OfferRejected{OfferRejected: rejected}}
	records := []*Record{placedRequest(1, 1, 1), big, placedRequest(2, 3, 2)}
	r := newReader(t, encodeFile(t, testHeader, records, 100))
	got, _ := readAll(r, Span{})
	assertSameRecords(t, records, got)
	assert.Equal(t, 3, r.Blocks())
	w, err := NewWriter(io.Discard, testHeader)
	require.NoError(t, err)
	rejected.Text = strings.Repeat("x", maxBlockSize)
	err = w.Append(big)
	require.ErrorContains(t, err, "over the limit")
	require.ErrorAs(t, err, new(SizeError))
	require.NoError(t, w.Append(records[0]), "the writer stays usable")
}

func TestReaderRecords_SpanSelectsRecords(t *testing.T) {
	records := placedRequests(100)
	r := newReader(t, encodeFile(t, testHeader, records, 10))
	got, _ := readAll(r, Span{FromMs: 1e12 + 355, ToMs: 1e12 + 420})
	assertSameRecords(t, records[36:43], got)
}

func TestCut_CopiesRecordsOfSpan(t *testing.T) {
	records := placedRequests(100)
	r := newReader(t, encodeFile(t, testHeader, records, 10))
	var cut bytes.Buffer
	w, err := NewWriter(&cut, CopyHeader(r.Header))
	require.NoError(t, err)
	require.NoError(t, Cut(r, w, Span{FromMs: 1e12 + 990}))
	got, _ := readAll(newReader(t, cut.Bytes()), Span{})
	assertSameRecords(t, records[99:], got)
}

func TestReader_FileWithoutRecordsIsEmpty(t *testing.T) {
	r := newReader(t, encodeFile(t, testHeader, nil, 1))
	got, damaged := readAll(r, Span{})
	assert.Zero(t, len(got)+damaged)
	s, err := Summarise([]*Reader{r})
	require.NoError(t, err)
	assert.Zero(t, s.Records)
}

func FuzzReader(f *testing.F) {
	f.Add(encodeFile(f, testHeader, placedRequests(20), 4))
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := NewReader(bytes.NewReader(b), int64(len(b)))
		if err != nil {
			return
		}
		records, _ := readAll(r, Span{})
		Verify(r)
		require.NoError(t, r.Close())
		if len(records) > 0 && len(b) < headerSize+blockHeaderSize {
			t.Error("records read from a file that is too short to contain any")
		}
	})
}
