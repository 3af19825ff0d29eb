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
		return nil, fmt.Errorf("the key has %d bytes; it must have %d or more, such as from: head -c 32 /dev/urandom", len(key), MinKeySize)
	}
	return &Anonymiser{key: key, roundKeys: map[string]*[feistelRounds]roundKey{}}, nil
}

// Anonymise copies a file under pseudonyms and closes w. Blocks and index are made anew; damaged parts are left out.
func Anonymise(r *Reader, w *Writer, a *Anonymiser) error {
	for rec, err := range r.Records(Span{}) {
		if errors.As(err, new(Damage)) {
			continue // what cannot be read identifies nobody
		}
		if err != nil {
			return err
		}
		anonymous, err := a.Record(rec)
		if err != nil {
			return err
		}
		if err := w.Append(anonymous); err != nil {
			return err
		}
	}
	return w.Close()
}

// Header returns a header under pseudonyms.
func (a *Anonymiser) Header(h *tracepb.Header) (*tracepb.Header, error) {
	anonymous := proto.CloneOf(h)
	anonymous.Anonymised = true
	return anonymous, a.message(anonymous.ProtoReflect())
}

// Record returns a record under pseudonyms.
func (a *Anonymiser) Record(r *Record) (*Record, error) {
	anonymous := proto.CloneOf(r)
	return anonymous, a.message(anonymous.ProtoReflect())
}

// message replaces the fields of a message in place.
func (a *Anonymiser) message(m protoreflect.Message) error {
	m.SetUnknown(nil)
	var failed error
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if f.Message() != nil {
			failed = a.nested(f, v)
		} else {
			failed = a.field(m, f, v)
		}
		return failed == nil
	})
	return failed
}

func (a *Anonymiser) nested(f protoreflect.FieldDescriptor, v protoreflect.Value) error {
	if !f.IsList() {
		return a.message(v.Message())
	}
	list := v.List()
	for i := range list.Len() {
		if err := a.message(list.Get(i).Message()); err != nil {
			return err
		}
	}
	return nil
}

func (a *Anonymiser) field(m protoreflect.Message, f protoreflect.FieldDescriptor, v protoreflect.Value) error {
	name := string(m.Descriptor().Name()) + "." + string(f.Name())
	t, known := treatments[name]
	if !known {
		return fmt.Errorf("nothing says whether field %s names someone", name)
	}
	if !f.IsList() {
		m.Set(f, a.value(t, f, v))
		return nil
	}
	list := v.List()
	for i := range list.Len() {
		list.Set(i, a.value(t, f, list.Get(i)))
	}
	return nil
}

func (a *Anonymiser) value(t treatment, f protoreflect.FieldDescriptor, v protoreflect.Value) protoreflect.Value {
	switch t.action {
	case wipe:
		return f.Default()
	case text:
		return protoreflect.ValueOfString(a.Text(v.String()))
	case amount:
		if a.Coarse {
			return protoreflect.ValueOfFloat64(roundToPowerOfTwo(v.Float()))
		}
	case id:
		pseudonym := a.ID(t.domain, v.Uint(), idBits[t.domain])
		if f.Kind() == protoreflect.Uint32Kind {
			return protoreflect.ValueOfUint32(uint32(pseudonym))
		}
		return protoreflect.ValueOfUint64(pseudonym)
	}
	return v
}

// roundToPowerOfTwo returns the nearest power of two, with the sign of v.
func roundToPowerOfTwo(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return v
	}
	return math.Copysign(math.Exp2(math.Round(math.Log2(math.Abs(v)))), v)
}
