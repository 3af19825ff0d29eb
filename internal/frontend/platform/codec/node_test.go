package codec

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/settings"
	"grebeglade/placement"
)

// parameter is a parameter of a binary test message.
type parameter struct {
	code  paramCode
	value string
}

// unknownParam is a parameter code that the protocol does not define.
var unknownParam = paramCode(99)

// binaryMessage returns a binary message with the tag 7.
func binaryMessage(v verb, params ...parameter) []byte {
	b := appendHeader(nil, v, 7)
	for _, param := range params {
		b = appendText(b, param.code, param.value)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-lengthSize))
	return b
}

// decodeBinaryMessage decodes bytes that must be exactly one node message.
func decodeBinaryMessage(t *testing.T, b []byte) Message {
	t.Helper()
	message, n, err := NodeCodec{}.Decode(b)
	require.NoError(t, err)
	assert.Equal(t, len(b), n)
	return message.(Message)
}

func TestNodeCodec_RoundTrip(t *testing.T) {
	for _, want := range []Message{
		sampleOffer(),
		NewConfirmation(sampleTag, sampleDescription),
		NewConfirmation(sampleTag, ""),
		&Confirmation{Header: Header{Tag: sampleTag}},
		NewTermination(sampleTag, CauseNormal),
		NewHealthCheck(sampleTag),
		NewHealthReply(sampleTag, true),
		NewHealthReply(sampleTag, false),
	} {
		t.Run(fmt.Sprintf("%T", want), func(t *testing.T) {
			b, err := NodeCodec{}.Append(nil, want)
			require.NoError(t, err)
			for n := range b {
				m, used, err := NodeCodec{}.Decode(b[:n])
				require.NoError(t, err)
				assert.Nil(t, m)
				assert.Zero(t, used)
			}
			m, n, err := NodeCodec{}.Decode(append(b, 9))
			require.NoError(t, err)
			assert.Equal(t, len(b), n)
			assert.Equal(t, want, m)
		})
	}
}

func TestNodeCodec_Append_OfferBytes(t *testing.T) {
	b, err := NodeCodec{}.Append([]byte("before"), &Offer{
		Header:      Header{Tag: 7},
		Class:       "c",
		Key:         "k",
		Timeout:     20.9,
		Description: "d",
	})
	require.NoError(t, err)
	assert.Equal(t, "before\x00\x1a\x01\x00\x00\x00\x00\x00\x00\x00\x07"+
		"\x10\x00\x01c\x12\x00\x0220\x18\x00\x01k\x2e\x00\x01d", string(b),
		"parameters are in the order of their codes, the timeout is in whole ms")
}

// decodeCase is an encoded node message and the expected decoded message.
type decodeCase struct {
	encoded []byte
	want    Message
}

// checkDecoded runs a subtest for each case; the keys are the names of the subtests.
func checkDecoded(t *testing.T, cases map[string]decodeCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := decodeBinaryMessage(t, c.encoded)
			assert.IsType(t, c.want, got)
			assert.Equal(t, describe(c.want), describe(got))
		})
	}
}

// sampleReport is a load report, and loadedHeader the header that a message with it is decoded into.
const sampleReport = "x0:12;other:3;"

func loadedHeader() Header {
	load := settings.UnknownLoad()
	settings.SetLoadField(load, "x0", 12)
	return Header{Tag: 7, Load: load}
}

func TestNodeCodec_Decode_Terminations(t *testing.T) {
	checkDecoded(t, map[string]decodeCase{
		"rejection with reason and load": {
			binaryMessage(verbFinish,
				parameter{paramDetail, "mem_full"}, parameter{paramReport, sampleReport}, parameter{paramCause, "\x22"}),
			&Termination{
				Header: loadedHeader(),
				Cause:  CauseNoCapacity,
				Reason: placement.InsufficientMemory,
			},
		},
		"termination without cause": {
			binaryMessage(verbFinish, parameter{paramDetail, "tired"}),
			&Termination{Header: Header{Tag: 7}},
		},
		"termination with two causes, the last is used": {
			binaryMessage(verbFinish, parameter{paramCause, "\x10"}, parameter{paramCause, "\x1f"}),
			NewTermination(7, CauseCancelled),
		},
	})
}

