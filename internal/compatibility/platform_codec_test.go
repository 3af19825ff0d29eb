package compatibility_test

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/settings"
	"grebeglade/placement"
)

// The lines of the stored files combine verbs, causes and fields freely, in both directions. Some of them are therefore
// messages that the allocator never sends: a load report, a migration to a node or one with a cause, a health check
// without a cause, and all with the verbs PENDING, FINISHED and NOTICE. These lines test decoding. If the allocator
// sends a message in another form, that form differs from the stored line in one part, which storedMessage.difference
// specifies; if the allocator never sends the message, encoding it is an error.
//
// The allocator ignores some parts of such lines: most of the causes, and a usage report of an unsupported kind. To
// test these parts, the verb or the kind is replaced by one for which the allocator decodes them. The flag -update does
// not rewrite the messages of nodes and clients.

// Files of testdata.
const (
	nodeMessagesFile        = "platform/node-messages.txt"
	clientLinesSentFile     = "platform/client-lines-sent.txt"
	clientLinesReceivedFile = "platform/client-lines-received.txt"
)

// Indices of lines in nodeMessagesFile and clientLinesSentFile, and numbers of lines.
const (
	offerLine        = 0
	pendingLine      = 1
	loadReportLine   = 4 // ignorable message with a load report
	usageReportLine  = 5
	migrationLine    = 6
	firstCauseLine   = 9 // first of the lines that each have one cause
	causeLineCount   = 9
	healthCauseCount = 2 // number of causes of health replies, which come first; the others are causes of terminations
)

// replacement replaces a part of a stored line, which must occur exactly once. The zero value replaces nothing.
type replacement struct{ old, new string }

// apply returns the text with the part replaced.
func (r replacement) apply(t *testing.T, text string) string {
	t.Helper()
	if r == (replacement{}) {
		return text
	}
	require.Equal(t, 1, strings.Count(text, r.old), "%q in %q", r.old, text)
	return strings.Replace(text, r.old, r.new, 1)
}

// storedMessage is the expected message of a stored line.
type storedMessage struct {
	decoded     codec.Message
	unsupported bool        // decoded cannot be encoded
	difference  replacement // turns the stored line into the encoding of decoded
}

// Tags of stored messages.
const (
	offerTag         = codec.Tag(0x9b1f03aa5c7e2d41)
	loadReportTag    = codec.Tag(loadReportLine)
	usageReportTag   = codec.Tag(usageReportLine)
	migrationTag     = codec.Tag(migrationLine)
	firstCauseTag    = codec.Tag(100)
	firstEndCauseTag = firstCauseTag + healthCauseCount
	lastTag          = codec.Tag(1<<64 - 1)
)

// Other values of stored messages.
const (
	storedTimeoutMs  = 1500
	storedUsedCores  = 2.5
	offerKey         = "7f3a9c21e0b4d655"
	offerDescription = "v=0\r\nm=audio 31000 <RTP> é\r\n"
)

// loadReport returns a load report with the spare cores, the first value, and the spare memory, the second. Values that
// are not given are unknown.
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

// ignoredCauses returns the messages with the verb FINISHED and one cause each, which the allocator ignores.
func ignoredCauses() (messages []storedMessage) {
	for i := range codec.Tag(causeLineCount) {
		messages = append(messages, ignorable(firstCauseTag+i))
	}
	return messages
}

// retypedMessage is the expected message of a stored line whose verb is replaced by one for which the allocator decodes
// all parts of the line.
type retypedMessage struct {
	line    int // zero-based, as in nodeMessages and clientMessages
	oldVerb string
	newVerb string
	storedMessage
}

// newRetypedMessage returns the message of a line whose verb is replaced.
func newRetypedMessage(line int, oldVerb, newVerb string, decoded codec.Message) retypedMessage {
	return retypedMessage{
		line:          line,
		oldVerb:       oldVerb,
		newVerb:       newVerb,
		storedMessage: storedMessage{decoded: decoded},
	}
}

