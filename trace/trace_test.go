package trace

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"grebeglade/trace/tracepb"
)

func source(name string, incarnation uint64, wall float64) *tracepb.Source {
	return &tracepb.Source{Allocator: name, Incarnation: incarnation, WallMs: wall}
}

// placed is an ask of a workload that was bound.
func placed(at float64, revision uint64, id uint32) *Record {
	return &Record{
		AtMs: at, Revision: revision, Step: &tracepb.Step{Node: 7, Timeout: 3000},
		Body: &tracepb.Record_Place{Place: &tracepb.Place{Workload: &tracepb.Workload{Id: id, Service: uint64(id), Cores: 1.5}}},
	}
}

// file writes records, a block for so many of them.
func file(t require.TestingT, h *tracepb.Header, records []*Record, perBlock int) []byte {
	var b bytes.Buffer
	w, err := NewWriter(&b, h)
	require.NoError(t, err)
	for i, r := range records {
		require.NoError(t, w.Append(r))
		if (i+1)%perBlock == 0 {
			require.NoError(t, w.Flush())
		}
	}
	require.NoError(t, w.Close())
	return b.Bytes()
}

func reader(t require.TestingT, b []byte) *Reader {
	r, err := NewReader(bytes.NewReader(b), int64(len(b)))
	require.NoError(t, err)
	return r
}

// all reads what can be read, and counts what cannot.
func all(r *Reader, s Span) (records []*Record, damaged int) {
	for rec, err := range r.Records(s) {
		if err != nil {
			damaged++
		} else {
			records = append(records, rec)
		}
	}
	return records, damaged
}

func some(n int) (records []*Record) {
	for i := range n {
		records = append(records, placed(float64(i*10), uint64(i+1), uint32(i+1)))
	}
	return records
}

func same(t assert.TestingT, want, got []*Record) {
	if assert.Len(t, got, len(want)) {
		for i := range want {
			assert.True(t, proto.Equal(want[i], got[i]), "record %d", i)
		}
	}
}

var one = &tracepb.Header{Sources: []*tracepb.Source{source("a", 1, 1e12)}}

// drawn is any record.
func drawn(t *rapid.T) *Record {
	r := &Record{AtMs: rapid.Float64().Draw(t, "at"), Revision: rapid.Uint64().Draw(t, "revision")}
	load := &tracepb.Load{SpareCores: rapid.Float64().Draw(t, "spare"), Backlog: rapid.Float64().Draw(t, "backlog")}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		r.Body = &tracepb.Record_Report{Report: &tracepb.Report{Node: rapid.Uint32().Draw(t, "node"), Load: load}}
	case 1:
		r.Body = &tracepb.Record_Next{Next: &tracepb.Next{Workload: rapid.Uint32().Draw(t, "wl"), Load: load}}
		r.Step = &tracepb.Step{Kind: 1, Until: rapid.Float64().Draw(t, "until")}
	case 2:
		r.Body = &tracepb.Record_Upkeep{Upkeep: &tracepb.Upkeep{}}
		r.Chores = &tracepb.Chores{Moves: rapid.SliceOf(rapid.Uint32()).Draw(t, "moves")}
	case 3:
		r.Body = &tracepb.Record_Asked{Asked: &tracepb.Asked{Owner: rapid.String().Draw(t, "owner"), Key: rapid.Uint64().Draw(t, "key")}}
	case 4:
		nodes := make([]*tracepb.Node, rapid.IntRange(0, 20).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = &tracepb.Node{Id: uint32(i), Born: rapid.Float64().Draw(t, "born")}
		}
		r.Body = &tracepb.Record_List{List: &tracepb.List{Nodes: nodes}}
	default:
		return placed(r.AtMs, r.Revision, rapid.Uint32().Draw(t, "id"))
	}
	return r
}

func TestWhatIsWrittenIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(drawn)).Draw(t, "records")
		r := reader(t, file(t, one, records, rapid.IntRange(1, 9).Draw(t, "per block")))
		got, damaged := all(r, Span{})
		assert.Zero(t, damaged)
		same(t, records, got)
		assert.False(t, r.Rebuilt)
		assert.Equal(t, uint64(len(records)), r.Count())
	})
}

