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

const (
	sampleTag         = Tag(0x9b1f03aa5c7e2d41)
	sampleDescription = "v=0\r\nm=audio 31000 <RTP>\r\n"
	sampleRequest     = `{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"class":"tiles","left":1500,"key":"7f3a9c21e0b4d655",` +
		`"extras":"cores:1;memory:2.5;service:00000000b4d65521","new":1},"rc":34,"blob":"v=0\r\nm=audio 31000 <RTP>\r\n"}` + "\n"
)

func sampleOffer() *Offer {
	return &Offer{
		Header:      Header{Tag: sampleTag},
		Class:       "tiles",
		Key:         "7f3a9c21e0b4d655",
		Timeout:     1500,
		Description: sampleDescription,
	}
}

// binaryMessage returns a binary message about workload 7 with parameters, given as code and value.
func binaryMessage(v verb, params ...any) []byte {
	b := appendHeader(nil, v, 7)
	for i := 0; i+1 < len(params); i += 2 {
		b = appendText(b, byte(params[i].(int)), params[i+1].(string))
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-lengthSize))
	return b
}

func decodeOne(t *testing.T, b []byte) Message {
	t.Helper()
	m, n, err := NodeCodec{}.Decode(b)
	require.NoError(t, err)
	assert.Equal(t, len(b), n)
	return m.(Message)
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

func TestNodeCodec_OfferBytes(t *testing.T) {
	b, err := NodeCodec{}.Append([]byte("before"), &Offer{
		Header:      Header{Tag: 7},
		Class:       "c",
		Key:         "k",
		Timeout:     20.9,
		Description: "d",
	})
	require.NoError(t, err)
	assert.Equal(t, "before\x00\x1a\x01\x00\x00\x00\x00\x00\x00\x00\x07"+
		"\x10\x00\x01c\x12\x00\x0220\x18\x00\x01k\x2e\x00\x01d", string(b), "parameters in the order of their codes, whole ms")
}

func TestNodeCodec_DecodesWhatNodesSend(t *testing.T) {
	load := settings.UnknownLoad()
	settings.SetLoadField(load, "x0", 12)
	header := Header{Tag: 7}
	loaded := Header{Tag: 7, Load: load}
	const report, notFinite = "x0:12;other:3;", "x0:12;x1:NaN"
	for name, c := range map[string]struct {
		b    []byte
		want Message
	}{
		"rejection with reason and load": {
			binaryMessage(verbFinish, paramNote, "mem_full", paramReport, report, paramCause, "\x22"),
			&Termination{
				Header: loaded,
				Cause:  CauseNoCapacity,
				Reason: placement.InsufficientMemory,
			},
		},
		"termination without cause": {binaryMessage(verbFinish, paramNote, "tired"), &Termination{Header: header}},
		"the last of two causes":    {binaryMessage(verbFinish, paramCause, "\x10", paramCause, "\x1f"), NewTermination(7, CauseCancelled)},
		"measurement": {binaryMessage(verbNotice, paramNote, "cpu", paramFigure, "0.5"), &Note{
			Header: header,
			Kind:   placement.CoresUsed,
			Value:  0.5,
		}},
		"running without figure":         {binaryMessage(verbNotice, paramNote, "up"), &Note{Header: header, Kind: placement.Running}},
		"measurement without figure":     {binaryMessage(verbNotice, paramNote, "cpu"), &Ignorable{header}},
		"unknown measurement":            {binaryMessage(verbNotice, paramNote, "mem", paramFigure, "1"), &Ignorable{header}},
		"health reply with load":         {binaryMessage(verbEchoed, paramReport, report, paramCause, "\x01"), &HealthReply{Header: loaded, Passed: true}},
		"value that is not finite":       {binaryMessage(verbPending, paramReport, notFinite), &Ignorable{loaded}},
		"empty report":                   {binaryMessage(verbFinished, paramReport, ""), &Ignorable{Header{Tag: 7, Load: settings.UnknownLoad()}}},
		"unknown parameter":              {binaryMessage(verbStarted, 99, "x", paramDescription, "d"), NewConfirmation(7, "d")},
		"offer, which no node may send":  {binaryMessage(verbStart, paramReport, report), &Ignorable{loaded}},
		"migration, which none may send": {binaryMessage(verbMove), NewMigration(7)},
	} {
		t.Run(name, func(t *testing.T) {
			// NaN is not equal to itself, and prints alike.
			got := decodeOne(t, c.b)
			assert.IsType(t, c.want, got)
			assert.Equal(t, describe(c.want), describe(got))
		})
	}
}

// describe prints a message with its load.
func describe(m Message) string {
	load := "none"
	if l := m.Envelope().Load; l != nil {
		load = fmt.Sprintf("%+v", *l)
	}
	m.Envelope().Load = nil
	return fmt.Sprintf("%+v with load %s", m, load)
}

func TestNodeCodec_MalformedReportIsInvalid(t *testing.T) {
	for _, report := range []string{"x0", "x0:many", "x0:1e999", "other:"} {
		m := decodeOne(t, binaryMessage(verbPending, paramReport, report))
		invalid, ok := m.(*Invalid)
		require.True(t, ok, report)
		assert.Equal(t, Tag(7), invalid.Tag)
		require.Error(t, invalid.Err)
		assert.Nil(t, invalid.Load)
	}
}

func TestNodeCodec_UnreadableBytesAreMalformed(t *testing.T) {
	whole, err := NodeCodec{}.Append(nil, sampleOffer())
	require.NoError(t, err)
	cut := append([]byte{}, whole[:len(whole)-1]...)
	binary.BigEndian.PutUint16(cut, uint16(len(cut)-lengthSize))
	notUTF8 := append([]byte{}, whole...)
	notUTF8[len(notUTF8)-3] = 0xfe
	for name, b := range map[string][]byte{
		"too short":                 {0, 3},
		"too long":                  {0xff, 0xff},
		"unknown type":              {0, 9, 200},
		"parameter cut short":       cut,
		"parameter header cut":      binaryMessage(verbFinish, paramCause, "\x10")[:lengthSize+fixedSize+1],
		"text not UTF-8":            notUTF8,
		"unknown text not UTF-8":    binaryMessage(verbFinish, 99, "\xfe"),
		"cause of two bytes":        binaryMessage(verbFinish, paramCause, "\x10\x10"),
		"cause without a byte":      binaryMessage(verbFinish, paramCause, ""),
		"report that is not UTF-8":  binaryMessage(verbFinish, paramReport, "\xfe"),
		"length over the most ever": {0x3f, 0xff, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "parameter header cut" {
				b = append([]byte{}, b...)
				binary.BigEndian.PutUint16(b, uint16(len(b)-lengthSize))
			}
			m, _, err := NodeCodec{}.Decode(b)
			require.ErrorIs(t, err, ErrMalformed)
			assert.Nil(t, m)
		})
	}
}