// retypedMessages returns the messages of lines whose stored verb makes the allocator ignore parts, mostly causes.
func retypedMessages() []retypedMessage {
	messages := []retypedMessage{
		newRetypedMessage(loadReportLine, "FINISHED", "FINISH", codec.NewTermination(loadReportTag, codec.CauseNormal)),
		newRetypedMessage(migrationLine, "MOVE", "FINISH", codec.NewTermination(migrationTag, codec.CauseNotDelivered)),
		newRetypedMessage(firstCauseLine, "FINISHED", "ECHOED", codec.NewHealthReply(firstCauseTag, false)),
		newRetypedMessage(firstCauseLine+1, "FINISHED", "ECHOED", codec.NewHealthReply(firstCauseTag+1, true)),
	}
	for i, cause := range []codec.Cause{
		codec.CauseNormal,
		codec.CauseCancelled,
		codec.CauseNoCapacity,
		codec.CauseReset,
		codec.CauseError,
		codec.CauseInvalid,
		codec.CauseNotDelivered,
	} {
		termination := codec.NewTermination(firstEndCauseTag+codec.Tag(i), cause)
		line := firstCauseLine + healthCauseCount + i
		messages = append(messages, newRetypedMessage(line, "FINISHED", "FINISH", termination))
	}
	return messages
}

// nodeMessages returns the messages of nodeMessagesFile, in its order: one of each verb, with all fields that nodes
// decode, then one with each cause.
func nodeMessages() []storedMessage {
	const causeZero = "2c000100"
	confirmation := &codec.Confirmation{
		Header:      codec.Header{Tag: 2, Load: loadReport(0.5, 12)},
		Description: codec.NewDescription(""),
	}
	healthReply := &codec.HealthReply{
		Header: codec.Header{Tag: lastTag, Load: loadReport()},
		Passed: true,
	}
	return append([]storedMessage{
		{decoded: storedOffer()},
		ignorable(1),
		{
			decoded:    confirmation,
			difference: replacement{"22000c" + hex.EncodeToString([]byte("x0:0.5;x1:12")), ""},
		},
		{decoded: codec.NewTermination(3, codec.CauseCancelled)},
		{
			decoded:     &codec.Ignorable{Header: codec.Header{Tag: loadReportTag, Load: loadReport(1)}},
			unsupported: true,
		},
		ignorable(usageReportTag), // unsupported kind
		{decoded: codec.NewMigration(migrationTag), unsupported: true},
		{
			decoded:    codec.NewHealthCheck(7),
			difference: replacement{"0000000000000007", "0000000000000007" + causeZero},
		},
		{decoded: healthReply, difference: replacement{"220000", ""}},
	}, ignoredCauses()...)
}

// storedOffer returns the message of offerLine.
func storedOffer() *codec.Offer {
	return &codec.Offer{
		Header:      header(offerTag),
		Class:       "tiles",
		Key:         offerKey,
		Timeout:     storedTimeoutMs,
		Description: offerDescription,
	}
}

// clientMessages returns the messages of clientLinesSentFile, in its order. Except for the requests,
// clientLinesReceivedFile has the same messages.
func clientMessages() []storedMessage {
	return append([]storedMessage{
		{decoded: invalidRequest("key", "of 1 to 64 bytes"), unsupported: true},
		ignorable(1),
		{decoded: codec.NewConfirmation(2, "")},
		{decoded: codec.NewTermination(3, codec.CauseCancelled)},
		ignorable(loadReportTag),
		ignorable(usageReportTag),
		{decoded: codec.NewMigration(migrationTag), difference: replacement{`,"rc":102`, ""}},
		{decoded: codec.NewHealthCheck(7), difference: replacement{`"opts":{}`, `"opts":{},"rc":0`}},
		{decoded: codec.NewHealthReply(lastTag, true)},
	}, ignoredCauses()...)
}

// invalidRequest returns a request in which a field is missing or malformed.
func invalidRequest(field, want string) *codec.Invalid {
	return &codec.Invalid{Header: header(offerTag), Err: &codec.FieldError{Field: field, Want: want}}
}

