package codec

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"

	"grebeglade/internal/settings"
	"grebeglade/placement"
)

// NodeCodec is the encoding that nodes speak: a length of two bytes, a type, a tag, and parameters.
type NodeCodec struct{}

const (
	lengthSize          = 2
	fixedSize           = 1 + 8 // type and tag
	parameterHeaderSize = 1 + 2 // code and length
)

// paramCode says what a parameter of a message is.
type paramCode uint8

// The codes of parameters. The value of a cause is one byte, all other values are text.
const (
	paramClass       paramCode = 16
	paramTimeout     paramCode = 18 // in ms
	paramKey         paramCode = 24
	paramNote        paramCode = 30 // the kind of a measurement, or the reason of a termination
	paramReport      paramCode = 34
	paramFigure      paramCode = 40 // the value of a measurement
	paramCause       paramCode = 44
	paramDescription paramCode = 46
)

// noteKinds are the measurements that the engine uses; a node may send others.
var noteKinds = map[string]placement.UsageKind{
	"up":  placement.Running,
	"cpu": placement.CoresUsed,
}

// reasons are the reasons that a node may state in a termination; others are ReasonUnspecified.
var reasons = map[string]placement.Reason{
	"cpu_full":   placement.InsufficientCores,
	"mem_full":   placement.InsufficientMemory,
	"busy":       placement.QueueFull,
	"wrong_host": placement.WrongNode,
	"oom":        placement.Evicted,
	"preempted":  placement.Preempted,
	"drained":    placement.Drained,
}

// parameters are the known parameters of a message. A text that is absent is empty.
type parameters struct {
	class       string
	timeout     string
	key         string
	note        string // as paramNote says, of a measurement or a termination
	figure      string
	report      string
	hasReport   bool
	cause       Cause
	description Description
}

// Decode decodes the first message of b into a Message, and returns how many bytes it took.
func (NodeCodec) Decode(b []byte) (m any, n int, err error) {
	if len(b) < lengthSize {
		return nil, 0, nil
	}
	size := int(binary.BigEndian.Uint16(b))
	if size < fixedSize || size > MaxMessageSize-lengthSize {
		return nil, 0, fmt.Errorf("%w: a length of %d bytes is out of bounds", ErrMalformed, size)
	}
	// An unknown type is an error at once, without waiting for the rest of the message.
	if len(b) > lengthSize && verbNames[verb(b[lengthSize])] == "" {
		return nil, 0, fmt.Errorf("%w: type %d is not known", ErrMalformed, b[lengthSize])
	}
	if len(b) < lengthSize+size {
		return nil, 0, nil
	}
	if m, err = decodeBinary(b[lengthSize : lengthSize+size]); err != nil {
		return nil, 0, err
	}
	return m, lengthSize + size, nil
}

// decodeBinary decodes a message without its length. An invalid load report makes it an Invalid and not an error, since
// the message is framed correctly.
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

// message returns the message of that type with the parameters.
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
			Reason: reasons[p.note],
		}
	case verbNotice:
		return p.measurement(header)
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

// decodeParameters decodes the parameters of a message. If a code occurs twice, the last value counts.
func decodeParameters(rest []byte) (params parameters, err error) {
	for len(rest) > 0 {
		if len(rest) < parameterHeaderSize {
			return params, fmt.Errorf("%w: a parameter is cut short", ErrMalformed)
		}
		code := paramCode(rest[0])
		size := int(binary.BigEndian.Uint16(rest[1:]))
		rest = rest[parameterHeaderSize:]
		if len(rest) < size {
			return params, fmt.Errorf("%w: parameter %d claims %d bytes of %d", ErrMalformed, code, size, len(rest))
		}
		if err := params.set(code, rest[:size]); err != nil {
			return params, err
		}
		rest = rest[size:]
	}
	return params, nil
}

// set sets one parameter. The value of an unknown one must be text, too.
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
	case paramNote:
		p.note = text
	case paramReport:
		p.report = text
		p.hasReport = true
	case paramFigure:
		p.figure = text
	case paramDescription:
		p.description = NewDescription(text)
	case paramCause: // not text; see setCause
	}
	return checkUTF8(text)
}

// setCause sets the cause.
func (p *parameters) setCause(value []byte) error {
	if len(value) != 1 {
		return fmt.Errorf("%w: a cause of %d bytes", ErrMalformed, len(value))
	}
	p.cause = Cause(value[0])
	return nil
}

// offer returns an Offer, which only nodes receive. An allocator ignores offers, so an invalid one is not an error.
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

// measurement returns a Note, or an Ignorable if the engine cannot use it. That a workload runs needs no value.
func (p *parameters) measurement(h Header) Message {
	kind, known := noteKinds[p.note]
	value, err := strconv.ParseFloat(p.figure, 64)
	if !known || err != nil && kind != placement.Running {
		return &Ignorable{h}
	}
	return &UsageReport{
		Header: h,
		Kind:   kind,
		Value:  value,
	}
}

// decodeReport decodes a load report. A value that is not a number is an error; one that is not finite counts as
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

// Append appends a binary message, which must be an Offer, Confirmation, Termination, HealthCheck or HealthReply. On an
// error it returns b as it was.
func (NodeCodec) Append(b []byte, message any) ([]byte, error) {
	start := len(b)
	b, err := appendBinary(b, message)
	if err != nil {
		return b, err
	}
	size := len(b) - start - lengthSize
	if size > MaxMessageSize-lengthSize {
		return b[:start], fmt.Errorf("%w: %d bytes of at most %d", ErrTooLong, size+lengthSize, MaxMessageSize)
	}
	binary.BigEndian.PutUint16(b[start:], uint16(size))
	return b, nil
}

// appendBinary appends a message whose length is still zero.
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

// appendHeader appends the header of a message, with a length of zero.
func appendHeader(b []byte, v verb, tag Tag) []byte {
	b = append(b, 0, 0, byte(v))
	return binary.BigEndian.AppendUint64(b, uint64(tag))
}

// appendText appends a parameter whose value is text.
func appendText(b []byte, code paramCode, value string) []byte {
	b = append(b, byte(code))
	b = binary.BigEndian.AppendUint16(b, uint16(len(value)))
	return append(b, value...)
}

// appendCause appends a parameter that is a cause.
func appendCause(b []byte, cause Cause) []byte {
	return append(b, byte(paramCause), 0, 1, byte(cause))
}