func TestNodeCodec_TooLongMessageLeavesTheBufferAsItWas(t *testing.T) {
	offer := sampleOffer()
	offer.Description = strings.Repeat("x", MaxMessageSize)
	b, err := NodeCodec{}.Append([]byte("before"), offer)
	require.ErrorIs(t, err, ErrTooLong)
	assert.Equal(t, "before", string(b))
}

func TestCodecs_UnsupportedMessageIsAnError(t *testing.T) {
	for name, codec := range map[string]interface {
		Append([]byte, any) ([]byte, error)
	}{"node": NodeCodec{}, "client": ClientCodec{}, "discovery": &DiscoveryCodec{}} {
		b, err := codec.Append([]byte("before"), &AdoptRequest{})
		require.ErrorIs(t, err, ErrUnsupported, name)
		assert.Equal(t, "before", string(b), name)
	}
}

func decodeLineOf(t *testing.T, l string) Message {
	t.Helper()
	m, n, err := ClientCodec{}.Decode([]byte(l))
	require.NoError(t, err)
	assert.Equal(t, len(l), n)
	return m.(Message)
}

func TestClientCodec_RequestWithStringsAndNumbers(t *testing.T) {
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
	assert.Equal(t, want, decodeLineOf(t, strings.Replace(sampleRequest, `"new"`, `"retry"`, 1)))
	want.Retried = false
	assert.Equal(t, want, decodeLineOf(t, strings.Replace(sampleRequest, `"new":1`, `"retry":"0"`, 1)))
	assert.Equal(t, &AdoptRequest{
		Header: want.Header,
		Task:   want.Task,
		Node:   "s-01",
	},
		decodeLineOf(t, strings.Replace(strings.Replace(sampleRequest, `"left":1500,`, "", 1), "b4d65521", "b4d65521;at:s-01", 1)))
}

