package trace

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"grebeglade/trace/tracepb"
)

// MinKeySize is the minimum size of a key in bytes. A shorter key can be found by brute force.
const MinKeySize = 16

// Anonymiser replaces ids and texts that identify someone or something by pseudonyms. Under the same key, an id or text
// has the same pseudonym in every file. Without the key, pseudonyms can neither be reversed nor matched against guessed
// originals, and their order and size reveal nothing. An Anonymiser is for use by one goroutine.
type Anonymiser struct {
	Coarse bool // round amounts to powers of two

	key       []byte
	roundKeys map[string]*[feistelRounds]roundKey // derived from key, by domain
}

// NewAnonymiser returns an anonymiser with a key of MinKeySize bytes or more.
func NewAnonymiser(key []byte) (*Anonymiser, error) {
	if len(key) < MinKeySize {
		const fix = "such as from: head -c 32 /dev/urandom"
		return nil, fmt.Errorf("the key has %d bytes; it must have %d or more, %s", len(key), MinKeySize, fix)
	}
	return &Anonymiser{key: key, roundKeys: map[string]*[feistelRounds]roundKey{}}, nil
}

// Anonymise writes anonymised copies of a file's records, and closes the writer unless an error occurs. Blocks and
// index are rebuilt; damaged parts are omitted.
func Anonymise(reader *Reader, writer *Writer, anonymiser *Anonymiser) error {
	for record, err := range reader.Records(Span{}) {
		if errors.As(err, new(DamageError)) {
			continue // damaged parts are omitted
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
	return anonymous, a.anonymiseMessage(anonymous.ProtoReflect())
}

// Record returns an anonymised copy of a record.
func (a *Anonymiser) Record(r *Record) (*Record, error) {
	anonymous := proto.CloneOf(r)
	return anonymous, a.anonymiseMessage(anonymous.ProtoReflect())
}

// anonymiseMessage replaces the field values of a message in place, and removes unknown fields.
func (a *Anonymiser) anonymiseMessage(message protoreflect.Message) error {
	message.SetUnknown(nil)
	var firstError error
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field.Message() != nil {
			firstError = a.anonymiseNested(field, value)
		} else {
			firstError = a.anonymiseScalar(message, field, value)
		}
		return firstError == nil
	})
	return firstError
}

// anonymiseNested anonymises the message in a field, or each message if the field is a list.
func (a *Anonymiser) anonymiseNested(field protoreflect.FieldDescriptor, value protoreflect.Value) error {
	if !field.IsList() {
		return a.anonymiseMessage(value.Message())
	}
	list := value.List()
	for i := range list.Len() {
		if err := a.anonymiseMessage(list.Get(i).Message()); err != nil {
			return err
		}
	}
	return nil
}

// anonymiseScalar replaces the value of a field that is not a message, or each value if the field is a list.
func (a *Anonymiser) anonymiseScalar(
	message protoreflect.Message, field protoreflect.FieldDescriptor, value protoreflect.Value,
) error {
	name := string(message.Descriptor().Name()) + "." + string(field.Name())
	treatment, found := treatments[name]
	if !found {
		return fmt.Errorf("field %s cannot be anonymised: no treatment is defined for it", name)
	}
	if !field.IsList() {
		message.Set(field, a.anonymisedValue(treatment, field, value))
		return nil
	}
	list := value.List()
	for i := range list.Len() {
		list.Set(i, a.anonymisedValue(treatment, field, list.Get(i)))
	}
	return nil
}

// anonymisedValue returns the replacement for a value of a field.
func (a *Anonymiser) anonymisedValue(
	treatment treatment, field protoreflect.FieldDescriptor, value protoreflect.Value,
) protoreflect.Value {
	switch treatment.action {
	case keepValue:
		return value
	case replaceID:
		return a.idPseudonym(treatment.domain, field, value)
	case replaceText:
		return protoreflect.ValueOfString(a.Text(value.String()))
	case roundAmount:
		if !a.Coarse {
			return value
		}
		return protoreflect.ValueOfFloat64(roundToPowerOfTwo(value.Float()))
	case clearValue:
		return field.Default()
	}
	return value // not reached: all actions are handled above
}

// idPseudonym returns the pseudonym of an id as a value of the field's type.
func (a *Anonymiser) idPseudonym(
	domain string, field protoreflect.FieldDescriptor, value protoreflect.Value,
) protoreflect.Value {
	pseudonym := a.ID(domain, value.Uint(), idBits[domain])
	if field.Kind() == protoreflect.Uint32Kind {
		return protoreflect.ValueOfUint32(uint32(pseudonym))
	}
	return protoreflect.ValueOfUint64(pseudonym)
}

// roundToPowerOfTwo returns the power of two nearest to v on a logarithmic scale, with the sign of v. Zero, NaN and
// infinities stay unchanged.
func roundToPowerOfTwo(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return v
	}
	return math.Copysign(math.Exp2(math.Round(math.Log2(math.Abs(v)))), v)
}