func TestNodeCodec_Decode_Measurements(t *testing.T) {
	checkDecoded(t, map[string]decodeCase{
		"measurement": {
			binaryMessage(verbNotice, parameter{paramDetail, "cpu"}, parameter{paramValue, "0.5"}),
			&UsageReport{
				Header: Header{Tag: 7},
				Kind:   placement.CoresUsed,
				Value:  0.5,
			},
		},
		"running, without value": {
			binaryMessage(verbNotice, parameter{paramDetail, "up"}),
			&UsageReport{Header: Header{Tag: 7}, Kind: placement.Running},
		},
		"measurement without value": {
			binaryMessage(verbNotice, parameter{paramDetail, "cpu"}),
			&Ignorable{Header{Tag: 7}},
		},
		"unknown measurement": {
			binaryMessage(verbNotice, parameter{paramDetail, "mem"}, parameter{paramValue, "1"}),
			&Ignorable{Header{Tag: 7}},
		},
	})
}

func TestNodeCodec_Decode_OtherMessages(t *testing.T) {
	checkDecoded(t, map[string]decodeCase{
		"health reply with load": {
			binaryMessage(verbEchoed, parameter{paramReport, sampleReport}, parameter{paramCause, "\x01"}),
			&HealthReply{Header: loadedHeader(), Passed: true},
		},
		"load report with a value that is not finite": {
			binaryMessage(verbPending, parameter{paramReport, "x0:12;x1:NaN"}),
			&Ignorable{loadedHeader()},
		},
		"empty load report": {
			binaryMessage(verbFinished, parameter{paramReport, ""}),
			&Ignorable{Header{Tag: 7, Load: settings.UnknownLoad()}},
		},
		"unknown parameter": {
			binaryMessage(verbStarted, parameter{unknownParam, "x"}, parameter{paramDescription, "d"}),
			NewConfirmation(7, "d"),
		},
		"offer, not allowed from a node": {
			binaryMessage(verbStart, parameter{paramReport, sampleReport}),
			&Ignorable{loadedHeader()},
		},
		"migration, not allowed from a node": {binaryMessage(verbMove), NewMigration(7)},
	})
}

// describe formats a message with its load report, which cannot be compared directly: absent values are NaN, which is
// not equal to itself. It removes the load report from the message.
func describe(message Message) string {
	load := "none"
	if report := message.Envelope().Load; report != nil {
		load = fmt.Sprintf("%+v", *report)
	}
	message.Envelope().Load = nil
	return fmt.Sprintf("%+v with load %s", message, load)
}

func TestNodeCodec_MalformedReport_DecodedAsInvalid(t *testing.T) {
	for _, report := range []string{"x0", "x0:many", "x0:1e999", "other:"} {
		m := decodeBinaryMessage(t, binaryMessage(verbPending, parameter{paramReport, report}))
		invalid, ok := m.(*Invalid)
		require.True(t, ok, report)
		assert.Equal(t, Tag(7), invalid.Tag)
		require.Error(t, invalid.Err)
		assert.Nil(t, invalid.Load)
	}
}

func TestNodeCodec_NotFramed_MalformedError(t *testing.T) {
	whole, err := NodeCodec{}.Append(nil, sampleOffer())
	require.NoError(t, err)
	cut := append([]byte{}, whole[:len(whole)-1]...)
	binary.BigEndian.PutUint16(cut, uint16(len(cut)-lengthSize))
	notUTF8 := append([]byte{}, whole...)
	notUTF8[len(notUTF8)-3] = 0xfe
	headerCut := binaryMessage(verbFinish, parameter{paramCause, "\x10"})[:lengthSize+fixedSize+1]
	binary.BigEndian.PutUint16(headerCut, uint16(len(headerCut)-lengthSize))
	for name, b := range map[string][]byte{
		"too short":                {0, 3},
		"too long":                 {0xff, 0xff},
		"unknown type":             {0, 9, 200},
		"truncated parameter":      cut,
		"truncated parameter head": headerCut,
		"text not UTF-8":           notUTF8,
		"unknown text not UTF-8":   binaryMessage(verbFinish, parameter{unknownParam, "\xfe"}),
		"cause of 2 bytes":         binaryMessage(verbFinish, parameter{paramCause, "\x10\x10"}),
		"cause of 0 bytes":         binaryMessage(verbFinish, parameter{paramCause, ""}),
		"report that is not UTF-8": binaryMessage(verbFinish, parameter{paramReport, "\xfe"}),
		"length over the maximum":  {0x3f, 0xff, 1},
	} {
		t.Run(name, func(t *testing.T) {
			m, _, err := NodeCodec{}.Decode(b)
			require.ErrorIs(t, err, ErrMalformed)
			assert.Nil(t, m)
		})
	}
}

func TestNodeCodec_MessageTooLong_BufferUnchanged(t *testing.T) {
	offer := sampleOffer()
	offer.Description = strings.Repeat("x", MaxMessageSize)
	b, err := NodeCodec{}.Append([]byte("before"), offer)
	require.ErrorIs(t, err, ErrTooLong)
	assert.Equal(t, "before", string(b))
}