func TestClientCodec_RequestOutOfRangeIsInvalid(t *testing.T) {
	for name, change := range map[string][2]string{
		"no description":       {`"blob"`, `"other"`},
		"null description":     {`"v=0\r\nm=audio 31000 <RTP>\r\n"`, `null`},
		"no key":               {`"key"`, `"other"`},
		"key too long":         {"7f3a9c21e0b4d655", strings.Repeat("7", maxKeyLength+1)},
		"no timeout":           {`"left"`, `"other"`},
		"timeout 0":            {"1500", "0"},
		"timeout without end":  {"1500", "1e300"},
		"timeout null":         {"1500", "null"},
		"cores not a number":   {"cores:1", "cores:NaN"},
		"cores below zero":     {"cores:1", "cores:-1"},
		"cores missing":        {"cores:1;", ""},
		"memory missing":       {"memory:2.5;", ""},
		"memory infinite":      {"memory:2.5", "memory:Inf"},
		"no figures":           {`"extras"`, `"other"`},
		"service not a number": {"00000000b4d65521", "x"},
		"not name:value":       {"memory:2.5", "memory"},
	} {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(sampleRequest, change[0], change[1], 1)
			require.NotEqual(t, sampleRequest, changed)
			invalid, ok := decodeLineOf(t, changed).(*Invalid)
			require.True(t, ok)
			assert.Equal(t, sampleTag, invalid.Tag)
			require.Error(t, invalid.Err)
		})
	}
}

func TestClientCodec_OtherMessages(t *testing.T) {
	for l, want := range map[string]Message{
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
		assert.Equal(t, want, decodeLineOf(t, l+"\n"), l)
	}
}

func TestClientCodec_Lines(t *testing.T) {
	for want, m := range map[string]Message{
		`{"verb":"FINISH","tag":"000000000000000a","opts":{},"rc":16}`:                      NewTermination(10, CauseNormal),
		`{"verb":"STARTED","tag":"000000000000000a","opts":{},"blob":"<a>\r\n\u2028\"é\""}`: NewConfirmation(10, "<a>\r\n\u2028\"é\""),
		`{"verb":"MOVE","tag":"000000000000000a","opts":{}}`:                                NewMigration(10),
		`{"verb":"ECHOED","tag":"000000000000000a","opts":{},"rc":0}`:                       NewHealthReply(10, false),
		`{"verb":"ECHOED","tag":"000000000000000a","opts":{},"rc":1}`:                       NewHealthReply(10, true),
		`{"verb":"ECHO","tag":"000000000000000a","opts":{},"rc":0}`:                         NewHealthCheck(10),
	} {
		b, err := ClientCodec{}.Append([]byte("before"), m)
		require.NoError(t, err)
		assert.Equal(t, "before"+want+"\n", string(b))
	}
}

func TestClientCodec_UnreadableLineIsAnError(t *testing.T) {
	for _, l := range []string{
		"nonsense\n", `{"verb":"SING","tag":"9b1f03aa5c7e2d41"}` + "\n", `{"verb":"ECHO"}` + "\n", "[]\n",
		`{"verb":"ECHO","tag":"9b1f03aa5c7e2d41","rc":-1}` + "\n", `{"verb":"ECHO","tag":"9b1f03aa5c7e2d4g"}` + "\n",
		`{"verb":"ECHO","tag":"9b1f03aa5c7e2d41","opts":{"left":[1]}}` + "\n",
		`{"verb":"ECHO","tag":"9b1f03aa5c7e2d41","opts":{"extras":true}}` + "\n",
	} {
		m, _, err := ClientCodec{}.Decode([]byte(l))
		require.ErrorIs(t, err, ErrMalformed, "%.60s", l)
		assert.Nil(t, m)
	}
	_, _, err := ClientCodec{}.Decode([]byte(strings.Repeat("x", MaxMessageSize)))
	require.ErrorIs(t, err, ErrTooLong)
}

// readStream decodes a stream that comes in pieces of the size, as an event loop would.
func readStream(s *DiscoveryCodec, text string, size int) (events []Event, err error) {
	var b []byte
	for at := 0; at < len(text); at += size {
		b = append(b, text[at:min(len(text), at+size)]...)
		for len(b) > 0 {
			m, n, err := s.Decode(b)
			if err != nil {
				return events, err
			}
			if n == 0 {
				break
			}
			if m != nil {
				events = append(events, m.(*EventBatch).Events...)
			}
			b = b[n:]
		}
	}
	return events, nil
}

