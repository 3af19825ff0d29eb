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
	// maxAmount bounds every number of a request. As a timeout in ms it is a day.
	maxAmount = 86400e3
)

// ClientCodec is the encoding for clients: one JSON object a line.
type ClientCodec struct{}

// line is a message from a client.
type line struct {
	Verb string                     `json:"verb"`
	Tag  string                     `json:"tag"`
	Opts map[string]json.RawMessage `json:"opts"` // strings or numbers
	RC   *Cause                     `json:"rc"`
	Blob *string                    `json:"blob"` // the description
}

// replyLine is a message to a client. It has no options.
type replyLine struct {
	Verb string   `json:"verb"`
	Tag  string   `json:"tag"`
	Opts struct{} `json:"opts"`
	RC   *Cause   `json:"rc,omitempty"`
	Blob *string  `json:"blob,omitempty"` // the description
}

// options are the known options of a line, as text. An absent one is empty.
type options struct {
	class   string
	timeout string
	key     string
	retry   string
	extras  string // a list of the form name:value;name:value
}

// field returns the option that has the name in the protocol, or nil for an unknown name.
func (o *options) field(name string) *string {
	switch name {
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

// Decode decodes the first line of b into a Message, and returns how many bytes it took.
func (ClientCodec) Decode(b []byte) (message any, n int, err error) {
	end := bytes.IndexByte(b[:min(len(b), MaxMessageSize)], '\n')
	if end < 0 && len(b) >= MaxMessageSize {
		return nil, 0, fmt.Errorf("%w: no line ends within %d bytes", ErrTooLong, MaxMessageSize)
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

// decodeLine decodes a line without its end.
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
	return l.message(v, Header{Tag: tag}, opts), nil
}

// message returns the line as the message that its verb names.
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

// cause returns the cause, or CauseNone if the line has none.
func (l *line) cause() Cause {
	if l.RC == nil {
		return CauseNone
	}
	return *l.RC
}

// description returns the description, which may be absent.
func (l *line) description() Description {
	if l.Blob == nil {
		return Description{}
	}
	return NewDescription(*l.Blob)
}

// decodeOptions returns the known options. Their values may be strings or numbers; others are ignored whatever they
// are.
func decodeOptions(raw map[string]json.RawMessage) (options, error) {
	var opts options
	for name, value := range raw {
		field := opts.field(name)
		if field == nil {
			continue
		}
		if err := decodeOption(name, value, field); err != nil {
			return opts, err
		}
	}
	return opts, nil
}

// decodeOption decodes a string or a number as text.
func decodeOption(name string, value json.RawMessage, text *string) error {
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

// decodeRequest checks a request. A number out of range must not reach the placement decisions: it would stay in the
// sums that they depend on.
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

// decodeTask returns the workload of a request, and the name of the node that runs it already, or "" if none does.
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

// setExtras sets the cores, the memory and the service. It returns the name of the node that runs the workload already,
// or "" if none does.
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

// parseService decodes the number of a service.
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

// parseAmount decodes a number above 0 and up to maxAmount.
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

// Append appends the line of a message to a client, which must be a Confirmation, Termination, Migration, HealthCheck
// or HealthReply. On an error it returns b as it was.
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

// newReplyLine returns the line of a message to a client.
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

// replyTo returns a line without a cause.
func replyTo(tag Tag, v verb) replyLine {
	return replyLine{Verb: verbNames[v], Tag: tag.String()}
}

// replyWithCause returns a line with a cause.
func replyWithCause(tag Tag, v verb, cause *Cause) replyLine {
	reply := replyTo(tag, v)
	reply.RC = cause
	return reply
}