func TestAFileCutAnywhereIsReadUpToItsLastWholeBlock(t *testing.T) {
	records := some(20)
	b := file(t, one, records, 4)
	ends := []int{} // of the five blocks
	for _, block := range reader(t, b).blocks {
		h, err := decodeBlockHead(b[block.Offset:])
		require.NoError(t, err)
		ends = append(ends, int(block.Offset)+blockSize+int(h.packed))
	}
	first := int(reader(t, b).blocks[0].Offset)
	for n := range b {
		r, err := NewReader(bytes.NewReader(b[:n]), int64(n))
		if n < first {
			assert.Error(t, err, "cut at %d, in the header", n)
			continue
		}
		require.NoError(t, err, "cut at %d", n)
		whole := 0
		for _, end := range ends {
			if n >= end {
				whole += 4
			}
		}
		got, damaged := all(r, Span{})
		assert.Zero(t, damaged)
		same(t, records[:whole], got)
	}
}

func TestAFlippedBitLosesOneBlockAtMost(t *testing.T) {
	records := some(20)
	b := file(t, one, records, 4)
	whole := reader(t, b)
	first, index := int(whole.blocks[0].Offset), 0
	last := whole.blocks[len(whole.blocks)-1]
	h, err := decodeBlockHead(b[last.Offset:])
	require.NoError(t, err)
	index = int(last.Offset) + blockSize + int(h.packed)
	for at := range b {
		flipped := slices.Clone(b)
		flipped[at] ^= 1 << (at % 8)
		r, err := NewReader(bytes.NewReader(flipped), int64(len(b)))
		if at < first {
			assert.Error(t, err, "header, byte %d", at)
			continue
		}
		require.NoError(t, err)
		got, damaged := all(r, Span{})
		if at >= index {
			same(t, records, got)
			continue
		}
		assert.Equal(t, 16, len(got), "byte %d", at)
		assert.NotZero(t, damaged+len(r.Damage))
		assert.NotEmpty(t, Verify(r).Wrong)
	}
}

func TestALaterMajorIsRefusedAndALaterMinorIsRead(t *testing.T) {
	b := file(t, one, some(3), 3)
	version := func(at int, v uint16) []byte {
		later := slices.Clone(b)
		binary.LittleEndian.PutUint16(later[at:], v)
		return later
	}
	_, err := NewReader(bytes.NewReader(version(8, 2)), int64(len(b)))
	assert.ErrorContains(t, err, "the trace is of format 2.1 and this program reads 1.x: read it with a newer grebeglade")
	// A later minor adds fields and kinds of records; those that are known are read all the same.
	var raw bytes.Buffer
	w, err := NewWriter(&raw, one)
	require.NoError(t, err)
	r := placed(5, 1, 9)
	r.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 999, protowire.VarintType), 5))
	require.NoError(t, w.Append(r))
	require.NoError(t, w.Close())
	got, damaged := all(reader(t, raw.Bytes()), Span{})
	assert.Zero(t, damaged)
	assert.Equal(t, uint32(9), got[0].GetPlace().Workload.Id)
	_, err = NewReader(strings.NewReader("PK\x03\x04 something else"), 19)
	assert.ErrorIs(t, err, ErrNotTrace)
	_, err = NewReader(bytes.NewReader(nil), 0)
	assert.ErrorIs(t, err, ErrEmpty)
}

func TestARecordLargerThanABlockHasOneOfItsOwn(t *testing.T) {
	big := &Record{Revision: 2, Body: &tracepb.Record_Refused{Refused: &tracepb.Refused{Text: strings.Repeat("x", 5*blockRaw)}}}
	records := []*Record{placed(1, 1, 1), big, placed(2, 3, 2)}
	r := reader(t, file(t, one, records, 100))
	got, _ := all(r, Span{})
	same(t, records, got)
	assert.Equal(t, 3, r.Blocks())
	w, err := NewWriter(io.Discard, one)
	require.NoError(t, err)
	big.GetRefused().Text = strings.Repeat("x", mostRaw)
	assert.ErrorContains(t, w.Append(big), "over the limit")
	assert.NoError(t, w.Append(records[0]), "the next one is written all the same")
}

