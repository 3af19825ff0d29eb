package compatibility_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/settings"
	"grebeglade/placement"
)

// storedMessage is what a stored message of the platform decodes to, and whether the allocator sends it in these bytes.
type storedMessage struct {
	message codec.Message
	sent    bool
}

// loadReport returns a load report with the values of the fields.
func loadReport(fields map[string]float64) *placement.LoadReport {
	load := settings.UnknownLoad()
	for name, v := range fields {
		settings.SetLoadField(load, name, v)
	}
	return load
}

// nodeMessages are one message of each verb, with all fields that nodes understand, in the order of the stored file.
func nodeMessages() []storedMessage {
	header := func(tag codec.Tag) codec.Header { return codec.Header{Tag: tag} }
	loaded := func(tag codec.Tag, fields map[string]float64) codec.Header {
		return codec.Header{Tag: tag, Load: loadReport(fields)}
	}
	return []storedMessage{
		{&codec.Offer{
			Header: header(0x9b1f03aa5c7e2d41), Class: "tiles", Key: "7f3a9c21e0b4d655", Timeout: 1500,
			Description: "v=0\r\nm=audio 31000 <RTP> é\r\n",
		}, true},
		{&codec.Ignorable{Header: header(1)}, false},
		{&codec.Confirmation{
			Header: loaded(2, map[string]float64{"x0": 0.5, "x1": 12}), Description: codec.NewDescription(""),
		}, false},
		{codec.NewTermination(3, codec.CauseCancelled), true},
		{&codec.Ignorable{Header: loaded(4, map[string]float64{"x0": 1})}, false},
		{&codec.Ignorable{Header: header(5)}, false},
		{codec.NewMigration(6), false},
		{codec.NewHealthCheck(7), false}, // the allocator's has a cause
		{&codec.HealthReply{Header: loaded(1<<64-1, nil), Passed: true}, false},
	}
}

// clientLines are the lines of the same messages, as they are sent. They carry no load.
func clientLines() []storedMessage {
	return []storedMessage{
		{&codec.Invalid{}, false}, // a request without its options
		{&codec.Ignorable{Header: codec.Header{Tag: 1}}, false},
		{codec.NewConfirmation(2, ""), true},
		{codec.NewTermination(3, codec.CauseCancelled), true},
		{&codec.Ignorable{Header: codec.Header{Tag: 4}}, false},
		{&codec.Ignorable{Header: codec.Header{Tag: 5}}, false},
		{codec.NewMigration(6), false}, // the allocator's has no cause
		{codec.NewHealthCheck(7), false},
		{codec.NewHealthReply(1<<64-1, true), true},
	}
}

// receivedRequests are the requests in front of the stored lines that clients send. The first lacks its figures.
func receivedRequests() []codec.Message {
	return []codec.Message{
		&codec.Invalid{},
		&codec.PlaceRequest{
			Header: codec.Header{Tag: 0x9b1f03aa5c7e2d41},
			Task: codec.Task{
				Class: "tiles", Key: "7f3a9c21e0b4d655", Description: "v=0\r\nm=audio 31000 <RTP> é\r\n", Service: 7, Cores: 1,
				Memory: 2, Retried: true,
			},
			Timeout: 1500,
		},
	}
}

// causes are all reasons that a message may carry, in the order in which the stored files hold them: from the tag 100 on, in
// acknowledgements. The first two are those of health checks.
var causes = []codec.Cause{
	0, 1, codec.CauseNormal, codec.CauseCancelled, codec.CauseNoCapacity, codec.CauseReset, codec.CauseError,
	codec.CauseInvalid, codec.CauseNotDelivered,
}

// messageCodec is a codec of messages with clients or nodes.
type messageCodec interface {
	Decode(b []byte) (m any, n int, err error)
	Append(b []byte, m any) ([]byte, error)
}

// checkStored checks that a stored message decodes to the one wanted and, where it is sent, that it is encoded so.
func checkStored(t *testing.T, c messageCodec, stored []byte, want storedMessage) {
	t.Helper()
	got, n, err := c.Decode(append(stored, '{'))
	require.NoError(t, err)
	assert.Equal(t, len(stored), n)
	require.IsType(t, want.message, got)
	if invalid, ok := got.(*codec.Invalid); ok {
		assert.Equal(t, codec.Tag(0x9b1f03aa5c7e2d41), invalid.Tag)
		require.Error(t, invalid.Err)
		return
	}
	assert.Equal(t, describeMessage(want.message), describeMessage(got.(codec.Message)))
	if want.sent {
		b, err := c.Append(nil, want.message)
		require.NoError(t, err)
		assert.Equal(t, stored, b)
	}
}

// describeMessage prints a message with its load, whose values may be NaN.
func describeMessage(m codec.Message) string {
	load, header := "none", m.Envelope()
	if header.Load != nil {
		load = fmt.Sprintf("%+v", *header.Load)
	}
	header.Load = nil
	return fmt.Sprintf("%+v with load %s", m, load)
}

