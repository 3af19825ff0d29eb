package trace

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"grebeglade/trace/tracepb"
)

// testKey is a key of at least MinKeySize bytes.
var testKey = []byte("a key of sixteen bytes or more")

func newAnonymiser(t *testing.T, key []byte) *Anonymiser {
	t.Helper()
	anonymiser, err := NewAnonymiser(key)
	require.NoError(t, err)
	return anonymiser
}

// identifiers collects the identifiers put into a trace.
type identifiers struct {
	words []string
	ids   []uint64
}

// text returns a text that contains an identifying word, and collects the word.
func (i *identifiers) text(word string) string {
	i.words = append(i.words, word)
	return "farmer " + word + " of field 12"
}

func (i *identifiers) id(number uint64) uint64 {
	i.ids = append(i.ids, number)
	return number
}

func (i *identifiers) id32(number uint32) uint32 { return uint32(i.id(uint64(number))) }

// traceWithIdentifiers returns a trace with an identifier in every field that can hold one, and the identifiers.
func traceWithIdentifiers() (*tracepb.Header, []*Record, *identifiers) {
	inserted := &identifiers{}
	source := &tracepb.Source{
		Allocator:   inserted.text("Lindqvist"),
		Incarnation: inserted.id(0x1122334455667788),
		WallMs:      5,
	}
	workload := &tracepb.Workload{
		Id:      inserted.id32(0x71829304),
		Service: inserted.id(0xa1b2c3d4e5f60718),
		Cores:   3.3,
	}
	records := append(callsWithIdentifiers(inserted, source, workload), eventsWithIdentifiers(inserted, workload)...)
	for i, record := range records {
		record.Revision = uint64(i + 1)
	}
	return &tracepb.Header{Sources: []*tracepb.Source{source}, Tool: "grebeglade"}, records, inserted
}

// callsWithIdentifiers returns the Start record of a source, and calls to its placement module with their results.
func callsWithIdentifiers(inserted *identifiers, source *tracepb.Source, workload *tracepb.Workload) []*Record {
	start := &tracepb.Start{
		Source:   source,
		Seed:     inserted.id(0xfeedfacecafebeef),
		Groups:   []string{inserted.text("Berg")},
		Kinds:    []string{inserted.text("Dal")},
		Zones:    []string{inserted.text("Holm")},
		Settings: &tracepb.Settings{Zone: 51234, NodeKinds: []*tracepb.NodeKind{{Cores: 3.3}}},
	}
	step := &tracepb.Step{Node: inserted.id32(0x61524334)}
	adopted := &tracepb.Adopt{Workload: workload, Node: inserted.id32(0x61524335)}
	node := &tracepb.Node{
		Id:   inserted.id32(0x61524336),
		Cell: 61111,
		Zone: 62222,
	}
	maintenance := &tracepb.Maintenance{
		Migrations:   []uint32{inserted.id32(0x61524337)},
		HealthChecks: []uint32{inserted.id32(0x61524338)},
	}
	updated := &tracepb.NodesUpdated{Nodes: []*tracepb.Node{node}}
	return []*Record{
		{Body: &tracepb.Record_Start{Start: start}},
		{Body: &tracepb.Record_Schedule{Schedule: &tracepb.Schedule{Workload: workload}}, Step: step},
		{Body: &tracepb.Record_Adopt{Adopt: adopted}},
		{Body: &tracepb.Record_NodesUpdated{NodesUpdated: updated}},
		{Body: &tracepb.Record_Maintain{Maintain: &tracepb.Maintain{}}, Maintenance: maintenance},
	}
}

// eventsWithIdentifiers returns records that are not calls to the placement module.
func eventsWithIdentifiers(inserted *identifiers, workload *tracepb.Workload) []*Record {
	received := &tracepb.RequestReceived{
		Workload:  workload.Id,
		Client:    inserted.text("Ek"),
		RequestId: inserted.id(0x0102030405060709),
		Key:       inserted.id(0x1f2e3d4c5b6a7988),
	}
	rejected := &tracepb.OfferRejected{
		Workload: workload.Id,
		Node:     inserted.id32(0x61524339),
		Text:     inserted.text("Sand"),
	}
	answered := &tracepb.RequestAnswered{
		Workload: workload.Id,
		Node:     inserted.id32(0x6152433a),
		Text:     inserted.text("Lund"),
	}
	updated := &tracepb.DiscoveryUpdated{
		Epoch:    inserted.id(0x2a3b4c5d6e7f8091),
		Revision: inserted.id(0x2a3b4c5d6e7f8092),
	}
	return []*Record{
		{Body: &tracepb.Record_RequestReceived{RequestReceived: received}},
		{Body: &tracepb.Record_OfferRejected{OfferRejected: rejected}},
		{Body: &tracepb.Record_RequestAnswered{RequestAnswered: answered}},
		{Body: &tracepb.Record_DiscoveryUpdated{DiscoveryUpdated: updated}},
		{Body: &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: 3, Reason: inserted.text("Strand")}}},
	}
}

// anonymise returns a reader of an anonymised copy with rounded amounts, and the encoded copy.
func anonymise(t *testing.T, header *tracepb.Header, records []*Record) (*Reader, []byte) {
	t.Helper()
	anonymiser := newAnonymiser(t, testKey)
	anonymiser.Coarse = true
	anonymous, err := anonymiser.Header(header)
	require.NoError(t, err)
	var out bytes.Buffer
	writer, err := NewWriter(&out, anonymous)
	require.NoError(t, err)
	original := newReader(t, encodeFile(t, header, records, 3))
	require.NoError(t, Anonymise(original, writer, anonymiser))
	return newReader(t, out.Bytes()), out.Bytes()
}