func TestASpanReadsItsBlocksAlone(t *testing.T) {
	records := some(100)
	r := reader(t, file(t, one, records, 10))
	got, _ := all(r, Span{FromMs: 1e12 + 355, ToMs: 1e12 + 420})
	same(t, records[36:43], got)
	var cut bytes.Buffer
	w, err := NewWriter(&cut, CopyHeader(r.Header))
	require.NoError(t, err)
	require.NoError(t, Cut(r, w, Span{FromMs: 1e12 + 990}))
	got, _ = all(reader(t, cut.Bytes()), Span{})
	same(t, records[99:], got)
	r = reader(t, file(t, one, nil, 1))
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
		r.Close()
		if len(records) > 0 && len(b) < headSize+blockSize {
			t.Error("records out of nothing")
		}
	})
}

func TestAMergeKeepsTimeAndWithinAnAllocatorItsOwnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var files [][]byte
		total := 0
		for s := range rapid.IntRange(1, 4).Draw(t, "allocators") {
			h := &tracepb.Header{Sources: []*tracepb.Source{source(fmt.Sprint("a", s), 1, float64(rapid.IntRange(0, 3).Draw(t, "wall")))}}
			at, revision := 0.0, uint64(0)
			for range rapid.IntRange(1, 3).Draw(t, "files") { // one life in several files
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

// The clock of a machine may step back between two lives of its allocator.
func TestAMergeKeepsLivesInOrderWhateverTheClockSays(t *testing.T) {
	first := file(t, &tracepb.Header{Sources: []*tracepb.Source{source("a", 1, 5e6)}}, some(3), 2)
	second := file(t, &tracepb.Header{Sources: []*tracepb.Source{source("a", 2, 1e6)}}, some(3), 2)
	merged, report := merge(t, second, first)
	got, _ := all(merged, Span{})
	var lives []uint64
	for _, r := range got {
		lives = append(lives, merged.Header.Sources[r.Source].Incarnation)
	}
	assert.Equal(t, []uint64{1, 1, 1, 2, 2, 2}, lives)
	assert.Equal(t, []string{"the clock of a stepped back by 4000.0 s or more between two starts"}, report.Clocks)
	heard := func(name string, wall float64) []byte {
		h := &Record{Revision: 1, Body: &tracepb.Record_Heard{Heard: &tracepb.Heard{Epoch: 1, Revision: 5}}}
		return file(t, &tracepb.Header{Sources: []*tracepb.Source{source(name, 1, wall)}}, []*Record{h}, 1)
	}
	_, report = merge(t, heard("a", 10e3), heard("b", 15e3), heard("c", 10.2e3))
	assert.Equal(t, []string{"b.1 hears the same news of the list 5.0 s later than a.1 (median of 1)"}, report.Clocks)
}

// secretive is a trace with an identifier in every field that can hold one, and what they are.
func secretive() (h *tracepb.Header, records []*Record, words []string, ids []uint64) {
	text := func(s string) string {
		words = append(words, s)
		return "farmer " + s + " of field 12"
	}
	id := func(v uint64) uint64 {
		ids = append(ids, v)
		return v
	}
	small := func(v uint32) uint32 { return uint32(id(uint64(v))) }
	s := &tracepb.Source{Allocator: text("Lindqvist"), Incarnation: id(0x1122334455667788), WallMs: 5}
	h = &tracepb.Header{Sources: []*tracepb.Source{s}, Tool: "grebeglade"}
	w := &tracepb.Workload{Id: small(0x71829304), Service: id(0xa1b2c3d4e5f60718), Cores: 3.3}
	records = []*Record{
		{Body: &tracepb.Record_Start{Start: &tracepb.Start{
			Source: s, Seed: id(0xfeedfacecafebeef), Groups: []string{text("Berg")}, Kinds: []string{text("Dal")},
			Zones: []string{text("Holm")}, Settings: &tracepb.Settings{Zone: 51234, Kinds: []*tracepb.Size{{Cores: 3.3}}},
		}}},
		{Body: &tracepb.Record_Place{Place: &tracepb.Place{Workload: w}}, Step: &tracepb.Step{Node: small(0x61524334)}},
		{Body: &tracepb.Record_Adopt{Adopt: &tracepb.Adopt{Workload: w, Node: small(0x61524335)}}},
		{Body: &tracepb.Record_List{List: &tracepb.List{Nodes: []*tracepb.Node{{Id: small(0x61524336), Cell: 61111, Zone: 62222}}}}},
		{Body: &tracepb.Record_Upkeep{Upkeep: &tracepb.Upkeep{}}, Chores: &tracepb.Chores{
			Moves: []uint32{small(0x61524337)}, Probes: []uint32{small(0x61524338)},
		}},
		{Body: &tracepb.Record_Asked{Asked: &tracepb.Asked{
			Workload: w.Id, Owner: text("Ek"), Ask: id(0x0102030405060709), Key: id(0x1f2e3d4c5b6a7988),
		}}},
		{Body: &tracepb.Record_Refused{Refused: &tracepb.Refused{Workload: w.Id, Node: small(0x61524339), Text: text("Sand")}}},
		{Body: &tracepb.Record_Answered{Answered: &tracepb.Answered{Workload: w.Id, Node: small(0x6152433a), Text: text("Lund")}}},
		{Body: &tracepb.Record_Heard{Heard: &tracepb.Heard{Epoch: id(0x2a3b4c5d6e7f8091), Revision: id(0x2a3b4c5d6e7f8092)}}},
		{Body: &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: 3, Why: text("Strand")}}},
	}
	for i, r := range records {
		r.Revision = uint64(i + 1)
	}
	return h, records, words, ids
}

