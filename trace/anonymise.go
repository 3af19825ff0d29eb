package trace

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"grebeglade/trace/tracepb"
)

// MinKeySize is how many bytes a key must have at least: a shorter one can be found by trying.
const MinKeySize = 16

// Anonymiser replaces what identifies someone or something by pseudonyms. Under one key the same name has the same
// pseudonym in every file. Without the key pseudonyms can neither be undone nor tried out, and neither their order nor
// their size says anything. An Anonymiser is for use by one goroutine.
type Anonymiser struct {
	Coarse bool // round amounts to powers of two

	key       []byte
	roundKeys map[string]*[feistelRounds]roundKey // by domain
}

// NewAnonymiser returns an anonymiser with a key of MinKeySize bytes or more.
func NewAnonymiser(key []byte) (*Anonymiser, error) {
	if len(key) < MinKeySize {
		const fix = "such as from: head -c 32 /dev/urandom"
		return nil, fmt.Errorf("the key has %d bytes; it must have %d or more, %s", len(key), MinKeySize, fix)
	}
	return &Anonymiser{key: key, roundKeys: map[string]*[feistelRounds]roundKey{}}, nil
}

// Anonymise writes an anonymised copy of a file and closes the writer. Blocks and index are built again; damaged parts
// are omitted.
func Anonymise(reader *Reader, writer *Writer, anonymiser *Anonymiser) error {
	for record, err := range reader.Records(Span{}) {
		if errors.As(err, new(DamageError)) {
			continue // what cannot be read is not copied
		}
		if err != nil {
			return err
		}
		anonymous, err := anonymiser.Record(record)
		if err != nil {
			return err
		}
		if err := writer.Append(anonymous); err != nil {
			return err
		}
	}
	return writer.Close()
}

// Header returns an anonymised copy of a header.
func (a *Anonymiser) Header(h *tracepb.Header) (*tracepb.Header, error) {
	anonymous := proto.CloneOf(h)
	anonymous.Anonymised = true
	return anonymous, a.message(anonymous.ProtoReflect())
}

// Record returns an anonymised copy of a record.
func (a *Anonymiser) Record(r *Record) (*Record, error) {
	anonymous := proto.CloneOf(r)
	return anonymous, a.message(anonymous.ProtoReflect())
}

// message replaces the fields of a message in place.
func (a *Anonymiser) message(message protoreflect.Message) error {
	message.SetUnknown(nil)
	var failed error
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field.Message() != nil {
			failed = a.nested(field, value)
		} else {
			failed = a.field(message, field, value)
		}
		return failed == nil
	})
	return failed
}

// nested replaces the fields of the message in a field, or of each message in a list of them.
func (a *Anonymiser) nested(field protoreflect.FieldDescriptor, value protoreflect.Value) error {
	if !field.IsList() {
		return a.message(value.Message())
	}
	list := value.List()
	for i := range list.Len() {
		if err := a.message(list.Get(i).Message()); err != nil {
			return err
		}
	}
	return nil
}

// field replaces the value of a field that is no message, or each value if it is a list.
func (a *Anonymiser) field(
	message protoreflect.Message, field protoreflect.FieldDescriptor, value protoreflect.Value,
) error {
	name := string(message.Descriptor().Name()) + "." + string(field.Name())
	how, known := treatments[name]
	if !known {
		return fmt.Errorf("field %s cannot be anonymised: there is no treatment for it", name)
	}
	if !field.IsList() {
		message.Set(field, a.value(how, field, value))
		return nil
	}
	list := value.List()
	for i := range list.Len() {
		list.Set(i, a.value(how, field, list.Get(i)))
	}
	return nil
}

// value returns what replaces a value of a field.
func (a *Anonymiser) value(
	how treatment, field protoreflect.FieldDescriptor, value protoreflect.Value,
) protoreflect.Value {
	switch how.action {
	case keep:
		return value
	case id:
		return a.idValue(how.domain, field, value)
	case text:
		return protoreflect.ValueOfString(a.Text(value.String()))
	case amount:
		if !a.Coarse {
			return value
		}
		return protoreflect.ValueOfFloat64(roundToPowerOfTwo(value.Float()))
	case wipe:
		return field.Default()
	}
	return value // there is no other action
}

// idValue returns the pseudonym of an id, in the type of its field.
func (a *Anonymiser) idValue(
	domain string, field protoreflect.FieldDescriptor, value protoreflect.Value,
) protoreflect.Value {
	pseudonym := a.ID(domain, value.Uint(), idBits[domain])
	if field.Kind() == protoreflect.Uint32Kind {
		return protoreflect.ValueOfUint32(uint32(pseudonym))
	}
	return protoreflect.ValueOfUint64(pseudonym)
}

// roundToPowerOfTwo returns the nearest power of two, with the sign of v.
func roundToPowerOfTwo(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return v
	}
	return math.Copysign(math.Exp2(math.Round(math.Log2(math.Abs(v)))), v)
}
