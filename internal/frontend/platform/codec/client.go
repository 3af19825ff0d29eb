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
	// maxKeyLength bounds an idempotency key, in bytes.
	maxKeyLength = 64
	// maxAmount is the largest accepted timeout in ms (one day), number of cores and amount of memory of a request.
	maxAmount = 86400e3
)

// ClientCodec encodes and decodes messages on client connections: one JSON object per line.
type ClientCodec struct{}

// line is the JSON object of a message from a client.
type line struct {
	Verb string     `json:"verb"`
	Tag  string     `json:"tag"`
	Opts rawOptions `json:"opts"`
	RC   *Cause     `json:"rc"`
	Blob *string    `json:"blob"` // the description
}

// replyLine is the JSON object of a message to a client. Its options are always empty.
type replyLine struct {
	Verb string   `json:"verb"`
	Tag  string   `json:"tag"`
	Opts struct{} `json:"opts"`
	RC   *Cause   `json:"rc,omitempty"`
	Blob *string  `json:"blob,omitempty"` // the description
}

// options are the supported options of a line, as text. An absent option is empty.
type options struct {
	class   string
	timeout string
	key     string
	retry   string
	extras  string // list in the form name:value;name:value
}

// Decode decodes the first line of b into a Message, and returns its length in bytes. n is 0 if the line is incomplete.
func (ClientCodec) Decode(b []byte) (message any, n int, err error) {
	end := bytes.IndexByte(b[:min(len(b), MaxMessageSize)], '\n')
	if end < 0 && len(b) >= MaxMessageSize {
		return nil, 0, fmt.Errorf("%w: no line end within %d bytes", ErrTooLong, MaxMessageSize)
	}
	if end < 0 {
		return nil, 0, nil
	}
	message, err = decodeLine(b[:end])
	if err != nil {
		return nil, 0, err
	}
	return message, end + 1, nil
}

// decodeLine decodes a line, given without its line end.
func decodeLine(b []byte) (Message, error) {
	if err := checkFields(b); err != nil {
		return nil, err
	}
	if err := checkText(b); err != nil {
		return nil, err
	}
	var l line
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	v, ok := verbsByName[l.Verb]
	if !ok {
		return nil, fmt.Errorf("%w: unknown verb %.40q", ErrMalformed, l.Verb)
	}
	tag, err := parseTag(l.Tag)
	if err != nil {
		return nil, err
	}
	opts, err := l.Opts.decode()
	if err != nil {
		return nil, err
	}
	return l.message(v, Header{Tag: tag}, opts), nil
}

// message converts the line to the message type of its verb.
func (l *line) message(v verb, header Header, opts options) Message {
	switch v {
	case verbStart:
		return decodeRequest(header, opts, l.Blob)
	case verbStarted:
		return &Confirmation{Header: header, Description: l.description()}
	case verbFinish:
		return &Termination{Header: header, Cause: l.cause()}
	case verbMove:
		return &Migration{header}
	case verbEcho:
		return &HealthCheck{header}
	case verbEchoed:
		return &HealthReply{Header: header, Passed: l.cause() == causePassed}
	case verbPending, verbFinished, verbNotice:
	}
	return &Ignorable{header}
}

// cause returns the line's cause, or CauseNone if it is absent.
func (l *line) cause() Cause {
	if l.RC == nil {
		return CauseNone
	}
	return *l.RC
}

// description returns the line's description, which may be absent.
func (l *line) description() Description {
	if l.Blob == nil {
		return Description{}
	}
	return NewDescription(*l.Blob)
}

// decodeOption stores the value of an option, a JSON string or number, as text. It does nothing for an absent one.
func decodeOption(name string, value json.RawMessage, text *string) error {
	if value == nil {
		return nil
	}
	var err error
	if value[0] == '"' {
		err = json.Unmarshal(value, text)
	} else {
		var number json.Number
		err = json.Unmarshal(value, &number)
		*text = number.String()
	}
	if err != nil {
		return fmt.Errorf("%w: opts.%s must be a string or a number: %w", ErrMalformed, name, err)
	}
	return nil
}