// decompressed returns the header and the decompressed records of a file.
func decompressed(t *testing.T, reader *Reader, encoded []byte) []byte {
	t.Helper()
	raw := slices.Clone(encoded[:reader.blocks[0].Offset])
	for _, block := range reader.blocks {
		_, records, err := reader.readBlock(int64(block.Offset), nil)
		require.NoError(t, err)
		raw = append(raw, records...)
	}
	return raw
}

// encodings returns the encodings in which a number could occur in a file.
func encodings(number uint64) [][]byte {
	littleEndian := binary.LittleEndian.AppendUint64(nil, number)
	bigEndian := binary.BigEndian.AppendUint64(nil, number)
	if number <= math.MaxUint32 {
		littleEndian = littleEndian[:4]
		bigEndian = bigEndian[4:]
	}
	return [][]byte{
		littleEndian,
		bigEndian,
		protowire.AppendVarint(nil, number),
		protowire.AppendVarint(nil, protowire.EncodeZigZag(int64(number))),
		fmt.Appendf(nil, "%d", number),
		fmt.Appendf(nil, "%x", number),
		fmt.Appendf(nil, "%X", number),
	}
}

func TestAnonymise_RemovesAllIdentifiers(t *testing.T) {
	header, records, inserted := traceWithIdentifiers()
	reader, encoded := anonymise(t, header, records)
	got, damaged := readAll(reader, Span{})
	assert.Zero(t, damaged)
	assert.Len(t, got, len(records))
	raw := decompressed(t, reader, encoded)
	for _, word := range inserted.words {
		assert.NotContains(t, string(raw), word)
	}
	for _, id := range inserted.ids {
		for _, form := range encodings(id) {
			assert.False(t, bytes.Contains(raw, form), "%x as %x", id, form)
		}
	}
	scheduled := got[1].GetSchedule().Workload
	assert.Equal(t, scheduled.Id, got[6].GetOfferRejected().Workload, "an id has the same pseudonym in every field")
	assert.InDelta(t, 4, scheduled.Cores, 0, "3.3 rounded to a power of two")
	assert.True(t, reader.Header.Anonymised)
}

func TestAnonymiser_PseudonymsDependOnKey(t *testing.T) {
	a := newAnonymiser(t, testKey)
	other := newAnonymiser(t, []byte("another key of sixteen bytes"))
	assert.NotEqual(t, a.ID("node", 5, 32), other.ID("node", 5, 32))
	assert.NotEqual(t, a.Text("x"), other.Text("x"))
}

// Guards against changes to the computation of pseudonyms: traces anonymised by different versions under the same key
// must have the same pseudonyms.
func TestAnonymiser_PseudonymsDoNotChange(t *testing.T) {
	a := newAnonymiser(t, testKey)
	assert.Equal(t, uint64(300663936), a.ID("node", 5, 32))
	assert.Equal(t, uint64(12778), a.ID("cell", 7, 16))
	assert.Equal(t, uint64(9728660386877707078), a.ID("service", 1<<40, 64))
	assert.Equal(t, "pUCZCF3OATM4WPUQK", a.Text("x"))
}

func TestNewAnonymiser_ShortKeyIsAnError(t *testing.T) {
	_, err := NewAnonymiser([]byte("short"))
	require.ErrorContains(t, err, "must have 16 or more")
}

func TestAnonymiserID_IsUnorderedPermutation(t *testing.T) {
	const (
		domain  = "cell"
		bits    = 16
		numbers = 1 << bits
	)
	anonymiser := newAnonymiser(t, testKey)
	seen := map[uint64]bool{}
	descending := 0
	for number := range uint64(numbers) {
		pseudonym := anonymiser.ID(domain, number, bits)
		assert.False(t, seen[pseudonym])
		seen[pseudonym] = true
		if pseudonym > anonymiser.ID(domain, number+1, bits) {
			descending++
		}
	}
	assert.Len(t, seen, numbers)
	assert.InDelta(t, numbers/2, descending, 1<<10, "about half of the neighbours are in descending order")
	assert.Zero(t, anonymiser.ID(domain, 0, bits))
}

// Guards against a field that is added to the format without a treatment: anonymising its records would fail.
func TestTreatments_CoverEveryField(t *testing.T) {
	checked := map[protoreflect.FullName]bool{}
	checkTreatments(t, (&Record{}).ProtoReflect().Descriptor(), checked)
	checkTreatments(t, (&tracepb.Header{}).ProtoReflect().Descriptor(), checked)
}

// checkTreatments checks that each field of a message and of its nested messages has a treatment.
func checkTreatments(
	t *testing.T, message protoreflect.MessageDescriptor, checked map[protoreflect.FullName]bool,
) {
	t.Helper()
	if checked[message.FullName()] {
		return
	}
	checked[message.FullName()] = true
	for i := range message.Fields().Len() {
		field := message.Fields().Get(i)
		if field.Message() != nil {
			checkTreatments(t, field.Message(), checked)
			continue
		}
		treatment, found := treatments[string(message.Name())+"."+string(field.Name())]
		assert.True(t, found, field.FullName())
		if field.Kind() == protoreflect.StringKind && field.Name() != "tool" && field.Name() != "state" {
			assert.Equal(t, replaceText, treatment.action, field.FullName())
		}
	}
}