// messageCodec encodes and decodes the messages of one kind of connection.
type messageCodec interface {
	Decode(b []byte) (any, int, error)
	Append(b []byte, m any) ([]byte, error)
}

// requireDecodes checks that bytes, followed by another byte, decode to a message that consumes exactly these bytes.
func requireDecodes(t *testing.T, c messageCodec, encoded []byte, want codec.Message) {
	t.Helper()
	decoded, size, err := c.Decode(append(slices.Clone(encoded), '{'))
	require.NoError(t, err)
	assert.Equal(t, len(encoded), size)
	require.IsType(t, want, decoded)
	requireEqualMessages(t, want, decoded.(codec.Message))
}

// requireEqualMessages compares two messages. Load reports are compared as text, because a missing value in them is
// NaN, which does not equal itself.
func requireEqualMessages(t *testing.T, want, got codec.Message) {
	t.Helper()
	assert.Equal(t, describeLoad(want), describeLoad(got))
	wantLoad := want.Envelope().Load
	gotLoad := got.Envelope().Load
	want.Envelope().Load = nil
	got.Envelope().Load = nil
	assert.Equal(t, want, got)
	want.Envelope().Load = wantLoad
	got.Envelope().Load = gotLoad
}

func describeLoad(m codec.Message) string {
	if load := m.Envelope().Load; load != nil {
		return fmt.Sprintf("%+v", *load)
	}
	return "none"
}

// bufferedBytes is the content of a buffer before a message is appended.
const bufferedBytes = "before"

// requireEncodes checks that encoding a message appends the wanted bytes to a buffer.
func requireEncodes(t *testing.T, c messageCodec, m codec.Message, want string) {
	t.Helper()
	buffer, err := c.Append([]byte(bufferedBytes), m)
	require.NoError(t, err)
	assert.Equal(t, bufferedBytes+want, string(buffer))
}

// requireUnsupported checks that encoding a message is an error, and does not change the buffer.
func requireUnsupported(t *testing.T, c messageCodec, m codec.Message) {
	t.Helper()
	buffer, err := c.Append([]byte(bufferedBytes), m)
	require.ErrorIs(t, err, codec.ErrUnsupported)
	assert.Equal(t, bufferedBytes, string(buffer))
}

// nodeMessageLengthSize is the size in bytes of the length prefix of a node's message.
const nodeMessageLengthSize = 2

// nodeMessageBytes decodes a line of hexadecimal digits to a message, after replacing one part of the digits. It
// corrects the length in front of the message.
func nodeMessageBytes(t *testing.T, line string, r replacement) []byte {
	t.Helper()
	message, err := hex.DecodeString(r.apply(t, line))
	require.NoError(t, err)
	if r != (replacement{}) {
		binary.BigEndian.PutUint16(message, uint16(len(message)-nodeMessageLengthSize))
	}
	return message
}

func TestNodeMessages_EncodeAsStored(t *testing.T) {
	want := nodeMessages()
	lines := storedLines(t, nodeMessagesFile)
	require.Len(t, lines, len(want))
	for i, line := range lines {
		t.Run(fmt.Sprintf("line %d", i+1), func(t *testing.T) {
			if want[i].unsupported {
				requireUnsupported(t, codec.NodeCodec{}, want[i].decoded)
				return
			}
			encoded := nodeMessageBytes(t, line, want[i].difference)
			requireEncodes(t, codec.NodeCodec{}, want[i].decoded, string(encoded))
		})
	}
}

func TestNodeMessages_StoredBytes_DecodeToSameMessage(t *testing.T) {
	want := nodeMessages()
	lines := storedLines(t, nodeMessagesFile)
	require.Len(t, lines, len(want))
	for i, line := range lines {
		t.Run(fmt.Sprintf("line %d", i+1), func(t *testing.T) {
			requireDecodes(t, codec.NodeCodec{}, nodeMessageBytes(t, line, replacement{}), want[i].decoded)
		})
	}
}

