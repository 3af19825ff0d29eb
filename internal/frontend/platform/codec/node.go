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

// The codes of parameters.
const (
	paramClass       = 16
	paramLeft        = 18 // in ms
	paramKey         = 24
	paramNote        = 30
	paramReport      = 34
	paramFigure      = 40
	paramCause       = 44 // one byte; all others are text
	paramDescription = 46
)

// noteKinds are the measurements that can be used; a node may send others.
var noteKinds = map[string]placement.UsageKind{"up": placement.Running, "cpu": placement.CoresUsed}

var reasons = map[string]placement.Reason{
	"cpu_full": placement.InsufficientCores, "mem_full": placement.InsufficientMemory, "busy": placement.QueueFull, "wrong_host": placement.WrongNode,
	"oom": placement.Evicted, "preempted": placement.Preempted, "drained": placement.Drained,
}

// parameters are those of a binary message that either side knows. A text that is absent is empty.
type parameters struct {
	class, left, key, note, figure string
	report                         string
	hasReport                      bool
	cause                          Cause
	description                    Description
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
	// What cannot be the beginning of a message is not waited for.
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

func decodeBinary(b []byte) (Message, error) {
	p, err := decodeParameters(b[fixedSize:])
	if err != nil {
		return nil, err
	}
	header := Header{Tag: Tag(binary.BigEndian.Uint64(b[1:]))}
	if p.hasReport {
		if header.Load, err = decodeReport(p.report); err != nil {
			return &Invalid{Header: header, Err: err}, nil
		}
	}
	switch verb(b[0]) {
	case verbStart:
		return p.offer(header), nil
	case verbStarted:
		return &Confirmation{Header: header, Description: p.description}, nil
	case verbFinish:
		return &Termination{
			Header: header,
			Cause:  p.cause,
			Reason: reasons[p.note],
		}, nil
	case verbNotice:
		return p.measurement(header), nil
	case verbMove:
		return &Migration{header}, nil
	case verbEcho:
		return &HealthCheck{header}, nil
	case verbEchoed:
		return &HealthReply{Header: header, Passed: p.cause == causePassed}, nil
	}
	return &Ignorable{header}, nil
}

func decodeParameters(rest []byte) (p parameters, err error) {
	for len(rest) > 0 {
		if len(rest) < parameterHeaderSize {
			return p, fmt.Errorf("%w: a parameter is cut short", ErrMalformed)
		}
		code := rest[0]
		size := int(binary.BigEndian.Uint16(rest[1:]))
		if rest = rest[parameterHeaderSize:]; len(rest) < size {
			return p, fmt.Errorf("%w: parameter %d claims %d bytes of %d", ErrMalformed, code, size, len(rest))
		}
		if err := p.set(code, rest[:size]); err != nil {
			return p, err
		}
		rest = rest[size:]
	}
	return p, nil
}

// set keeps the value of one parameter. Also one that is not known has to be text.
func (p *parameters) set(code byte, value []byte) error {
	if code == paramCause {
		if len(value) != 1 {
			return fmt.Errorf("%w: a cause of %d bytes", ErrMalformed, len(value))
		}
		p.cause = Cause(value[0])
		return nil
	}
	text := string(value)
	switch code {
	case paramClass:
		p.class = text
	case paramLeft:
		p.left = text
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
	}
	return checkUTF8(text)
}

// offer is what a node receives. An allocator ignores offers, so one that cannot be used is no error.
func (p *parameters) offer(h Header) Message {
	timeout, err := strconv.Atoi(p.left)
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

// measurement returns a note that can be used. That a workload runs needs no figure.
func (p *parameters) measurement(h Header) Message {
	kind, known := noteKinds[p.note]
	value, err := strconv.ParseFloat(p.figure, 64)
	if !known || err != nil && kind != placement.Running {
		return &Ignorable{h}
	}
	return &Note{
		Header: h,
		Kind:   kind,
		Value:  value,
	}
}

// decodeReport reads a load report. A value that is no number is an error; one that is not finite counts as lacking.
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
func (NodeCodec) Append(b []byte, m any) ([]byte, error) {
	start := len(b)
	switch m := m.(type) {
	case *Offer:
		b = appendHeader(b, verbStart, m.Tag)
		b = appendText(b, paramClass, m.Class)
		b = appendText(b, paramLeft, strconv.Itoa(int(m.Timeout)))
		b = appendText(b, paramKey, m.Key)
		b = appendText(b, paramDescription, m.Description)
	case *Confirmation:
		b = appendHeader(b, verbStarted, m.Tag)
		if text, present := m.Description.Text(); present {
			b = appendText(b, paramDescription, text)
		}
	case *Termination:
		b = appendCause(appendHeader(b, verbFinish, m.Tag), m.Cause)
	case *HealthCheck:
		b = appendCause(appendHeader(b, verbEcho, m.Tag), causeFailed)
	case *HealthReply:
		b = appendCause(appendHeader(b, verbEchoed, m.Tag), m.cause())
	default:
		return b, fmt.Errorf("%w: %T to a node", ErrUnsupported, m)
	}
	size := len(b) - start - lengthSize
	if size > MaxMessageSize-lengthSize {
		return b[:start], fmt.Errorf("%w: %d bytes of at most %d", ErrTooLong, size+lengthSize, MaxMessageSize)
	}
	binary.BigEndian.PutUint16(b[start:], uint16(size))
	return b, nil
}

// appendHeader begins a message; its length is set once it is whole.
func appendHeader(b []byte, v verb, tag Tag) []byte {
	return binary.BigEndian.AppendUint64(append(b, 0, 0, byte(v)), uint64(tag))
}

func appendText(b []byte, code byte, value string) []byte {
	b = append(b, code, byte(len(value)>>8), byte(len(value)))
	return append(b, value...)
}

func appendCause(b []byte, c Cause) []byte { return append(b, paramCause, 0, 1, byte(c)) }