func TestNoIdentifierIsLeftUnderPseudonyms(t *testing.T) {
	h, records, words, ids := secretive()
	a, err := NewAnonymiser([]byte("a key of sixteen bytes or more"))
	require.NoError(t, err)
	a.Coarse = true
	anonymous, err := a.Header(h)
	require.NoError(t, err)
	var out bytes.Buffer
	w, err := NewWriter(&out, anonymous)
	require.NoError(t, err)
	require.NoError(t, Anonymise(reader(t, file(t, h, records, 3)), w, a))
	r := reader(t, out.Bytes())
	got, damaged := all(r, Span{})
	assert.Zero(t, damaged)
	assert.Len(t, got, len(records))
	// Everything in the file, decompressed: header, blocks, index.
	raw := out.Bytes()[:r.blocks[0].Offset]
	for _, b := range r.blocks {
		_, block, _, err := r.readBlock(int64(b.Offset), nil)
		require.NoError(t, err)
		raw = append(slices.Clone(raw), block...)
	}
	for _, word := range words {
		assert.NotContains(t, string(raw), word)
	}
	for _, v := range ids {
		le, be := binary.LittleEndian.AppendUint64(nil, v), binary.BigEndian.AppendUint64(nil, v)
		if v <= 0xffffffff {
			le, be = le[:4], be[4:]
		}
		for _, form := range [][]byte{
			le, be, protowire.AppendVarint(nil, v), protowire.AppendVarint(nil, protowire.EncodeZigZag(int64(v))),
			fmt.Appendf(nil, "%d", v), fmt.Appendf(nil, "%x", v), fmt.Appendf(nil, "%X", v),
		} {
			assert.False(t, bytes.Contains(raw, form), "%x as %x", v, form)
		}
	}
	// The same names stay the same, in this file and in another under the same key.
	assert.Equal(t, got[1].GetPlace().Workload.Id, got[6].GetRefused().Workload)
	assert.Equal(t, 4.0, got[1].GetPlace().Workload.Cores)
	assert.True(t, r.Header.Anonymised)
	other, err := NewAnonymiser([]byte("another key of sixteen bytes"))
	require.NoError(t, err)
	assert.NotEqual(t, a.ID("node", 5, 32), other.ID("node", 5, 32))
	assert.NotEqual(t, a.Text("x"), other.Text("x"))
	_, err = NewAnonymiser([]byte("short"))
	assert.ErrorContains(t, err, "must have 16 or more")
}