func TestDiscoveryCodec_EventsInPiecesOfAnySize(t *testing.T) {
	const events = ": up\n\nid: 4\ndata: {\"a\":\ndata: 1}\n\n:\n\nid: 5\r\ndata:x\r\n\r\nid: 6\ndata: cut o"
	plain := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" + "15\r\n" + events[:21] + "\r\n" + "5\r\n" + events[21:26] + "\r\n" +
		"27\r\n" + events[26:65] + "\r\n"
	require.Len(t, events, 71)
	for _, size := range []int{1, 7, 1000} {
		for _, text := range []string{plain, chunked} {
			got, err := readStream(&DiscoveryCodec{}, text, size)
			require.NoError(t, err)
			assert.Equal(t, []Event{{4, []byte("{\"a\":\n1}")}, {5, []byte("x")}}, got)
		}
	}
}

func TestDiscoveryCodec_UnreadableStreamIsAnError(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const plain = "HTTP/1.1 200 OK\r\n\r\n"
	for text, want := range map[string]error{
		"HTTP/1.1 503 Busy\r\n\r\n":                          ErrStatus,
		plain + "id: four\n":                                 ErrMalformed,
		chunked + "zz\r\n":                                   ErrMalformed,
		chunked + "fffff0000\r\n":                            ErrMalformed,
		chunked + strings.Repeat("1", maxChunkHeader):        ErrMalformed,
		chunked + "0\r\n\r\n":                                ErrStreamEnded,
		strings.Repeat("x", MaxMessageSize+1):                ErrTooLong,
		plain + strings.Repeat("x", maxEventSize+1):          ErrTooLong,
		plain + "data: " + strings.Repeat("x", 2) + "\n\r\n": nil,
	} {
		_, err := readStream(&DiscoveryCodec{}, text, len(text))
		if want == nil {
			require.NoError(t, err)
			continue
		}
		require.ErrorIs(t, err, want, "%.60q", text)
	}
}

func TestDiscoveryCodec_SubscribeBytes(t *testing.T) {
	b, err := (&DiscoveryCodec{}).Append(nil, Subscribe{Host: "h:1", After: 41})
	require.NoError(t, err)
	assert.Equal(t, "GET /journal HTTP/1.1\r\nHost: h:1\r\nAccept: text/event-stream\r\nLast-Event-ID: 41\r\n\r\n", string(b))
}

func TestDecodeEndpoints(t *testing.T) {
	t.Run("snapshot", func(t *testing.T) {
		update, ok, err := DecodeEndpoints([]byte(`{"pos":41,"hosts":{"index":7,"snapshot":true,"endpoints":[
			{"name":"s-01","address":"10.1.0.9:5080","zone":"east","type":"std","group":2,"status":"Terminating","weight":4,"since_ms":12.5,
			"room":[20,40]},{"name":"s-02","status":"Gone","room":[1]}]}}`))
		require.NoError(t, err)
		assert.True(t, ok)
		assert.Equal(t, EndpointUpdate{Snapshot: true, Endpoints: []Endpoint{
			{
				Name:       "s-01",
				Address:    "10.1.0.9:5080",
				Zone:       "east",
				Kind:       "std",
				Cell:       2,
				State:      placement.Draining,
				StartedAt:  12.5,
				FreeCores:  20,
				FreeMemory: 40,
			},
			{Name: "s-02", State: placement.Removed},
		}}, update)
	})
	t.Run("event about something else", func(t *testing.T) {
		_, ok, err := DecodeEndpoints([]byte(`{"pos":41,"other":{}}`))
		require.NoError(t, err)
		assert.False(t, ok)
	})
	for name, data := range map[string]string{
		"not JSON":       `{"hosts":`,
		"unknown status": `{"hosts":{"endpoints":[{"name":"s-01","status":"Lost"}]}}`,
		"no name":        `{"hosts":{"endpoints":[{"status":"Ready"}]}}`,
		"wrong type":     `{"hosts":{"endpoints":[{"name":"s-01","status":"Ready","group":-1}]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, ok, err := DecodeEndpoints([]byte(data))
			require.Error(t, err)
			assert.False(t, ok)
		})
	}
}
