package codec

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"

	"grebeglade/internal/settings"
	"grebeglade/placement"
)

// NodeCodec encodes and decodes messages on node connections: a length of two bytes, a type, a tag, and parameters.
type NodeCodec struct{}

const (
	lengthSize          = 2     // bytes of the length field, which it does not count
	fixedSize           = 1 + 8 // bytes of type and tag
	parameterHeaderSize = 1 + 2 // bytes of code and length
)

// paramCode is the code of a message parameter.
type paramCode uint8

// Codes of parameters. The value of paramCause is one byte; all other values are UTF-8 text.
const (
	paramClass       paramCode = 16
	paramTimeout     paramCode = 18 // whole ms
	paramKey         paramCode = 24
	paramDetail      paramCode = 30 // kind of a measurement, or reason of a termination
	paramReport      paramCode = 34 // load report, in the form name:value;name:value
	paramValue       paramCode = 40 // value of a measurement
	paramCause       paramCode = 44
	paramDescription paramCode = 46
)

// usageKinds maps the protocol's names of the supported measurements to their kinds. Nodes may send others.
var usageKinds = map[string]placement.UsageKind{
	"up":  placement.Running,
	"cpu": placement.CoresUsed,
}

// reasons maps the protocol's names of termination reasons to reasons. Any other name is ReasonUnspecified.
var reasons = map[string]placement.Reason{
	"cpu_full":   placement.InsufficientCores,
	"mem_full":   placement.InsufficientMemory,
	"busy":       placement.QueueFull,
	"wrong_host": placement.WrongNode,
	"oom":        placement.Evicted,
	"preempted":  placement.Preempted,
	"drained":    placement.Drained,
}

// parameters are the supported parameters of a message. An absent text is empty.
type parameters struct {
	class       string
	timeout     string
	key         string
	detail      string // see paramDetail
	value       string
	report      string
	hasReport   bool
	cause       Cause
	description Description
}

// Decode decodes the first message of b into a Message, and returns its length in bytes. n is 0 if the message is
// incomplete.
func (NodeCodec) Decode(b []byte) (m any, n int, err error) {
	if len(b) < lengthSize {
		return nil, 0, nil
	}
	size := int(binary.BigEndian.Uint16(b))
	if size < fixedSize || size > MaxMessageSize-lengthSize {
		return nil, 0, fmt.Errorf("%w: message length %d is out of bounds", ErrMalformed, size)
	}
	// An unknown type is reported before the rest of the message is received.
	if len(b) > lengthSize && verbNames[verb(b[lengthSize])] == "" {
		return nil, 0, fmt.Errorf("%w: unknown message type %d", ErrMalformed, b[lengthSize])
	}
	if len(b) < lengthSize+size {
		return nil, 0, nil
	}
	if m, err = decodeBinary(b[lengthSize : lengthSize+size]); err != nil {
		return nil, 0, err
	}
	return m, lengthSize + size, nil
}

// decodeBinary decodes a message, given without its length field. A message with an invalid load report is framed
// correctly, so it is decoded into an Invalid rather than an error.
func decodeBinary(b []byte) (Message, error) {
	params, err := decodeParameters(b[fixedSize:])
	if err != nil {
		return nil, err
	}
	header := Header{Tag: Tag(binary.BigEndian.Uint64(b[1:]))}
	if params.hasReport {
		load, reportErr := decodeReport(params.report)
		if reportErr != nil {
			return &Invalid{Header: header, Err: reportErr}, nil
		}
		header.Load = load
	}
	return params.message(verb(b[0]), header), nil
}

// message converts the parameters to the message type of the verb.
func (p *parameters) message(v verb, header Header) Message {
	switch v {
	case verbStart:
		return p.offer(header)
	case verbStarted:
		return &Confirmation{Header: header, Description: p.description}
	case verbFinish:
		return &Termination{
			Header: header,
			Cause:  p.cause,
			Reason: reasons[p.detail],
		}
	case verbNotice:
		return p.usageReport(header)
	case verbMove:
		return &Migration{header}
	case verbEcho:
		return &HealthCheck{header}
	case verbEchoed:
		return &HealthReply{Header: header, Passed: p.cause == causePassed}
	case verbPending, verbFinished:
	}
	return &Ignorable{header}
}

// decodeParameters decodes the parameters of a message. If a code occurs twice, the last value is used.
func decodeParameters(rest []byte) (params parameters, err error) {
	for len(rest) > 0 {
		if len(rest) < parameterHeaderSize {
			return params, fmt.Errorf("%w: truncated parameter header", ErrMalformed)
		}
		code := paramCode(rest[0])
		size := int(binary.BigEndian.Uint16(rest[1:]))
		rest = rest[parameterHeaderSize:]
		if len(rest) < size {
			return params, fmt.Errorf("%w: parameter %d is %d bytes long, but %d are left",
				ErrMalformed, code, size, len(rest))
		}
		if err := params.set(code, rest[:size]); err != nil {
			return params, err
		}
		rest = rest[size:]
	}
	return params, nil
}

