package codec

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// decodeClientLine decodes a text that must be exactly one client line.
func decodeClientLine(t *testing.T, text string) Message {
	t.Helper()
	message, n, err := ClientCodec{}.Decode([]byte(text))
	require.NoError(t, err)
	assert.Equal(t, len(text), n)
	return message.(Message)
}

func TestClientCodec_Decode_RequestWithStringsAndNumbers(t *testing.T) {
	want := &PlaceRequest{
		Header: Header{Tag: sampleTag},
		Task: Task{
			Class:       "tiles",
			Key:         "7f3a9c21e0b4d655",
			Description: sampleDescription,
			Service:     0xb4d65521,
			Cores:       1,
			Memory:      2.5,
		},
		Timeout: 1500,
	}
	m, n, err := ClientCodec{}.Decode([]byte(sampleRequest + "{"))
	require.NoError(t, err)
	assert.Equal(t, len(sampleRequest), n)
	assert.Equal(t, want, m)

	want.Retried = true
	retried := strings.Replace(sampleRequest, `"new"`, `"retry"`, 1)
	assert.Equal(t, want, decodeClientLine(t, retried))
	want.Retried = false
	first := strings.Replace(sampleRequest, `"new":1`, `"retry":"0"`, 1)
	assert.Equal(t, want, decodeClientLine(t, first))
	running := strings.NewReplacer(`"left":1500,`, "", "b4d65521", "b4d65521;at:s-01").Replace(sampleRequest)
	assert.Equal(t, &AdoptRequest{
		Header: want.Header,
		Task:   want.Task,
		Node:   "s-01",
	}, decodeClientLine(t, running))
}

func TestClientCodec_RequestOutOfRange_DecodedAsInvalid(t *testing.T) {
	for name, change := range map[string][2]string{
		"no description":       {`"blob"`, `"other"`},
		"null description":     {`"v=0\r\nm=audio 31000 <RTP>\r\n"`, `null`},
		"no key":               {`"key"`, `"other"`},
		"key too long":         {"7f3a9c21e0b4d655", strings.Repeat("7", maxKeyLength+1)},
		"no timeout":           {`"left"`, `"other"`},
		"timeout 0":            {"1500", "0"},
		"timeout too long":     {"1500", "1e300"},
		"timeout null":         {"1500", "null"},
		"cores not a number":   {"cores:1", "cores:NaN"},
		"cores below zero":     {"cores:1", "cores:-1"},
		"cores missing":        {"cores:1;", ""},
		"memory missing":       {"memory:2.5;", ""},
		"memory infinite":      {"memory:2.5", "memory:Inf"},
		"no extras":            {`"extras"`, `"other"`},
		"service not a number": {"00000000b4d65521", "x"},
		"not name:value":       {"memory:2.5", "memory"},
	} {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(sampleRequest, change[0], change[1], 1)
			require.NotEqual(t, sampleRequest, changed)
			invalid, ok := decodeClientLine(t, changed).(*Invalid)
			require.True(t, ok)
			assert.Equal(t, sampleTag, invalid.Tag)
			require.Error(t, invalid.Err)
		})
	}
}

func TestClientCodec_Decode_OtherMessages(t *testing.T) {
	for text, want := range map[string]Message{
		`{"verb":"FINISH","tag":"000000000000000a","opts":{},"rc":16}`: NewTermination(10, CauseNormal),
		`{"verb":"FINISH","tag":"000000000000000a"}`:                   NewTermination(10, CauseNone),
		`{"verb":"ECHO","tag":"000000000000000A","rc":0}`:              NewHealthCheck(10),
		`{"verb":"ECHOED","tag":"000000000000000a","rc":1}`:            NewHealthReply(10, true),
		`{"verb":"STARTED","tag":"000000000000000a","blob":"x"}`:       NewConfirmation(10, "x"),
		`{"verb":"STARTED","tag":"000000000000000a"}`:                  &Confirmation{Header: Header{Tag: 10}},
		`{"verb":"MOVE","tag":"000000000000000a"}`:                     NewMigration(10),
		`{"verb":"PENDING","tag":"000000000000000a"}`:                  &Ignorable{Header{Tag: 10}},
		`{"verb":"FINISHED","tag":"000000000000000a"}`:                 &Ignorable{Header{Tag: 10}},
		`{"verb":"NOTICE","tag":"000000000000000a"}`:                   &Ignorable{Header{Tag: 10}},
	} {
		assert.Equal(t, want, decodeClientLine(t, text+"\n"), text)
	}
}

func TestClientCodec_Append_Lines(t *testing.T) {
	for want, message := range map[string]Message{
		`{"verb":"FINISH","tag":"000000000000000a","opts":{},"rc":16}`: NewTermination(10, CauseNormal),
		`{"verb":"STARTED","tag":"000000000000000a","opts":{},"blob":"<a>\r\n\u2028\"é\""}`: NewConfirmation(
			10, "<a>\r\n\u2028\"é\""),
		`{"verb":"MOVE","tag":"000000000000000a","opts":{}}`:          NewMigration(10),
		`{"verb":"ECHOED","tag":"000000000000000a","opts":{},"rc":0}`: NewHealthReply(10, false),
		`{"verb":"ECHOED","tag":"000000000000000a","opts":{},"rc":1}`: NewHealthReply(10, true),
		`{"verb":"ECHO","tag":"000000000000000a","opts":{},"rc":0}`:   NewHealthCheck(10),
	} {
		b, err := ClientCodec{}.Append([]byte("before"), message)
		require.NoError(t, err)
		assert.Equal(t, "before"+want+"\n", string(b))
	}
}

func TestClientCodec_NotFramed_Error(t *testing.T) {
	for _, text := range []string{
		"nonsense\n",
		"[]\n",
		`{"verb":"SING","tag":"9b1f03aa5c7e2d41"}` + "\n",
		`{"verb":"ECHO"}` + "\n",
		`{"verb":"ECHO","tag":"9b1f03aa5c7e2d41","rc":-1}` + "\n",
		`{"verb":"ECHO","tag":"9b1f03aa5c7e2d4g"}` + "\n",
		`{"verb":"ECHO","tag":"9b1f03aa5c7e2d41","opts":{"left":[1]}}` + "\n",
		`{"verb":"ECHO","tag":"9b1f03aa5c7e2d41","opts":{"extras":true}}` + "\n",
	} {
		message, _, err := ClientCodec{}.Decode([]byte(text))
		require.ErrorIs(t, err, ErrMalformed, "%.60s", text)
		assert.Nil(t, message)
	}
	_, _, err := ClientCodec{}.Decode([]byte(strings.Repeat("x", MaxMessageSize)))
	require.ErrorIs(t, err, ErrTooLong)
}
