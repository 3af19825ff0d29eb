package codec

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// rawOptions are the supported options of a line as JSON, a string or a number each; nil for an absent one. Other
// options are skipped without being stored: a line may have thousands of them.
type rawOptions struct {
	class   json.RawMessage
	timeout json.RawMessage
	key     json.RawMessage
	retry   json.RawMessage
	extras  json.RawMessage
}

// field returns the option with the given protocol name, or nil if the name is not supported.
func (o *rawOptions) field(name []byte) *json.RawMessage {
	switch string(name) {
	case "class":
		return &o.class
	case "left":
		return &o.timeout
	case "key":
		return &o.key
	case "retry":
		return &o.retry
	case "extras":
		return &o.extras
	}
	return nil
}

// decode returns the values as text.
func (o *rawOptions) decode() (opts options, err error) {
	for _, option := range []struct {
		name  string
		value json.RawMessage
		text  *string
	}{
		{"class", o.class, &opts.class},
		{"left", o.timeout, &opts.timeout},
		{"key", o.key, &opts.key},
		{"retry", o.retry, &opts.retry},
		{"extras", o.extras, &opts.extras},
	} {
		if err := decodeOption(option.name, option.value, option.text); err != nil {
			return opts, err
		}
	}
	return opts, nil
}

// UnmarshalJSON implements json.Unmarshaler. Of options with the same name, the last one counts.
func (o *rawOptions) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		return nil
	}
	scanner := jsonScanner{rest: b}
	if !scanner.skipByte('{') {
		return fmt.Errorf("%w: opts must be an object", ErrMalformed)
	}
	for !scanner.skipByte('}') {
		quoted, value := scanner.nextField()
		name, err := unquote(quoted)
		if err != nil {
			return err
		}
		if field := o.field(name); field != nil {
			*field = value
		}
	}
	return nil
}

// unquote returns the text of a JSON string.
func unquote(quoted []byte) ([]byte, error) {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return bytes.Trim(quoted, `"`), nil
	}
	var text string
	if err := json.Unmarshal(quoted, &text); err != nil {
		return nil, fmt.Errorf("%w: name of an option: %w", ErrMalformed, err)
	}
	return []byte(text), nil
}

// maxFields is the maximum number of fields of a line, and of its options. The protocol defines ten.
const maxFields = 64

// checkFields returns an error if a line, or an object that is the value of one of its fields, has more than maxFields
// fields. It costs a fraction of decoding the line, which need not be valid.
func checkFields(line []byte) error {
	return forEachField(line, func(value []byte) error {
		return forEachField(value, func([]byte) error { return nil })
	})
}

// forEachField calls check with the value of each field of an object, up to the first error, which it returns. More
// than maxFields fields are an error. It does nothing for anything but an object.
func forEachField(object []byte, check func(value []byte) error) error {
	scanner := jsonScanner{rest: object}
	if len(object) == 0 || !scanner.skipByte('{') {
		return nil
	}
	for count := 0; !scanner.skipByte('}'); count++ {
		if count == maxFields {
			return fmt.Errorf("%w: more than %d fields", ErrTooLong, maxFields)
		}
		_, value := scanner.nextField()
		if err := check(value); err != nil {
			return err
		}
	}
	return nil
}

// jsonScanner divides valid JSON into values.
type jsonScanner struct{ rest []byte }

// skipByte skips white space, and the given byte if it follows. It reports whether it does, or nothing follows.
func (s *jsonScanner) skipByte(b byte) bool {
	s.rest = bytes.TrimLeft(s.rest, " \t\r\n")
	if len(s.rest) > 0 && s.rest[0] != b {
		return false
	}
	s.rest = s.rest[min(1, len(s.rest)):]
	return true
}

// nextField returns the next field of an object, and skips the comma after it.
func (s *jsonScanner) nextField() (name, value []byte) {
	name = s.next()
	s.skipByte(':')
	value = s.next()
	s.skipByte(',')
	return name, value
}

// next returns the next value, which may be an object or an array.
func (s *jsonScanner) next() []byte {
	s.rest = bytes.TrimLeft(s.rest, " \t\r\n")
	length := s.nextLength()
	value := s.rest[:length]
	s.rest = s.rest[length:]
	return value
}

// nextLength returns the length of the value at the beginning of the rest.
func (s *jsonScanner) nextLength() int {
	depth := 0
	for i := 0; i < len(s.rest); i++ {
		switch s.rest[i] {
		case '"':
			i += stringLength(s.rest[i:]) - 1
			if depth == 0 {
				return i + 1
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i // the end of the object that contains the value
			}
			depth--
			if depth == 0 {
				return i + 1
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i // the end of a number or a literal
			}
		}
	}
	return len(s.rest)
}

// stringLength returns the length of the JSON string at the beginning of b, with its quotes.
func stringLength(b []byte) int {
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(b)
}
