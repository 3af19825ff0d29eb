package codec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"grebeglade/placement"
)

const (
	maxKeyLength = 64
	// maxAmount bounds every figure of a request. As a timeout in ms it is a day.
	maxAmount = 86400e3
)

// ClientCodec is the encoding that clients speak: one JSON object a line.
type ClientCodec struct{}

// line is a message from a client.
type line struct {
	Verb string                     `json:"verb"`
	Tag  string                     `json:"tag"`
	Opts map[string]json.RawMessage `json:"opts"` // strings or numbers
	RC   *Cause                     `json:"rc"`
	Blob *string                    `json:"blob"`
}

// replyLine is a message to a client. It has no options.
type replyLine struct {
	Verb string   `json:"verb"`
	Tag  string   `json:"tag"`
	Opts struct{} `json:"opts"`
	RC   *Cause   `json:"rc,omitempty"`
	Blob *string  `json:"blob,omitempty"`
}

// options are the options of a line that the allocator knows, as text; an absent one is empty.
type options struct{ class, left, key, retry, extras string }

// field returns the option of that name, or nil for an unknown name.
func (o *options) field(name string) *string {
	switch name {
	case "class":
		return &o.class
	case "left":
		return &o.left
	case "key":
		return &o.key
	case "retry":
		return &o.retry
	case "extras":
		return &o.extras
	}
	return nil
}

// Decode decodes the first line of b into a Message, and returns how many bytes it took.
func (ClientCodec) Decode(b []byte) (m any, n int, err error) {
	end := bytes.IndexByte(b[:min(len(b), MaxMessageSize)], '\n')
	if end < 0 && len(b) >= MaxMessageSize {
		return nil, 0, fmt.Errorf("%w: no line ends within %d bytes", ErrTooLong, MaxMessageSize)
	}
	if end < 0 {
		return nil, 0, nil
	}
	if m, err = decodeLine(b[:end]); err != nil {
		return nil, 0, err
	}
	return m, end + 1, nil
}

func decodeLine(b []byte) (Message, error) {
	var l line
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	v, known := verbsByName[l.Verb]
	if !known {
		return nil, fmt.Errorf("%w: verb %.40q is not known", ErrMalformed, l.Verb)
	}
	tag, err := parseTag(l.Tag)
	if err != nil {
		return nil, err
	}
	opts, err := decodeOptions(l.Opts)
	if err != nil {
		return nil, err
	}
	var cause Cause
	if l.RC != nil {
		cause = *l.RC
	}
	header := Header{Tag: tag}
	switch v {
	case verbStart:
		return decodeRequest(header, opts, l.Blob), nil
	case verbStarted:
		c := &Confirmation{Header: header}
		if l.Blob != nil {
			c.Description = NewDescription(*l.Blob)
		}
		return c, nil
	case verbFinish:
		return &Termination{Header: header, Cause: cause}, nil
	case verbMove:
		return &Migration{header}, nil
	case verbEcho:
		return &HealthCheck{header}, nil
	case verbEchoed:
		return &HealthReply{Header: header, Passed: cause == causePassed}, nil
	}
	return &Ignorable{header}, nil
}

func decodeOptions(raw map[string]json.RawMessage) (options, error) {
	var o options
	for name, value := range raw {
		field := o.field(name)
		if field == nil {
			continue
		}
		var err error
		if value[0] == '"' {
			err = json.Unmarshal(value, field)
		} else {
			var n json.Number
			err = json.Unmarshal(value, &n)
			*field = n.String()
		}
		if err != nil {
			return o, fmt.Errorf("%w: opts.%s must be a string or a number: %w", ErrMalformed, name, err)
		}
	}
	return o, nil
}

// decodeRequest checks a request. A figure out of range must not reach the placement decisions: it would stay in their
// sums.
func decodeRequest(h Header, o options, description *string) Message {
	task, node, err := decodeTask(o, description)
	if err != nil {
		return &Invalid{Header: h, Err: err}
	}
	if node != "" {
		return &AdoptRequest{
			Header: h,
			Task:   task,
			Node:   node,
		}
	}
	timeout, err := parseAmount("left", o.left)
	if err != nil {
		return &Invalid{Header: h, Err: err}
	}
	return &PlaceRequest{
		Header:  h,
		Task:    task,
		Timeout: placement.Millis(timeout),
	}
}

// decodeTask returns the workload of a request and, if a node runs it already, the node's name.
func decodeTask(o options, description *string) (t Task, node string, err error) {
	if description == nil {
		return t, "", &FieldError{Field: "blob", Want: "the description of the workload"}
	}
	if len(o.key) == 0 || len(o.key) > maxKeyLength {
		return t, "", &FieldError{
			Field: "key",
			Value: o.key,
			Want:  "of 1 to 64 bytes",
		}
	}
	t = Task{
		Class:       o.class,
		Key:         o.key,
		Description: *description,
		Retried:     o.retry != "" && o.retry != "0",
	}
	err = forEachPair(o.extras, func(name, value string) (err error) {
		switch name {
		case "cores":
			t.Cores, err = parseAmount(name, value)
		case "memory":
			t.Memory, err = parseAmount(name, value)
		case "service":
			t.Service, err = parseService(value)
		case "at":
			node = value
		}
		return err
	})
	if err == nil && (t.Cores == 0 || t.Memory == 0) {
		err = &FieldError{
			Field: "extras",
			Value: o.extras,
			Want:  "a list with the cores and the memory",
		}
	}
	return t, node, err
}

func parseService(v string) (uint64, error) {
	n, err := strconv.ParseUint(v, 16, 64)
	if err != nil {
		return 0, &FieldError{
			Field: "service",
			Value: v,
			Want:  "a hexadecimal number",
		}
	}
	return n, nil
}

func parseAmount(name, v string) (float64, error) {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || n <= 0 || n > maxAmount {
		return 0, &FieldError{
			Field: name,
			Value: v,
			Want:  fmt.Sprintf("a number above 0, and at most %v", float64(maxAmount)),
		}
	}
	return n, nil
}

// Append appends the line of a message to a client, which must be a Confirmation, Termination, Migration, HealthCheck
// or HealthReply.
func (ClientCodec) Append(b []byte, m any) ([]byte, error) {
	var l replyLine
	var v verb
	switch m := m.(type) {
	case *Confirmation:
		v = verbStarted
		if text, present := m.Description.Text(); present {
			l.Blob = &text
		}
	case *Termination:
		v = verbFinish
		l.RC = &m.Cause
	case *Migration:
		v = verbMove
	case *HealthCheck:
		cause := causeFailed
		v = verbEcho
		l.RC = &cause
	case *HealthReply:
		cause := m.cause()
		v = verbEchoed
		l.RC = &cause
	default:
		return b, fmt.Errorf("%w: %T to a client", ErrUnsupported, m)
	}
	l.Verb = verbNames[v]
	l.Tag = m.(Message).Envelope().Tag.String()
	var out strings.Builder
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(l); err != nil {
		return b, fmt.Errorf("encode line: %w", err)
	}
	return append(b, out.String()...), nil
}
