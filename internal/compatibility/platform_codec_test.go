package compatibility_test

import (
	"encoding/binary"
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

// The stored files were written by a codec whose messages were a verb, a cause and a map of fields, so that it encoded any
// combination, in both directions. Some of the lines are therefore messages that the allocator never sends: a load report, a
// migration to a node or one with a cause, a health check without a cause, and all with the verbs PENDING, FINISHED and NOTICE.
// They stay for decoding. Where the allocator sends the message in another form, that form is the stored line but for one part,
// which storedMessage.difference states; where it never sends it, encoding it is an error. What such a line carries and the
// allocator passes over (most of the causes, a note of an unknown kind) is compared with the verb or the kind replaced by one that
// the allocator does use. The flag -update leaves the messages of nodes and clients as they are.

// replacement changes one part of a stored line, which the line holds once. The zero value changes nothing.
type replacement struct{ old, new string }

func (r replacement) apply(t *testing.T, text string) string {
	t.Helper()
	if r == (replacement{}) {
		return text
	}
	require.Equal(t, 1, strings.Count(text, r.old), "%q in %q", r.old, text)
	return strings.Replace(text, r.old, r.new, 1)
}

// storedMessage is what a stored line holds.
type storedMessage struct {
	decoded     codec.Message
	unsupported bool        // decoded has no encoding
	difference  replacement // from the stored line to the encoding of decoded
}

const (
	offerTag         = codec.Tag(0x9b1f03aa5c7e2d41)
	lastTag          = codec.Tag(1<<64 - 1)
	offerKey         = "7f3a9c21e0b4d655"
	offerDescription = "v=0\r\nm=audio 31000 <RTP> é\r\n"
)

// loadReport returns a report with the spare cores and, where there are two values, the spare memory.
func loadReport(spare ...float64) *placement.LoadReport {
	load := settings.UnknownLoad()
	if len(spare) > 0 {
		load.SpareCores = spare[0]
	}
	if len(spare) > 1 {
		load.SpareMemory = spare[1]
	}
	return load
}

func header(tag codec.Tag) codec.Header { return codec.Header{Tag: tag} }

func ignorable(tag codec.Tag) storedMessage {
	return storedMessage{decoded: &codec.Ignorable{Header: header(tag)}, unsupported: true}
}

const (
	firstCauseTag  = codec.Tag(100)
	firstCauseLine = 9
	causeLineCount = 9
)

// ignoredCauses are the lines with the verb FINISHED that carry one cause each. The allocator passes over them.
func ignoredCauses() (all []storedMessage) {
	for i := range codec.Tag(causeLineCount) {
		all = append(all, ignorable(firstCauseTag+i))
	}
	return all
}

// retypedMessage is what a stored line holds once its verb is replaced by one whose messages carry what the line does.
type retypedMessage struct {
	line     int // counted from 0, as in nodeMessages and clientMessages
	from, to string
	storedMessage
}

// retypedMessages are the lines with parts that the allocator passes over for their verb: causes, mostly. The first two causes are
// those of a reply to a health check, the others those of a termination.
func retypedMessages() []retypedMessage {
	causes := []codec.Cause{
		codec.CauseNormal, codec.CauseCancelled, codec.CauseNoCapacity, codec.CauseReset, codec.CauseError, codec.CauseInvalid,
		codec.CauseNotDelivered,
	}
	all := []retypedMessage{
		{line: 4, from: "FINISHED", to: "FINISH", storedMessage: storedMessage{decoded: codec.NewTermination(4, codec.CauseNormal)}},
		{line: 6, from: "MOVE", to: "FINISH", storedMessage: storedMessage{decoded: codec.NewTermination(6, codec.CauseNotDelivered)}},
	}
	add := func(to string, m codec.Message) {
		line := firstCauseLine + int(m.Envelope().Tag-firstCauseTag)
		all = append(all, retypedMessage{line: line, from: "FINISHED", to: to, storedMessage: storedMessage{decoded: m}})
	}
	add("ECHOED", codec.NewHealthReply(firstCauseTag, false))
	add("ECHOED", codec.NewHealthReply(firstCauseTag+1, true))
	for i, cause := range causes {
		add("FINISH", codec.NewTermination(firstCauseTag+2+codec.Tag(i), cause))
	}
	return all
}

// nodeMessages are the messages of node-messages.txt, in its order: one of each verb, with all fields that nodes understand, then
// one with each cause.
func nodeMessages() []storedMessage {
	const causeZero = "2c000100"
	return append([]storedMessage{
		{decoded: &codec.Offer{
			Header: header(offerTag), Class: "tiles", Key: offerKey, Timeout: 1500, Description: offerDescription,
		}},
		ignorable(1),
		{
			decoded: &codec.Confirmation{
				Header: codec.Header{Tag: 2, Load: loadReport(0.5, 12)}, Description: codec.NewDescription(""),
			},
			difference: replacement{"22000c" + hex.EncodeToString([]byte("x0:0.5;x1:12")), ""},
		},
		{decoded: codec.NewTermination(3, codec.CauseCancelled)},
		{decoded: &codec.Ignorable{Header: codec.Header{Tag: 4, Load: loadReport(1)}}, unsupported: true},
		ignorable(5), // a note of an unknown kind
		{decoded: codec.NewMigration(6), unsupported: true},
		{decoded: codec.NewHealthCheck(7), difference: replacement{"0000000000000007", "0000000000000007" + causeZero}},
		{
			decoded:    &codec.HealthReply{Header: codec.Header{Tag: lastTag, Load: loadReport()}, Passed: true},
			difference: replacement{"220000", ""},
		},
	}, ignoredCauses()...)
}

// clientMessages are the messages of client-lines-sent.txt, in its order, and but for the request those of
// client-lines-received.txt.
func clientMessages() []storedMessage {
	return append([]storedMessage{
		{decoded: invalidRequest("key", "of 1 to 64 bytes"), unsupported: true},
		ignorable(1),
		{decoded: codec.NewConfirmation(2, "")},
		{decoded: codec.NewTermination(3, codec.CauseCancelled)},
		ignorable(4),
		ignorable(5),
		{decoded: codec.NewMigration(6), difference: replacement{`,"rc":102`, ""}},
		{decoded: codec.NewHealthCheck(7), difference: replacement{`"opts":{}`, `"opts":{},"rc":0`}},
		{decoded: codec.NewHealthReply(lastTag, true)},
	}, ignoredCauses()...)
}

// invalidRequest is a request that lacks a field.
func invalidRequest(field, want string) *codec.Invalid {
	return &codec.Invalid{Header: header(offerTag), Err: &codec.FieldError{Field: field, Want: want}}
}

// messageCodec is a codec of one kind of connection.
type messageCodec interface {
	Decode(b []byte) (any, int, error)
	Append(b []byte, m any) ([]byte, error)
}

// requireDecodes checks that the bytes, with others after them, decode to the whole message that is wanted.
func requireDecodes(t *testing.T, c messageCodec, b []byte, want codec.Message) {
	t.Helper()
	m, n, err := c.Decode(append(b[:len(b):len(b)], '{'))
	require.NoError(t, err)
	assert.Equal(t, len(b), n)
	require.IsType(t, want, m)
	got := m.(codec.Message)
	// Loads are compared as text, since a value that is lacking is not equal to itself.
	assert.Equal(t, describeLoad(want), describeLoad(got))
	wantLoad, gotLoad := want.Envelope().Load, got.Envelope().Load
	want.Envelope().Load, got.Envelope().Load = nil, nil
	assert.Equal(t, want, got)
	want.Envelope().Load, got.Envelope().Load = wantLoad, gotLoad
}

func describeLoad(m codec.Message) string {
	if load := m.Envelope().Load; load != nil {
		return fmt.Sprintf("%+v", *load)
	}
	return "none"
}

// requireEncodes checks that the message is encoded, after what the buffer holds, to the bytes that are wanted.
func requireEncodes(t *testing.T, c messageCodec, m codec.Message, want string) {
	t.Helper()
	b, err := c.Append([]byte("before"), m)
	require.NoError(t, err)
	assert.Equal(t, "before"+want, string(b))
}

func requireUnsupported(t *testing.T, c messageCodec, m codec.Message) {
	t.Helper()
	b, err := c.Append([]byte("before"), m)
	require.ErrorIs(t, err, codec.ErrUnsupported)
	assert.Equal(t, "before", string(b))
}

// nodeMessageBytes returns the message that a line holds in hexadecimal digits, with one part of the digits replaced and the length
// in front of the message set anew.
func nodeMessageBytes(t *testing.T, line string, r replacement) []byte {
	t.Helper()
	b, err := hex.DecodeString(r.apply(t, line))
	require.NoError(t, err)
	if r != (replacement{}) {
		binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	}
	return b
}

func TestNodeMessages_EncodeAsStored(t *testing.T) {
	want := nodeMessages()
	lines := storedLines(t, "platform/node-messages.txt")
	require.Len(t, lines, len(want))
	for i, line := range lines {
		t.Run(fmt.Sprintf("line %d", i+1), func(t *testing.T) {
			if want[i].unsupported {
				requireUnsupported(t, codec.NodeCodec{}, want[i].decoded)
				return
			}
			requireEncodes(t, codec.NodeCodec{}, want[i].decoded, string(nodeMessageBytes(t, line, want[i].difference)))
		})
	}
}

func TestNodeMessages_StoredBytesDecodeToTheSameMessage(t *testing.T) {
	want := nodeMessages()
	lines := storedLines(t, "platform/node-messages.txt")
	require.Len(t, lines, len(want))
	for i, line := range lines {
		t.Run(fmt.Sprintf("line %d", i+1), func(t *testing.T) {
			requireDecodes(t, codec.NodeCodec{}, nodeMessageBytes(t, line, replacement{}), want[i].decoded)
		})
	}
}

// verbCodes are the types of binary messages, in hexadecimal digits.
var verbCodes = map[string]string{"FINISH": "0c", "FINISHED": "10", "MOVE": "33", "ECHOED": "35"}

func TestNodeMessages_CausesAreThoseStored(t *testing.T) {
	const typeAt = 4 // after two bytes of length
	lines := storedLines(t, "platform/node-messages.txt")
	for _, m := range retypedMessages() {
		t.Run(fmt.Sprintf("line %d", m.line+1), func(t *testing.T) {
			line := lines[m.line]
			require.Equal(t, verbCodes[m.from], line[typeAt:typeAt+2])
			line = line[:typeAt] + verbCodes[m.to] + line[typeAt+2:]
			if m.line == 4 { // the only one with a load report
				m.decoded.Envelope().Load = loadReport(1)
				m.difference = replacement{"220004" + hex.EncodeToString([]byte("x0:1")), ""}
			}
			requireDecodes(t, codec.NodeCodec{}, nodeMessageBytes(t, line, replacement{}), m.decoded)
			requireEncodes(t, codec.NodeCodec{}, m.decoded, string(nodeMessageBytes(t, line, m.difference)))
		})
	}
}

// The stored note has a kind that cannot be used. With one that can, its figure is decoded.
func TestNodeMessages_StoredNoteOfAKnownKindIsDecoded(t *testing.T) {
	const cores, cpu = "1e0005636f726573", "1e0003637075"
	b := nodeMessageBytes(t, storedLines(t, "platform/node-messages.txt")[5], replacement{cores, cpu})
	note := &codec.Note{Header: header(5), Kind: placement.CoresUsed, Value: 2.5}
	requireDecodes(t, codec.NodeCodec{}, b, note)
	requireUnsupported(t, codec.NodeCodec{}, note)
}

func TestClientLines_EncodeAsStored(t *testing.T) {
	want := clientMessages()
	lines := storedLines(t, "platform/client-lines-sent.txt")
	require.Len(t, lines, len(want))
	for i, line := range lines {
		t.Run(fmt.Sprintf("line %d", i+1), func(t *testing.T) {
			if want[i].unsupported {
				requireUnsupported(t, codec.ClientCodec{}, want[i].decoded)
				return
			}
			requireEncodes(t, codec.ClientCodec{}, want[i].decoded, want[i].difference.apply(t, line)+"\n")
		})
	}
	requireUnsupported(t, codec.ClientCodec{}, nodeMessages()[0].decoded) // the offer, which the first line was encoded from
}

// A confirmation's description is the only text that a client gets. The stored one is that of a request.
func TestClientLines_DescriptionIsEncodedAsStored(t *testing.T) {
	line := storedLines(t, "platform/client-lines-sent.txt")[0]
	want := replacement{`"START"`, `"STARTED"`}.apply(t, line) + "\n"
	confirmation := codec.NewConfirmation(offerTag, offerDescription)
	requireEncodes(t, codec.ClientCodec{}, confirmation, want)
	requireDecodes(t, codec.ClientCodec{}, []byte(want), confirmation)
}

func TestClientLines_CausesAreThoseStored(t *testing.T) {
	checkAll := func(t *testing.T, lines []string) {
		t.Helper()
		for _, m := range retypedMessages() {
			t.Run(fmt.Sprintf("line %d", m.line+1), func(t *testing.T) {
				line := replacement{`"` + m.from + `"`, `"` + m.to + `"`}.apply(t, lines[m.line]) + "\n"
				requireDecodes(t, codec.ClientCodec{}, []byte(line), m.decoded)
				requireEncodes(t, codec.ClientCodec{}, m.decoded, line)
			})
		}
	}
	t.Run("sent", func(t *testing.T) { checkAll(t, storedLines(t, "platform/client-lines-sent.txt")) })
	// The lines that are received have one request more.
	t.Run("received", func(t *testing.T) { checkAll(t, storedLines(t, "platform/client-lines-received.txt")[1:]) })
}

// A line without a cause and a description has the form of a migration.
func TestClientLines_LineWithoutContentIsEncodedAsStored(t *testing.T) {
	lines := storedLines(t, "platform/client-lines-sent.txt")
	for i, verb := range map[int]string{1: "PENDING", 5: "NOTICE"} {
		line := replacement{`"` + verb + `"`, `"MOVE"`}.apply(t, lines[i]) + "\n"
		requireEncodes(t, codec.ClientCodec{}, codec.NewMigration(codec.Tag(i)), line)
	}
}

func TestClientLines_StoredLinesDecodeToTheirMessages(t *testing.T) {
	decodeAll := func(t *testing.T, name string, want []codec.Message) {
		t.Helper()
		lines := storedLines(t, name)
		require.Len(t, lines, len(want))
		for i, line := range lines {
			t.Run(fmt.Sprintf("line %d", i+1), func(t *testing.T) {
				requireDecodes(t, codec.ClientCodec{}, []byte(line+"\n"), want[i])
			})
		}
	}
	var sent []codec.Message
	for _, m := range clientMessages() {
		sent = append(sent, m.decoded)
	}
	t.Run("sent", func(t *testing.T) { decodeAll(t, "platform/client-lines-sent.txt", sent) })

	retried := storedRequest()
	retried.Service, retried.Retried = 7, true
	received := append([]codec.Message{invalidRequest("extras", "a list with the cores and the memory"), retried}, sent[1:]...)
	t.Run("received", func(t *testing.T) { decodeAll(t, "platform/client-lines-received.txt", received) })
}

// storedRequest is the request of client-lines-received.txt.
func storedRequest() *codec.PlaceRequest {
	return &codec.PlaceRequest{
		Header: header(offerTag), Timeout: 1500,
		Task: codec.Task{Class: "tiles", Key: offerKey, Description: offerDescription, Cores: 1, Memory: 2},
	}
}

// The first stored request does not say what the workload needs, so it is invalid. Once it does, its other fields are decoded: a
// number as an option, an option that is not known, and a character in its escaped form.
func TestClientLines_StoredRequestWithExtrasIsDecoded(t *testing.T) {
	const unknown = `"later":[1]`
	line := storedLines(t, "platform/client-lines-received.txt")[0]
	line = replacement{unknown, unknown + `,"extras":"cores:1;memory:2"`}.apply(t, line)
	requireDecodes(t, codec.ClientCodec{}, []byte(line+"\n"), storedRequest())
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