func TestPseudonymsOfNumbersAreAPermutationThatSaysNothing(t *testing.T) {
	a, err := NewAnonymiser([]byte("a key of sixteen bytes or more"))
	require.NoError(t, err)
	seen := map[uint64]bool{}
	rising := 0
	for v := range uint64(1 << 16) {
		p := a.ID("cell", v, 16)
		assert.False(t, seen[p])
		seen[p] = true
		if p > a.ID("cell", v+1, 16) {
			rising++
		}
	}
	assert.Len(t, seen, 1<<16)
	assert.InDelta(t, 1<<15, rising, 1<<10, "order is by chance")
	assert.Zero(t, a.ID("cell", 0, 16))
}

// A field that somebody adds must be thought about before it is written under pseudonyms.
func TestEveryFieldHasATreatment(t *testing.T) {
	var walk func(protoreflect.MessageDescriptor, map[protoreflect.FullName]bool)
	walk = func(m protoreflect.MessageDescriptor, met map[protoreflect.FullName]bool) {
		if met[m.FullName()] {
			return
		}
		met[m.FullName()] = true
		for i := range m.Fields().Len() {
			f := m.Fields().Get(i)
			if f.Message() != nil {
				walk(f.Message(), met)
				continue
			}
			how, known := treatments[string(m.Name())+"."+string(f.Name())]
			assert.True(t, known, f.FullName())
			if f.Kind() == protoreflect.StringKind && f.Name() != "tool" && f.Name() != "state" {
				assert.Equal(t, text, how.how, f.FullName())
			}
		}
	}
	met := map[protoreflect.FullName]bool{}
	walk((&Record{}).ProtoReflect().Descriptor(), met)
	walk((&tracepb.Header{}).ProtoReflect().Descriptor(), met)
}

func record(t *testing.T, dir string, l Limits) *Recorder {
	t.Helper()
	r, err := NewRecorder(dir, source("a", 1, 1e12), l, nil)
	require.NoError(t, err)
	return r
}

// recorded is all that stands in a directory, in order.
func recorded(t *testing.T, dir string) (records []*Record, files int) {
	t.Helper()
	names, _, _ := ListFiles(dir)
	for _, name := range names {
		r, err := Open(name)
		if errors.Is(err, ErrEmpty) {
			continue
		}
		require.NoError(t, err)
		got, damaged := all(r, Span{})
		assert.Zero(t, damaged)
		records = append(records, got...)
		files++
		require.NoError(t, r.Close())
	}
	return records, files
}

func TestARecorderRotatesAndKeepsWithinItsLimit(t *testing.T) {
	dir := t.TempDir()
	r := record(t, dir, Limits{FileBytes: 1, FileAge: time.Hour, TotalBytes: 1 << 30})
	_, err := NewRecorder(dir, source("b", 1, 0), DefaultLimits, nil)
	assert.ErrorContains(t, err, "another allocator records here")
	records := some(30)
	for i := 0; i < 30; i += 10 {
		r.Put(records[i : i+10])
	}
	r.Close()
	got, files := recorded(t, dir)
	same(t, records, got)
	assert.Equal(t, 3, files)
	_, sizes, total := ListFiles(dir)
	// The next life may keep two files' worth: the oldest go.
	r, err = NewRecorder(dir, source("a", 2, 1e12), Limits{FileBytes: 1, TotalBytes: total - sizes[0] + sizes[0]/2}, nil)
	require.NoError(t, err)
	r.Put(some(10))
	r.Close()
	_, _, now := ListFiles(dir)
	assert.LessOrEqual(t, now, total)
	got, _ = recorded(t, dir)
	same(t, some(10), got[len(got)-10:])
	assert.Equal(t, uint64(21), got[0].Revision, "the oldest files are gone, the others are whole")
}