// checkCauses checks the stored acknowledgements of all causes, and the terminations of the same causes: those differ in the
// verb alone, which verb replaces.
func checkCauses(t *testing.T, c messageCodec, stored [][]byte, verb func(acknowledgement []byte) []byte) {
	t.Helper()
	require.Len(t, stored, len(causes))
	for i, line := range stored {
		tag := codec.Tag(100 + i)
		checkStored(t, c, line, storedMessage{message: &codec.Ignorable{Header: codec.Header{Tag: tag}}})
		checkStored(t, c, verb(line), storedMessage{message: codec.NewTermination(tag, causes[i]), sent: true})
	}
}

func TestNodeMessages_DecodeAndEncodeAsStored(t *testing.T) {
	var stored [][]byte
	for _, line := range storedLines(t, "platform/node-messages.txt") {
		b, err := hex.DecodeString(line)
		require.NoError(t, err)
		stored = append(stored, b)
	}
	want := nodeMessages()
	require.Greater(t, len(stored), len(want))
	for i := range want {
		checkStored(t, codec.NodeCodec{}, stored[i], want[i])
	}
	checkCauses(t, codec.NodeCodec{}, stored[len(want):], func(acknowledgement []byte) []byte {
		termination := bytes.Clone(acknowledgement)
		require.Equal(t, byte(16), termination[2])
		termination[2] = 12
		return termination
	})
}

func checkStoredLines(t *testing.T, file string, want []storedMessage) {
	t.Helper()
	var stored [][]byte
	for _, line := range storedLines(t, file) {
		stored = append(stored, []byte(line+"\n"))
	}
	require.Greater(t, len(stored), len(want))
	for i := range want {
		checkStored(t, codec.ClientCodec{}, stored[i], want[i])
	}
	checkCauses(t, codec.ClientCodec{}, stored[len(want):], func(acknowledgement []byte) []byte {
		require.Contains(t, string(acknowledgement), `"FINISHED"`)
		return bytes.Replace(acknowledgement, []byte(`"FINISHED"`), []byte(`"FINISH"`), 1)
	})
}

func TestClientLines_DecodeAndEncodeAsStored(t *testing.T) {
	checkStoredLines(t, "platform/client-lines-sent.txt", clientLines())
}

func TestClientLines_StoredLinesDecodeToTheirMessages(t *testing.T) {
	var want []storedMessage
	for _, m := range receivedRequests() {
		want = append(want, storedMessage{message: m})
	}
	checkStoredLines(t, "platform/client-lines-received.txt", append(want, clientLines()[1:]...))
}

// What the allocator never sends has no encoding, so that it cannot be sent by mistake.
func TestMessagesThatAreNeverSent_HaveNoEncoding(t *testing.T) {
	for _, m := range []codec.Message{
		&codec.Ignorable{}, &codec.Invalid{}, &codec.Note{}, &codec.PlaceRequest{}, &codec.AdoptRequest{},
	} {
		_, err := codec.NodeCodec{}.Append(nil, m)
		require.ErrorIs(t, err, codec.ErrUnsupported, "%T", m)
		_, err = codec.ClientCodec{}.Append(nil, m)
		require.ErrorIs(t, err, codec.ErrUnsupported, "%T", m)
	}
	_, err := codec.NodeCodec{}.Append(nil, codec.NewMigration(1))
	require.ErrorIs(t, err, codec.ErrUnsupported)
	_, err = codec.ClientCodec{}.Append(nil, &codec.Offer{})
	require.ErrorIs(t, err, codec.ErrUnsupported)
}

func TestDiscoveryRequest_EncodesAsStored(t *testing.T) {
	b, err := (&codec.DiscoveryCodec{}).Append(nil, codec.Subscribe{Host: "127.0.0.8:7070", After: 41})
	require.NoError(t, err)
	compareWithStored(t, "platform/discovery-request.txt", string(b))
}

func TestDiscoveryStream_StoredStreamsDecodeToTheirEvents(t *testing.T) {
	const data = `{"pos":%d,"hosts":{"index":%d,"snapshot":true,"endpoints":[{"name":"s-01","address":"127.0.0.9:5080","zone":"z",` +
		`"type":"small","group":0,"status":"Ready","weight":1,"since_ms":0,"room":[20,40]}]}}`
	want := []codec.Event{
		{Revision: 42, Data: fmt.Appendf(nil, data, 42, 42)},
		{Revision: 43, Data: []byte("{\"pos\":43,\n\"cable\":{}}")},
	}
	for _, name := range []string{"platform/discovery-stream-plain.txt", "platform/discovery-stream-chunked.txt"} {
		t.Run(name, func(t *testing.T) {
			rest := []byte(strings.Join(storedLines(t, name), "\n") + "\n")
			var stream codec.DiscoveryCodec
			var got []codec.Event
			for len(rest) > 0 {
				m, n, err := stream.Decode(rest)
				require.NoError(t, err)
				if n == 0 {
					break
				}
				if batch, ok := m.(*codec.EventBatch); ok && batch != nil {
					got = append(got, batch.Events...)
				}
				rest = rest[n:]
			}
			assert.Empty(t, string(rest))
			assert.Equal(t, want, got)
		})
	}
}
