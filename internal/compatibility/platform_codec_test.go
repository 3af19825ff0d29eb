package compatibility_test

import (
	"encoding/hex"
	"fmt"
	"grebeglade/internal/frontend/platform/codec"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// platformMessages are one message of each verb, with all fields that nodes understand. The stored files hold them in this order.
func platformMessages() []*codec.Message {
	description := "v=0\r\nm=audio 31000 <RTP> é\r\n"
	empty := ""
	none := func() map[codec.Field]string { return map[codec.Field]string{} }
	return []*codec.Message{
		{Verb: codec.Start, Tag: 0x9b1f03aa5c7e2d41, Description: &description, Fields: map[codec.Field]string{
			codec.Group: "tiles", codec.Left: "1500", codec.Key: "7f3a9c21e0b4d655",
		}},
		{Verb: codec.Pending, Tag: 1, Fields: none()},
		{Verb: codec.Started, Tag: 2, Description: &empty, Fields: map[codec.Field]string{codec.Report: "x0:0.5;x1:12"}},
		codec.Message{Verb: codec.Finish, Tag: 3, Fields: none()}.With(codec.Cancelled),
		codec.Message{Verb: codec.Finished, Tag: 4, Fields: map[codec.Field]string{codec.Report: "x0:1"}}.With(codec.Well),
		{Verb: codec.Notice, Tag: 5, Fields: map[codec.Field]string{codec.Note: "cores", codec.Figure: "2.5"}},
		codec.Message{Verb: codec.Move, Tag: 6, Fields: none()}.With(codec.Moot),
		{Verb: codec.Echo, Tag: 7, Fields: none()},
		codec.Message{Verb: codec.Echoed, Tag: 1<<64 - 1, Fields: map[codec.Field]string{codec.Report: ""}}.With(codec.Passed),
	}
}

// causes are all reasons that a message may carry, in the order in which the stored files hold them.
var causes = []codec.Cause{
	codec.Failed, codec.Passed, codec.Well, codec.Cancelled, codec.Full, codec.Broken, codec.Error, codec.Incompatible, codec.Moot,
}

// causeMessages carry one reason each.
func causeMessages() (all []*codec.Message) {
	for i, c := range causes {
		all = append(all, codec.Message{Verb: codec.Finished, Tag: codec.Tag(100 + i), Fields: map[codec.Field]string{}}.With(c))
	}
	return all
}

func allPlatformMessages() []*codec.Message { return append(platformMessages(), causeMessages()...) }

func TestNodeMessages_EncodeAsStored(t *testing.T) {
	var text strings.Builder
	for _, m := range allPlatformMessages() {
		b, err := codec.NodeCodec{}.Append(nil, m)
		require.NoError(t, err)
		fmt.Fprintf(&text, "%x\n", b)
	}
	compareWithStored(t, "platform/node-messages.txt", text.String())
}

func TestNodeMessages_StoredBytesDecodeToTheSameMessage(t *testing.T) {
	want := allPlatformMessages()
	lines := storedLines(t, "platform/node-messages.txt")
	require.Len(t, lines, len(want))
	for i, line := range lines {
		b, err := hex.DecodeString(line)
		require.NoError(t, err)
		got, n, err := codec.NodeCodec{}.Decode(append(b, 0))
		require.NoError(t, err)
		assert.Equal(t, len(b), n)
		assert.Equal(t, want[i], got, "line %d", i+1)
	}
}

func TestClientLines_EncodeAsStored(t *testing.T) {
	var text []byte
	for _, m := range allPlatformMessages() {
		b, err := codec.ClientCodec{}.Append(text, m)
		require.NoError(t, err)
		text = b
	}
	compareWithStored(t, "platform/client-lines-sent.txt", string(text))
}

func TestClientLines_StoredLinesDecodeToTheirMessages(t *testing.T) {
	start := platformMessages()[0]
	retried := *start
	retried.Fields = map[codec.Field]string{
		codec.Group: "tiles", codec.Left: "1500", codec.Key: "7f3a9c21e0b4d655", codec.Retry: "2",
		codec.Extras: "cores:1;memory:2;service:0000000000000007",
	}
	want := []*codec.Message{start, &retried}
	for _, m := range allPlatformMessages()[1:] {
		sent := *m
		sent.Fields = map[codec.Field]string{} // lines to clients carry none
		want = append(want, &sent)
	}
	lines := storedLines(t, "platform/client-lines-received.txt")
	require.Len(t, lines, len(want))
	for i, line := range lines {
		got, n, err := codec.ClientCodec{}.Decode([]byte(line + "\n{"))
		require.NoError(t, err, "line %d", i+1)
		assert.Equal(t, len(line)+1, n)
		assert.Equal(t, want[i], got, "line %d", i+1)
	}
}

func TestDiscoveryRequest_EncodesAsStored(t *testing.T) {
	b, err := (&codec.Stream{}).Append(nil, codec.Follow{Host: "127.0.0.8:7070", After: 41})
	require.NoError(t, err)
	compareWithStored(t, "platform/discovery-request.txt", string(b))
}

func TestDiscoveryStream_StoredStreamsDecodeToTheirEvents(t *testing.T) {
	const data = `{"pos":%d,"hosts":{"index":%d,"snapshot":true,"endpoints":[{"name":"s-01","address":"127.0.0.9:5080","zone":"z",` +
		`"type":"small","group":0,"status":"Ready","weight":1,"since_ms":0,"room":[20,40]}]}}`
	want := []codec.Event{
		{ID: 42, Data: fmt.Appendf(nil, data, 42, 42)},
		{ID: 43, Data: []byte("{\"pos\":43,\n\"cable\":{}}")},
	}
	for _, name := range []string{"platform/discovery-stream-plain.txt", "platform/discovery-stream-chunked.txt"} {
		t.Run(name, func(t *testing.T) {
			rest := []byte(strings.Join(storedLines(t, name), "\n") + "\n")
			var stream codec.Stream
			var got []codec.Event
			for len(rest) > 0 {
				m, n, err := stream.Decode(rest)
				require.NoError(t, err)
				if n == 0 {
					break
				}
				if news, ok := m.(*codec.News); ok && news != nil {
					got = append(got, news.Events...)
				}
				rest = rest[n:]
			}
			assert.Empty(t, string(rest))
			assert.Equal(t, want, got)
		})
	}
}
