package trace

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"grebeglade/trace/tracepb"
)

// identifying returns a trace with an identifier in every field that can hold one, and the identifiers.
func identifying() (h *tracepb.Header, records []*Record, words []string, ids []uint64) {
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
			Zones: []string{text("Holm")}, Settings: &tracepb.Settings{Zone: 51234, NodeKinds: []*tracepb.NodeKind{{Cores: 3.3}}},
		}}},
		{Body: &tracepb.Record_Schedule{Schedule: &tracepb.Schedule{Workload: w}}, Step: &tracepb.Step{Node: small(0x61524334)}},
		{Body: &tracepb.Record_Adopt{Adopt: &tracepb.Adopt{Workload: w, Node: small(0x61524335)}}},
		{Body: &tracepb.Record_NodesUpdated{NodesUpdated: &tracepb.NodesUpdated{Nodes: []*tracepb.Node{{Id: small(0x61524336), Cell: 61111, Zone: 62222}}}}},
		{Body: &tracepb.Record_Maintain{Maintain: &tracepb.Maintain{}}, Maintenance: &tracepb.Maintenance{
			Migrations: []uint32{small(0x61524337)}, HealthChecks: []uint32{small(0x61524338)},
		}},
		{Body: &tracepb.Record_RequestReceived{RequestReceived: &tracepb.RequestReceived{
			Workload: w.Id, Client: text("Ek"), RequestId: id(0x0102030405060709), Key: id(0x1f2e3d4c5b6a7988),
		}}},
		{Body: &tracepb.Record_OfferRejected{OfferRejected: &tracepb.OfferRejected{Workload: w.Id, Node: small(0x61524339), Text: text("Sand")}}},
		{Body: &tracepb.Record_RequestAnswered{RequestAnswered: &tracepb.RequestAnswered{Workload: w.Id, Node: small(0x6152433a), Text: text("Lund")}}},
		{Body: &tracepb.Record_DiscoveryUpdated{DiscoveryUpdated: &tracepb.DiscoveryUpdated{Epoch: id(0x2a3b4c5d6e7f8091), Revision: id(0x2a3b4c5d6e7f8092)}}},
		{Body: &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: 3, Reason: text("Strand")}}},
	}
	for i, r := range records {
		r.Revision = uint64(i + 1)
	}
	return h, records, words, ids
}

func TestAnonymise_LeavesNoIdentifier(t *testing.T) {
	h, records, words, ids := identifying()
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
		_, block, err := r.readBlock(int64(b.Offset), nil)
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
	assert.Equal(t, got[1].GetSchedule().Workload.Id, got[6].GetOfferRejected().Workload, "the same name has the same pseudonym")
	assert.InDelta(t, 4, got[1].GetSchedule().Workload.Cores, 0, "rounded")
	assert.True(t, r.Header.Anonymised)
}

func TestAnonymiser_PseudonymsDependOnTheKey(t *testing.T) {
	a, err := NewAnonymiser([]byte("a key of sixteen bytes or more"))
	require.NoError(t, err)
	other, err := NewAnonymiser([]byte("another key of sixteen bytes"))
	require.NoError(t, err)
	assert.NotEqual(t, a.ID("node", 5, 32), other.ID("node", 5, 32))
	assert.NotEqual(t, a.Text("x"), other.Text("x"))
}

// Traces that were anonymised earlier must fit those of today under the same key.
func TestAnonymiser_PseudonymsStayTheSame(t *testing.T) {
	a, err := NewAnonymiser([]byte("a key of sixteen bytes or more"))
	require.NoError(t, err)
	assert.Equal(t, uint64(300663936), a.ID("node", 5, 32))
	assert.Equal(t, uint64(12778), a.ID("cell", 7, 16))
	assert.Equal(t, uint64(9728660386877707078), a.ID("service", 1<<40, 64))
	assert.Equal(t, "pUCZCF3OATM4WPUQK", a.Text("x"))
}

func TestNewAnonymiser_ShortKeyIsAnError(t *testing.T) {
	_, err := NewAnonymiser([]byte("short"))
	require.ErrorContains(t, err, "must have 16 or more")
}

func TestAnonymiserID_IsPermutationWithoutOrder(t *testing.T) {
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

// What becomes of a new field under pseudonyms must be decided on before it is written.
func TestTreatments_CoverEveryField(t *testing.T) {
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
			treatment, known := treatments[string(m.Name())+"."+string(f.Name())]
			assert.True(t, known, f.FullName())
			if f.Kind() == protoreflect.StringKind && f.Name() != "tool" && f.Name() != "state" {
				assert.Equal(t, text, treatment.action, f.FullName())
			}
		}
	}
	met := map[protoreflect.FullName]bool{}
	walk((&Record{}).ProtoReflect().Descriptor(), met)
	walk((&tracepb.Header{}).ProtoReflect().Descriptor(), met)
}