// verbCodes are the type codes of binary messages by verb, in hexadecimal digits.
var verbCodes = map[string]string{
	"FINISH":   "0c",
	"FINISHED": "10",
	"MOVE":     "33",
	"ECHOED":   "35",
}

func TestNodeMessages_Causes_AsStored(t *testing.T) {
	const (
		codeStart = 2 * nodeMessageLengthSize // in hexadecimal digits
		codeEnd   = codeStart + 2
	)
	lines := storedLines(t, nodeMessagesFile)
	for _, m := range retypedMessages() {
		t.Run(fmt.Sprintf("line %d", m.line+1), func(t *testing.T) {
			line := lines[m.line]
			require.Equal(t, verbCodes[m.oldVerb], line[codeStart:codeEnd])
			line = line[:codeStart] + verbCodes[m.newVerb] + line[codeEnd:]
			if m.line == loadReportLine {
				m.decoded.Envelope().Load = loadReport(1)
				m.difference = replacement{"220004" + hex.EncodeToString([]byte("x0:1")), ""}
			}
			requireDecodes(t, codec.NodeCodec{}, nodeMessageBytes(t, line, replacement{}), m.decoded)
			requireEncodes(t, codec.NodeCodec{}, m.decoded, string(nodeMessageBytes(t, line, m.difference)))
		})
	}
}

// The stored usage report has the unsupported kind "cores". With the kind "cpu" instead, its value is decoded.
func TestNodeMessages_UsageReportOfSupportedKind_Decoded(t *testing.T) {
	const (
		cores = "1e0005636f726573"
		cpu   = "1e0003637075"
	)
	line := storedLines(t, nodeMessagesFile)[usageReportLine]
	report := &codec.UsageReport{
		Header: header(usageReportTag),
		Kind:   placement.CoresUsed,
		Value:  storedUsedCores,
	}
	requireDecodes(t, codec.NodeCodec{}, nodeMessageBytes(t, line, replacement{cores, cpu}), report)
	requireUnsupported(t, codec.NodeCodec{}, report)
}

func TestClientLines_EncodeAsStored(t *testing.T) {
	want := clientMessages()
	lines := storedLines(t, clientLinesSentFile)
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
	requireUnsupported(t, codec.ClientCodec{}, storedOffer()) // the message of the first line
}

// Confirmations are the only messages to clients with a description. The stored line with a description is a request,
// so its verb is replaced.
func TestClientLines_Description_EncodedAsStored(t *testing.T) {
	line := storedLines(t, clientLinesSentFile)[offerLine]
	want := replaceVerb(t, line, "START", "STARTED") + "\n"
	confirmation := codec.NewConfirmation(offerTag, offerDescription)
	requireEncodes(t, codec.ClientCodec{}, confirmation, want)
	requireDecodes(t, codec.ClientCodec{}, []byte(want), confirmation)
}

// replaceVerb replaces the verb of a client's line.
func replaceVerb(t *testing.T, line, oldVerb, newVerb string) string {
	t.Helper()
	return replacement{`"` + oldVerb + `"`, `"` + newVerb + `"`}.apply(t, line)
}

func TestClientLines_Causes_AsStored(t *testing.T) {
	checkAll := func(t *testing.T, lines []string) {
		t.Helper()
		for _, m := range retypedMessages() {
			t.Run(fmt.Sprintf("line %d", m.line+1), func(t *testing.T) {
				line := replaceVerb(t, lines[m.line], m.oldVerb, m.newVerb) + "\n"
				requireDecodes(t, codec.ClientCodec{}, []byte(line), m.decoded)
				requireEncodes(t, codec.ClientCodec{}, m.decoded, line)
			})
		}
	}
	t.Run("sent", func(t *testing.T) { checkAll(t, storedLines(t, clientLinesSentFile)) })
	// The received lines begin with one more request than the sent ones.
	t.Run("received", func(t *testing.T) { checkAll(t, storedLines(t, clientLinesReceivedFile)[1:]) })
}

