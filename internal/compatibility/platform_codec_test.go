package compatibility_test

import (
	"encoding/hex"
	"fmt"
	"grebeglade/internal/platform/wire"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// platformMessages are one message of each verb, with all fields that nodes understand. The stored files hold them in this order.
func platformMessages() []*wire.Message {
	description := "v=0\r\nm=audio 31000 <RTP> é\r\n"
	empty := ""
	none := func() map[wire.Field]string { return map[wire.Field]string{} }
	return []*wire.Message{
		{Verb: wire.Start, Tag: 0x9b1f03aa5c7e2d41, Description: &description, Fields: map[wire.Field]string{
			wire.Group: "tiles", wire.Left: "1500", wire.Key: "7f3a9c21e0b4d655",
		}},
		{Verb: wire.Pending, Tag: 1, Fields: none()},
		{Verb: wire.Started, Tag: 2, Description: &empty, Fields: map[wire.Field]string{wire.Report: "x0:0.5;x1:12"}},
		wire.Message{Verb: wire.Finish, Tag: 3, Fields: none()}.With(wire.Cancelled),
		wire.Message{Verb: wire.Finished, Tag: 4, Fields: map[wire.Field]string{wire.Report: "x0:1"}}.With(wire.Well),
		{Verb: wire.Notice, Tag: 5, Fields: map[wire.Field]string{wire.Note: "cores", wire.Figure: "2.5"}},
		wire.Message{Verb: wire.Move, Tag: 6, Fields: none()}.With(wire.Moot),
		{Verb: wire.Echo, Tag: 7, Fields: none()},
		wire.Message{Verb: wire.Echoed, Tag: 1<<64 - 1, Fields: map[wire.Field]string{wire.Report: ""}}.With(wire.Passed),
	}
}

// causes are all reasons that a message may carry, in the order in which the stored files hold them.
var causes = []wire.Cause{
	wire.Failed, wire.Passed, wire.Well, wire.Cancelled, wire.Full, wire.Broken, wire.Error, wire.Incompatible, wire.Moot,
}

// causeMessages carry one reason each.
func causeMessages() (all []*wire.Message) {
	for i, c := range causes {
		all = append(all, wire.Message{Verb: wire.Finished, Tag: wire.Tag(100 + i), Fields: map[wire.Field]string{}}.With(c))
	}
	return all
}

func allPlatformMessages() []*wire.Message { return append(platformMessages(), causeMessages()...) }

func TestNodeMessages_EncodeAsStored(t *testing.T) {
	var text strings.Builder
	for _, m := range allPlatformMessages() {
		b, err := wire.Binary{}.Append(nil, m)
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
		got, n, err := wire.Binary{}.Cut(append(b, 0))
		require.NoError(t, err)
		assert.Equal(t, len(b), n)
		assert.Equal(t, want[i], got, "line %d", i+1)
	}
}

func TestClientLines_EncodeAsStored(t *testing.T) {
	var text []byte
	for _, m := range allPlatformMessages() {
		b, err := wire.Lines{}.Append(text, m)
		require.NoError(t, err)
		text = b
	}
	compareWithStored(t, "platform/client-lines-sent.txt", string(text))
}

func TestClientLines_StoredLinesDecodeToTheirMessages(t *testing.T) {
	start := platformMessages()[0]
	retried := *start
	retried.Fields = map[wire.Field]string{
		wire.Group: "tiles", wire.Left: "1500", wire.Key: "7f3a9c21e0b4d655", wire.Retry: "2",
		wire.Extras: "cores:1;memory:2;service:0000000000000007",
	}
	want := []*wire.Message{start, &retried}
	for _, m := range allPlatformMessages()[1:] {
		sent := *m
		sent.Fields = map[wire.Field]string{} // lines to clients carry none
		want = append(want, &sent)
	}
	lines := storedLines(t, "platform/client-lines-received.txt")
	require.Len(t, lines, len(want))
	for i, line := range lines {
		got, n, err := wire.Lines{}.Cut([]byte(line + "\n{"))
		require.NoError(t, err, "line %d", i+1)
		assert.Equal(t, len(line)+1, n)
		assert.Equal(t, want[i], got, "line %d", i+1)
	}
}

func TestDiscoveryRequest_EncodesAsStored(t *testing.T) {
	b, err := (&wire.Stream{}).Append(nil, wire.Follow{Host: "127.0.0.8:7070", After: 41})
	require.NoError(t, err)
	compareWithStored(t, "platform/discovery-request.txt", string(b))
}

func TestDiscoveryStream_StoredStreamsDecodeToTheirEvents(t *testing.T) {
	const data = `{"pos":%d,"hosts":{"index":%d,"snapshot":true,"endpoints":[{"name":"s-01","address":"127.0.0.9:5080","zone":"z",` +
		`"type":"small","group":0,"status":"Ready","weight":1,"since_ms":0,"room":[20,40]}]}}`
	want := []wire.Event{
		{ID: 42, Data: fmt.Appendf(nil, data, 42, 42)},
		{ID: 43, Data: []byte("{\"pos\":43,\n\"cable\":{}}")},
	}
	for _, name := range []string{"platform/discovery-stream-plain.txt", "platform/discovery-stream-chunked.txt"} {
		t.Run(name, func(t *testing.T) {
			rest := []byte(strings.Join(storedLines(t, name), "\n") + "\n")
			var stream wire.Stream
			var got []wire.Event
			for len(rest) > 0 {
				m, n, err := stream.Cut(rest)
				require.NoError(t, err)
				if n == 0 {
					break
				}
				if news, ok := m.(*wire.News); ok && news != nil {
					got = append(got, news.Events...)
				}
				rest = rest[n:]
			}
			assert.Empty(t, string(rest))
			assert.Equal(t, want, got)
		})
	}
}
