package codec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// ClientCodec is the form that owners speak: an object of JSON on each line.
type ClientCodec struct{}

// line is the object; values of opts are strings or numbers.
type line struct {
	Verb string                     `json:"verb"`
	Tag  string                     `json:"tag"`
	Opts map[string]json.RawMessage `json:"opts"`
	RC   *Cause                     `json:"rc,omitempty"`
	Blob *string                    `json:"blob,omitempty"`
}

func (ClientCodec) Decode(b []byte) (any, int, error) {
	end := bytes.IndexByte(b[:min(len(b), MostBytes)], '\n')
	if end < 0 && len(b) >= MostBytes {
		return nil, 0, fmt.Errorf("no line ends within %d bytes", MostBytes)
	}
	if end < 0 {
		return nil, 0, nil
	}
	m, err := readLine(b[:end])
	if err != nil {
		return nil, 0, err
	}
	return m, end + 1, nil
}

func readLine(b []byte) (*Message, error) {
	var l line
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("line: %w", err)
	}
	m := &Message{Verb: verbsByName[l.Verb], Description: l.Blob, Fields: map[Field]string{}}
	if m.Verb == 0 {
		return nil, fmt.Errorf("verb %.40q is not known", l.Verb)
	}
	var err error
	if m.Tag, err = parseTag(l.Tag); err != nil {
		return nil, err
	}
	if l.RC != nil {
		m.Cause, m.HasCause = *l.RC, true
	}
	for name, raw := range l.Opts {
		f, known := fieldsByName[name]
		if !known {
			continue
		}
		var v string
		if raw[0] == '"' {
			err = json.Unmarshal(raw, &v)
		} else {
			var n json.Number
			err = json.Unmarshal(raw, &n)
			v = n.String()
		}
		if err != nil {
			return nil, fmt.Errorf("opts.%s must be a string or a number: %w", name, err)
		}
		m.Fields[f] = v
	}
	return m, nil
}

func (ClientCodec) Append(b []byte, m any) ([]byte, error) {
	msg, ok := m.(*Message)
	if !ok {
		return b, fmt.Errorf("%T is no message to an owner", m)
	}
	l := line{Verb: msg.Verb.String(), Tag: msg.Tag.String(), Opts: map[string]json.RawMessage{}, Blob: msg.Description}
	if msg.HasCause {
		l.RC = &msg.Cause
	}
	var out strings.Builder
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(l); err != nil {
		return b, fmt.Errorf("encode line: %w", err)
	}
	return append(b, out.String()...), nil
}
