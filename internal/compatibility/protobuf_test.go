package compatibility_test

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"grebeglade/internal/storage/statepb"
	"grebeglade/internal/transport"
	"grebeglade/trace/tracepb"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "grebeglade/proto/grebeglade/v1"
)

// maxFieldNumber is greater than the number of any field.
const maxFieldNumber = protoreflect.FieldNumber(1000)

// fieldLister writes a line for each field of a message and of the messages nested in it, by its path of field numbers.
type fieldLister struct {
	text    strings.Builder
	names   bool                           // also write the names of fields and values
	reached map[protoreflect.FullName]bool // messages and enums that were listed
}

func (l *fieldLister) message(path string, m protoreflect.MessageDescriptor) {
	l.reached[m.FullName()] = true
	fields := m.Fields()
	for number := protoreflect.FieldNumber(1); number < maxFieldNumber; number++ {
		f := fields.ByNumber(number)
		if f == nil {
			continue
		}
		at := fmt.Sprintf("%s.%d", path, number)
		fmt.Fprintf(&l.text, "%s %s %s", at, f.Cardinality(), f.Kind())
		if f.HasPresence() {
			l.text.WriteString(" presence")
		}
		if f.ContainingOneof() != nil && !f.HasOptionalKeyword() {
			l.text.WriteString(" oneof")
		}
		if l.names {
			fmt.Fprintf(&l.text, " %s %s", f.Name(), f.JSONName())
		}
		l.text.WriteByte('\n')
		if f.Enum() != nil {
			l.enum(at, f.Enum())
		}
		if f.Message() != nil {
			l.message(at, f.Message())
		}
	}
}

func (l *fieldLister) enum(path string, e protoreflect.EnumDescriptor) {
	l.reached[e.FullName()] = true
	values := e.Values()
	for i := range values.Len() {
		v := values.Get(i)
		fmt.Fprintf(&l.text, "%s = %d", path, v.Number())
		if l.names {
			fmt.Fprintf(&l.text, " %s", v.Name())
		}
		l.text.WriteByte('\n')
	}
}

// unreached returns the messages and enums that were not listed.
func (l *fieldLister) unreached(
	messages protoreflect.MessageDescriptors, enums protoreflect.EnumDescriptors,
) (names []string) {
	for i := range enums.Len() {
		if name := enums.Get(i).FullName(); !l.reached[name] {
			names = append(names, string(name))
		}
	}
	for i := range messages.Len() {
		m := messages.Get(i)
		if !l.reached[m.FullName()] {
			names = append(names, string(m.FullName()))
		}
		names = append(names, l.unreached(m.Messages(), m.Enums())...)
	}
	return names
}

func TestProtobufSchemas_NumbersAndKindsAsStored(t *testing.T) {
	for _, schema := range []struct {
		file  string
		names bool // the names appear in histories and in the JSON of commands
		roots []proto.Message
	}{
		{
			file:  "schema-frames.txt",
			names: true,
			roots: []proto.Message{&pb.Frame{}},
		},
		{
			file:  "schema-trace.txt",
			roots: []proto.Message{&tracepb.Record{}, &tracepb.Header{}, &tracepb.Index{}},
		},
		{
			file:  "schema-state.txt",
			roots: []proto.Message{&statepb.Entry{}, &statepb.Snapshot{}},
		},
	} {
		t.Run(schema.file, func(t *testing.T) {
			lister := fieldLister{names: schema.names, reached: map[protoreflect.FullName]bool{}}
			for i, root := range schema.roots {
				lister.message(fmt.Sprintf("root%d", i), root.ProtoReflect().Descriptor())
			}
			compareWithStored(t, schema.file, lister.text.String())
			file := schema.roots[0].ProtoReflect().Descriptor().ParentFile()
			assert.Empty(t, lister.unreached(file.Messages(), file.Enums()), "messages and enums missing in the list")
		})
	}
}

// populator sets all fields of messages to values that depend only on the order in which fields are visited.
type populator struct{ next uint64 }

func (p *populator) message(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for number := protoreflect.FieldNumber(1); number < maxFieldNumber; number++ {
		f := fields.ByNumber(number)
		switch {
		case f == nil:
		case f.IsList():
			list := m.Mutable(f).List()
			for range 2 {
				list.Append(p.value(f, list.NewElement))
			}
		default:
			m.Set(f, p.value(f, func() protoreflect.Value { return m.NewField(f) }))
		}
	}
}

func (p *populator) value(f protoreflect.FieldDescriptor, newMessage func() protoreflect.Value) protoreflect.Value {
	p.next++
	n := p.next
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("text-%d é", n))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n) + 0.125)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(1000 + n))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(1<<40 + n)
	case protoreflect.EnumKind:
		numbers := distinctNumbers(f.Enum())
		return protoreflect.ValueOfEnum(numbers[1+int(n)%(len(numbers)-1)])
	case protoreflect.MessageKind:
		v := newMessage()
		p.message(v.Message())
		return v
	}
	panic(fmt.Sprintf("no value for a field of kind %s", f.Kind()))
}

// distinctNumbers returns the numbers of an enum without duplicates, in the order of declaration. A number has several
// names if its value was renamed.
func distinctNumbers(e protoreflect.EnumDescriptor) (numbers []protoreflect.EnumNumber) {
	values := e.Values()
	for i := range values.Len() {
		if number := values.Get(i).Number(); !slices.Contains(numbers, number) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// frames returns a frame of each kind with all fields set, ordered by field number.
func frames() (all []*pb.Frame) {
	fields := (&pb.Frame{}).ProtoReflect().Descriptor().Fields()
	for number := protoreflect.FieldNumber(1); number < maxFieldNumber; number++ {
		if f := fields.ByNumber(number); f != nil {
			frame := &pb.Frame{}
			m := frame.ProtoReflect()
			p := populator{next: uint64(number) * 100}
			m.Set(f, p.value(f, func() protoreflect.Value { return m.NewField(f) }))
			all = append(all, frame)
		}
	}
	return all
}

func TestFrames_EncodeAsStored(t *testing.T) {
	var text strings.Builder
	for _, frame := range frames() {
		encoded, err := transport.AppendFrame(nil, frame)
		require.NoError(t, err)
		fmt.Fprintf(&text, "%x\n", encoded)
	}
	compareWithStored(t, "frames.txt", text.String())
}

func TestFrames_StoredBytes_DecodeToSameMessage(t *testing.T) {
	lines := storedLines(t, "frames.txt")
	want := frames()
	require.Len(t, lines, len(want))
	for i, line := range lines {
		encoded, err := hex.DecodeString(line)
		require.NoError(t, err)
		body, rest, err := transport.SplitFrame(append(encoded, 0, 0), len(encoded))
		require.NoError(t, err)
		assert.Equal(t, []byte{0, 0}, rest)
		got, err := transport.DecodeFrame(body)
		require.NoError(t, err)
		assert.True(t, proto.Equal(want[i], got), "line %d: want %v, got %v", i+1, want[i], got)
	}
}