// set sets one parameter. The value of an unsupported one is checked to be UTF-8 and ignored.
func (p *parameters) set(code paramCode, value []byte) error {
	if code == paramCause {
		return p.setCause(value)
	}
	text := string(value)
	switch code {
	case paramClass:
		p.class = text
	case paramTimeout:
		p.timeout = text
	case paramKey:
		p.key = text
	case paramDetail:
		p.detail = text
	case paramReport:
		p.report = text
		p.hasReport = true
	case paramValue:
		p.value = text
	case paramDescription:
		p.description = NewDescription(text)
	case paramCause: // set by setCause above
	}
	return checkUTF8(text)
}

// setCause sets the cause from its value, which must be one byte.
func (p *parameters) setCause(value []byte) error {
	if len(value) != 1 {
		return fmt.Errorf("%w: cause is %d bytes long, must be 1", ErrMalformed, len(value))
	}
	p.cause = Cause(value[0])
	return nil
}

// offer returns an Offer, or an Ignorable if it is invalid: only nodes receive offers, and an allocator ignores them.
func (p *parameters) offer(h Header) Message {
	timeout, err := strconv.Atoi(p.timeout)
	description, present := p.description.Text()
	if err != nil || !present {
		return &Ignorable{h}
	}
	return &Offer{
		Header:      h,
		Class:       p.class,
		Key:         p.key,
		Timeout:     placement.Millis(timeout),
		Description: description,
	}
}

// usageReport returns a UsageReport, or an Ignorable if its kind is not supported or its value is not a number. Reports
// of kind placement.Running need no value.
func (p *parameters) usageReport(h Header) Message {
	kind, ok := usageKinds[p.detail]
	value, err := strconv.ParseFloat(p.value, 64)
	if !ok || err != nil && kind != placement.Running {
		return &Ignorable{h}
	}
	return &UsageReport{
		Header: h,
		Kind:   kind,
		Value:  value,
	}
}

// decodeReport decodes a load report. A value that is not a number is an error; an infinite or NaN value is treated as
// absent.
func decodeReport(text string) (*placement.LoadReport, error) {
	load := settings.UnknownLoad()
	err := forEachPair(text, func(name, value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return &FieldError{
				Field: name,
				Value: value,
				Want:  "a number",
			}
		}
		if !math.IsNaN(n) && !math.IsInf(n, 0) {
			settings.SetLoadField(load, name, n)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return load, nil
}

// Append appends the encoding of a message, which must be an Offer, Confirmation, Termination, HealthCheck or
// HealthReply. On an error it returns b unchanged.
func (NodeCodec) Append(b []byte, message any) ([]byte, error) {
	start := len(b)
	b, err := appendBinary(b, message)
	if err != nil {
		return b, err
	}
	size := len(b) - start - lengthSize
	if size > MaxMessageSize-lengthSize {
		return b[:start], fmt.Errorf("%w: %d bytes, at most %d allowed", ErrTooLong, size+lengthSize, MaxMessageSize)
	}
	binary.BigEndian.PutUint16(b[start:], uint16(size))
	return b, nil
}

// appendBinary appends the encoding of a message with a length field of 0, which the caller sets.
func appendBinary(b []byte, message any) ([]byte, error) {
	switch message := message.(type) {
	case *Offer:
		b = appendHeader(b, verbStart, message.Tag)
		b = appendText(b, paramClass, message.Class)
		b = appendText(b, paramTimeout, strconv.Itoa(int(message.Timeout)))
		b = appendText(b, paramKey, message.Key)
		b = appendText(b, paramDescription, message.Description)
	case *Confirmation:
		b = appendHeader(b, verbStarted, message.Tag)
		if text, present := message.Description.Text(); present {
			b = appendText(b, paramDescription, text)
		}
	case *Termination:
		b = appendCause(appendHeader(b, verbFinish, message.Tag), message.Cause)
	case *HealthCheck:
		b = appendCause(appendHeader(b, verbEcho, message.Tag), causeFailed)
	case *HealthReply:
		b = appendCause(appendHeader(b, verbEchoed, message.Tag), message.cause())
	default:
		return b, fmt.Errorf("%w: %T to a node", ErrUnsupported, message)
	}
	return b, nil
}

// appendHeader appends the length field of a message, set to 0, its type and its tag.
func appendHeader(b []byte, v verb, tag Tag) []byte {
	b = append(b, 0, 0, byte(v))
	return binary.BigEndian.AppendUint64(b, uint64(tag))
}

// appendText appends a parameter with a text value.
func appendText(b []byte, code paramCode, value string) []byte {
	b = append(b, byte(code))
	b = binary.BigEndian.AppendUint16(b, uint16(len(value)))
	return append(b, value...)
}

// appendCause appends a paramCause parameter.
func appendCause(b []byte, cause Cause) []byte {
	return append(b, byte(paramCause), 0, 1, byte(cause))
}