// decodeRequest returns the request, or an Invalid if a field is missing or invalid. A number out of range would
// corrupt the sums that placement decisions are based on.
func decodeRequest(header Header, opts options, description *string) Message {
	task, node, err := decodeTask(opts, description)
	if err != nil {
		return &Invalid{Header: header, Err: err}
	}
	if node != "" {
		return &AdoptRequest{
			Header: header,
			Task:   task,
			Node:   node,
		}
	}
	timeout, err := parseAmount("left", opts.timeout)
	if err != nil {
		return &Invalid{Header: header, Err: err}
	}
	return &PlaceRequest{
		Header:  header,
		Task:    task,
		Timeout: placement.Millis(timeout),
	}
}

// decodeTask returns the workload of a request. If the workload already runs, node is the name of its node; otherwise
// node is empty.
func decodeTask(opts options, description *string) (task Task, node string, err error) {
	if description == nil {
		return task, "", &FieldError{Field: "blob", Want: "the description of the workload"}
	}
	if len(opts.key) == 0 || len(opts.key) > maxKeyLength {
		return task, "", &FieldError{
			Field: "key",
			Value: opts.key,
			Want:  "of 1 to 64 bytes",
		}
	}
	task = Task{
		Class:       opts.class,
		Key:         opts.key,
		Description: *description,
		Retried:     opts.retry != "" && opts.retry != "0",
	}
	node, err = task.setExtras(opts.extras)
	return task, node, err
}

// setExtras sets the cores, memory and service from the "extras" option. If the workload already runs, node is the name
// of its node; otherwise node is empty.
func (t *Task) setExtras(extras string) (node string, err error) {
	err = forEachPair(extras, func(name, value string) (err error) {
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
			Value: extras,
			Want:  "a list with the cores and the memory",
		}
	}
	return node, err
}

// parseService parses a service number in hexadecimal digits.
func parseService(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &FieldError{
			Field: "service",
			Value: text,
			Want:  "a hexadecimal number",
		}
	}
	return n, nil
}

// parseAmount parses a number that must be above 0 and at most maxAmount. name is the field reported in the error.
func parseAmount(name, text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || n <= 0 || n > maxAmount {
		return 0, &FieldError{
			Field: name,
			Value: text,
			Want:  fmt.Sprintf("a number above 0, and at most %v", float64(maxAmount)),
		}
	}
	return n, nil
}

// Append appends the encoded line of a message, which must be a Confirmation, Termination, Migration, HealthCheck or
// HealthReply. On an error it returns b unchanged.
func (ClientCodec) Append(b []byte, message any) ([]byte, error) {
	reply, err := newReplyLine(message)
	if err != nil {
		return b, err
	}
	var text strings.Builder
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(reply); err != nil {
		return b, fmt.Errorf("encode line: %w", err)
	}
	return append(b, text.String()...), nil
}

// newReplyLine converts a message to its JSON object. It returns ErrUnsupported for types that are not sent to clients.
func newReplyLine(message any) (replyLine, error) {
	switch message := message.(type) {
	case *Confirmation:
		reply := replyTo(message.Tag, verbStarted)
		if text, present := message.Description.Text(); present {
			reply.Blob = &text
		}
		return reply, nil
	case *Termination:
		return replyWithCause(message.Tag, verbFinish, &message.Cause), nil
	case *Migration:
		return replyTo(message.Tag, verbMove), nil
	case *HealthCheck:
		cause := causeFailed
		return replyWithCause(message.Tag, verbEcho, &cause), nil
	case *HealthReply:
		cause := message.cause()
		return replyWithCause(message.Tag, verbEchoed, &cause), nil
	default:
		return replyLine{}, fmt.Errorf("%w: %T to a client", ErrUnsupported, message)
	}
}

// replyTo returns a line without a cause or description.
func replyTo(tag Tag, v verb) replyLine {
	return replyLine{Verb: verbNames[v], Tag: tag.String()}
}

// replyWithCause returns a line with a cause.
func replyWithCause(tag Tag, v verb, cause *Cause) replyLine {
	reply := replyTo(tag, v)
	reply.RC = cause
	return reply
}