// A line without a cause and a description is encoded like a migration, so a migration tests its encoding.
func TestClientLines_WithoutContent_EncodedAsStored(t *testing.T) {
	lines := storedLines(t, clientLinesSentFile)
	for i, verb := range map[int]string{pendingLine: "PENDING", usageReportLine: "NOTICE"} {
		line := replaceVerb(t, lines[i], verb, "MOVE") + "\n"
		requireEncodes(t, codec.ClientCodec{}, codec.NewMigration(codec.Tag(i)), line)
	}
}

func TestClientLines_StoredLines_DecodeToSameMessage(t *testing.T) {
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
	t.Run("sent", func(t *testing.T) { decodeAll(t, clientLinesSentFile, sent) })

	withoutExtras := invalidRequest("extras", "a list with the cores and the memory")
	retried := storedRequest()
	retried.Service = 7
	retried.Retried = true
	received := append([]codec.Message{withoutExtras, retried}, sent[1:]...)
	t.Run("received", func(t *testing.T) { decodeAll(t, clientLinesReceivedFile, received) })
}

// storedRequest returns what both requests of clientLinesReceivedFile decode to, except that the first line lacks the
// cores and memory and the second line has more fields.
func storedRequest() *codec.PlaceRequest {
	return &codec.PlaceRequest{
		Header:  header(offerTag),
		Timeout: storedTimeoutMs,
		Task: codec.Task{
			Class:       "tiles",
			Key:         offerKey,
			Description: offerDescription,
			Cores:       1,
			Memory:      2,
		},
	}
}

// The first stored request is invalid, because it lacks the workload's cores and memory. With them added, the other
// parts of its line are decoded: a number as an option, an unknown option, and an escaped character.
func TestClientLines_RequestWithExtras_Decoded(t *testing.T) {
	const unknownOption = `"later":[1]`
	line := storedLines(t, clientLinesReceivedFile)[0]
	line = replacement{unknownOption, unknownOption + `,"extras":"cores:1;memory:2"`}.apply(t, line)
	requireDecodes(t, codec.ClientCodec{}, []byte(line+"\n"), storedRequest())
}

func TestDiscoveryRequest_EncodesAsStored(t *testing.T) {
	request, err := (&codec.DiscoveryCodec{}).Append(nil, codec.Subscribe{Host: "127.0.0.8:7070", After: 41})
	require.NoError(t, err)
	compareWithStored(t, "platform/discovery-request.txt", string(request))
}

func TestDiscoveryStream_StoredStreams_DecodeToEvents(t *testing.T) {
	const data = `{"pos":%d,"hosts":{"index":%d,"snapshot":true,"endpoints":[` +
		`{"name":"s-01","address":"127.0.0.9:5080","zone":"z",` +
		`"type":"small","group":0,"status":"Ready","weight":1,"since_ms":0,"room":[20,40]}]}}`
	want := []codec.Event{
		{Revision: 42, Data: fmt.Appendf(nil, data, 42, 42)},
		{Revision: 43, Data: []byte("{\"pos\":43,\n\"cable\":{}}")},
	}
	for _, name := range []string{"platform/discovery-stream-plain.txt", "platform/discovery-stream-chunked.txt"} {
		t.Run(name, func(t *testing.T) {
			got, rest := decodeEvents(t, []byte(strings.Join(storedLines(t, name), "\n")+"\n"))
			assert.Empty(t, string(rest))
			assert.Equal(t, want, got)
		})
	}
}

// decodeEvents decodes a discovery stream, and returns its events and the bytes that were not decoded.
func decodeEvents(t *testing.T, stream []byte) (events []codec.Event, rest []byte) {
	t.Helper()
	var decoder codec.DiscoveryCodec
	rest = stream
	for len(rest) > 0 {
		message, size, err := decoder.Decode(rest)
		require.NoError(t, err)
		if size == 0 {
			break
		}
		if batch, ok := message.(*codec.EventBatch); ok && batch != nil {
			events = append(events, batch.Events...)
		}
		rest = rest[size:]
	}
	return events, rest
}
