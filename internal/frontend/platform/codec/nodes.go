package codec

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// NodeCodec is the form that nodes speak: a length of two bytes, a type, a tag, and parameters.
type NodeCodec struct{}

const (
	lengthSize    = 2
	fixedSize     = 1 + 8 // type and tag
	parameterSize = 1 + 2 // code and length
)

func (NodeCodec) Decode(b []byte) (any, int, error) {
	if len(b) < lengthSize {
		return nil, 0, nil
	}
	n := int(binary.BigEndian.Uint16(b))
	if n < fixedSize || n > MostBytes-lengthSize {
		return nil, 0, fmt.Errorf("message of %d bytes is out of bounds", n)
	}
	// What cannot be the beginning of a message is not waited for.
	if len(b) > lengthSize && verbNames[Verb(b[lengthSize])] == "" {
		return nil, 0, fmt.Errorf("message type %d is not known", b[lengthSize])
	}
	if len(b) < lengthSize+n {
		return nil, 0, nil
	}
	m, err := readBinary(b[lengthSize : lengthSize+n])
	if err != nil {
		return nil, 0, err
	}
	return m, lengthSize + n, nil
}

func readBinary(b []byte) (*Message, error) {
	m := &Message{Verb: Verb(b[0]), Tag: Tag(binary.BigEndian.Uint64(b[1:])), Fields: map[Field]string{}}
	for rest := b[fixedSize:]; len(rest) > 0; {
		if len(rest) < parameterSize {
			return nil, fmt.Errorf("parameter cut short in message type %d", m.Verb)
		}
		code, n := Field(rest[0]), int(binary.BigEndian.Uint16(rest[1:]))
		if rest = rest[parameterSize:]; len(rest) < n {
			return nil, fmt.Errorf("parameter %d claims %d bytes of %d", code, n, len(rest))
		}
		v := string(rest[:n])
		rest = rest[n:]
		switch {
		case code == cause && n != 1:
			return nil, fmt.Errorf("cause of %d bytes", n)
		case code == cause:
			m.Cause, m.HasCause = Cause(v[0]), true
			continue
		case code == text:
			m.Description = &v
		default:
			m.Fields[code] = v
		}
		if err := readable(v); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (NodeCodec) Append(b []byte, m any) ([]byte, error) {
	msg, ok := m.(*Message)
	if !ok {
		return b, fmt.Errorf("%T is no message to a node", m)
	}
	at := len(b)
	b = append(b, 0, 0, byte(msg.Verb))
	b = binary.BigEndian.AppendUint64(b, uint64(msg.Tag))
	put := func(f Field, v string) {
		b = append(b, byte(f), byte(len(v)>>8), byte(len(v)))
		b = append(b, v...)
	}
	for _, f := range slices.Sorted(maps.Keys(msg.Fields)) {
		put(f, msg.Fields[f])
	}
	if msg.HasCause {
		put(cause, string([]byte{byte(msg.Cause)}))
	}
	if msg.Description != nil {
		put(text, *msg.Description)
	}
	n := len(b) - at - lengthSize
	if n > MostBytes-lengthSize {
		return b[:at], fmt.Errorf("message of %d bytes is over the limit of %d", n, MostBytes)
	}
	binary.BigEndian.PutUint16(b[at:], uint16(n))
	return b, nil
}

// Figures reads name:value parts separated by semicolons. Values that are no finite numbers are an error.
func Figures(s string, each func(name, value string) error) error {
	for part := range strings.SplitSeq(s, ";") {
		if part == "" {
			continue
		}
		name, value, ok := strings.Cut(part, ":")
		if !ok {
			return fmt.Errorf("%.40q is not name:value", part)
		}
		if err := each(name, value); err != nil {
			return err
		}
	}
	return nil
}

// Finite tells whether v is a number that can be reckoned with.
func Finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