func TestWhatAKillLeavesBehindIsReadAndPassedOver(t *testing.T) {
	dir := t.TempDir()
	b := file(t, one, some(8), 4)
	h := reader(t, b).blocks[1]
	// Killed in a rotation: the old file has no index, the new one not even a header.
	require.NoError(t, os.WriteFile(filepath.Join(dir, fileName(source("a", 1, 0), 1)), b[:h.Offset+70], 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, fileName(source("a", 1, 0), 2)), nil, 0o600))
	r := record(t, dir, DefaultLimits)
	r.Put(some(2))
	r.Close()
	got, files := recorded(t, dir)
	assert.Equal(t, 2, files)
	same(t, append(some(8)[:4], some(2)...), got)
}

func TestWhatCannotBeWrittenIsCountedInItsPlace(t *testing.T) {
	dir := t.TempDir()
	r := record(t, dir, DefaultLimits)
	full := filepath.Join(dir, "readonly")
	require.NoError(t, os.WriteFile(full, nil, 0o600))
	broken := true
	r.create = func(name string) (*os.File, error) {
		if broken {
			return os.OpenFile(full, os.O_RDONLY, 0) // every write to it fails, as on a full disk
		}
		return createFile(name)
	}
	records := some(6)
	r.write(batch{records: records[:3]})
	broken, r.retryAt = false, time.Time{}
	r.write(batch{records: records[3:5]})
	r.write(batch{records: records[5:], missing: 7}) // seven had no place in the queue
	r.Close()
	got, _ := recorded(t, dir)
	require.Len(t, got, 5)
	assert.Equal(t, uint64(3), got[0].GetGap().GetMissing())
	assert.Equal(t, uint64(3), got[0].Revision)
	assert.Equal(t, uint64(7), got[3].GetGap().GetMissing())
	assert.Equal(t, "the queue was full", got[3].GetGap().GetWhy())
	same(t, records[3:5], got[1:3])
}

func TestAFullQueueNeverHoldsTheCaller(t *testing.T) {
	r := &Recorder{queue: make(chan batch, 1)}
	r.Put(some(2))
	r.Put(some(3))
	r.Put(some(4))
	assert.Equal(t, uint64(7), r.missing)
	assert.Len(t, (<-r.queue).records, 2)
	r.Put(some(1))
	assert.Equal(t, uint64(7), (<-r.queue).missing)
	assert.Zero(t, r.missing)
}

func TestASummaryCountsWhatCameOfAsks(t *testing.T) {
	start := &Record{Revision: 1, Body: &tracepb.Record_Start{Start: &tracepb.Start{Groups: []string{"serve"}}}}
	declined := &Record{AtMs: 20, Revision: 3, Step: &tracepb.Step{Kind: 3}, Body: &tracepb.Record_Next{Next: &tracepb.Next{
		Workload: 1, Kind: 1, Reason: 2,
	}}}
	answer := func(at float64, id, verdict uint32) *Record {
		return &Record{AtMs: at, Revision: 9, Body: &tracepb.Record_Answered{Answered: &tracepb.Answered{Workload: id, Verdict: verdict}}}
	}
	b := file(t, one, []*Record{
		start, placed(10, 2, 1), declined, answer(20, 1, 2), placed(30, 4, 2), answer(75, 2, 1), placed(80, 5, 3),
	}, 10)
	s, err := Summarise([]*Reader{reader(t, b)})
	require.NoError(t, err)
	require.Len(t, s.Groups, 1)
	g := s.Groups[0]
	assert.Equal(t, []int{3, 1, 1, 0, 1, 3}, []int{g.Asks, g.Placed, g.Rejected, g.Unschedulable, g.Open, g.Binds})
	assert.InDelta(t, 45, g.MedianMs, 0.1)
	assert.Equal(t, []Refusals{{7, "no memory", 1}}, s.Refusals)
	var rows bytes.Buffer
	n, err := Export([]*Reader{reader(t, b)}, &rows)
	require.NoError(t, err)
	assert.Equal(t, 4, n)
	assert.Equal(t, "PAR1", rows.String()[:4])
}
