package codec

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readStream decodes a stream that is received in pieces of the given size, as an event loop does.
func readStream(codec *DiscoveryCodec, text string, size int) (events []Event, err error) {
	var received []byte
	for at := 0; at < len(text); at += size {
		received = append(received, text[at:min(len(text), at+size)]...)
		for len(received) > 0 {
			batch, n, err := codec.Decode(received)
			if err != nil {
				return events, err
			}
			if n == 0 {
				break
			}
			if batch != nil {
				events = append(events, batch.(*EventBatch).Events...)
			}
			received = received[n:]
		}
	}
	return events, nil
}

func TestDiscoveryCodec_StreamInPieces_SameEvents(t *testing.T) {
	const events = ": up\n\nid: 4\ndata: {\"a\":\ndata: 1}\n\n:\n\nid: 5\r\ndata:x\r\n\r\nid: 6\ndata: cut o"
	plain := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" +
		"15\r\n" + events[:21] + "\r\n" +
		"5\r\n" + events[21:26] + "\r\n" +
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

func TestDiscoveryCodec_MalformedStream_Error(t *testing.T) {
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
		plain + strings.Repeat("x", MaxEventSize+1):          ErrTooLong,
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

func TestDiscoveryCodec_Append_SubscribeBytes(t *testing.T) {
	b, err := (&DiscoveryCodec{}).Append(nil, Subscribe{Host: "h:1", After: 41})
	require.NoError(t, err)
	assert.Equal(t, "GET /journal HTTP/1.1\r\n"+
		"Host: h:1\r\n"+
		"Accept: text/event-stream\r\n"+
		"Last-Event-ID: 41\r\n\r\n", string(b))
}

// Guards against a codec that decodes a chunk only once it is complete: the events at its beginning waited for its end.
func TestDiscoveryCodec_ChunkIncomplete_CompleteEventsDecoded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	decoder := &DiscoveryCodec{}
	events, err := readStream(decoder, head+"f0000\r\nid: 4\ndata: x\n\nid: 5\ndata: incomplete", 1000)
	require.NoError(t, err)
	assert.Equal(t, []Event{{4, []byte("x")}}, events)
	assert.True(t, decoder.Assembling())
}

// Guards the messages by which the transport and the frontend recognise progress: a part of an event yields none, and
// leaves the codec assembling; a comment yields an empty batch.
func TestDiscoveryCodec_PartOfAnEvent_NoMessage(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	decoder := &DiscoveryCodec{}
	_, n, err := decoder.Decode([]byte(head))
	require.NoError(t, err)
	require.Equal(t, len(head), n)
	for _, part := range []struct {
		text       string
		want       any
		assembling bool
	}{
		{": up\n\n", &EventBatch{}, false},
		{"id: 4\n", nil, true},
		{": a comment\n", nil, true},
		{"data: x", nil, true},
		{"\n", nil, true},
		{"\nid: 5\n", &EventBatch{Events: []Event{{4, []byte("x")}}}, true},
		{"data: y\n\n", &EventBatch{Events: []Event{{5, []byte("y")}}}, false},
	} {
		got, n, err := decoder.Decode([]byte(part.text))
		require.NoError(t, err)
		assert.Equal(t, len(part.text), n, "%q", part.text)
		assert.Equal(t, part.want, got, "%q", part.text)
		assert.Equal(t, part.assembling, decoder.Assembling(), "%q", part.text)
	}
}

// Guards against an event that is too large to be kept: it ended the connection, and was requested again without end.
// It is reported without its data, in bounded memory, and the events after it are decoded.
func TestDiscoveryCodec_EventTooLarge_SkippedAndNextDecoded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	idLine, dataLine, next := "id: 4\n", "data: ", "\n\nid: 5\ndata: y\n\n"
	fits := MaxEventSize - len(idLine) - len(dataLine) + 1 // line ends do not count
	for name, event := range map[string]struct {
		data string
		want int // bytes of data that are kept, or 0 if the event is too large
	}{
		"at the limit":    {data: strings.Repeat("x", fits), want: fits},
		"above the limit": {data: strings.Repeat("x", fits+1)},
		"far above":       {data: strings.Repeat("x", 8*MaxEventSize)},
		"several lines":   {data: strings.Repeat("x", fits/2) + "\ndata: " + strings.Repeat("y", fits)},
		"id at the end":   {data: strings.Repeat("x", 2*MaxEventSize) + "\nid: 4"},
	} {
		t.Run(name, func(t *testing.T) {
			decoder := &DiscoveryCodec{}
			events, err := readStream(decoder, head+idLine+dataLine+event.data+next, 100_000)
			require.NoError(t, err)
			require.Len(t, events, 2)
			assert.Equal(t, uint64(4), events[0].Revision)
			assert.Len(t, events[0].Data, event.want)
			assert.Equal(t, event.want == 0, events[0].Data == nil)
			assert.Equal(t, Event{5, []byte("y")}, events[1])
			assert.Less(t, cap(decoder.lines.line), 2*MaxEventSize)
		})
	}
}

// Guards against an event without an end, which would hold back all others.
func TestDiscoveryCodec_EventWithoutEnd_Error(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n\r\nid: 4\ndata: "
	_, err := readStream(&DiscoveryCodec{}, start+strings.Repeat("x", maxSkippedSize), 1<<20)
	require.ErrorIs(t, err, ErrTooLong)
}
