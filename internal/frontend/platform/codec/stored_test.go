package codec

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/settings"
	"grebeglade/placement"
)

// storedMessages reads testdata/messages.txt, which has a name and a quoted message on each line. The messages from
// clients are the examples of the platform's documentation; all others are output of the encoders at commit 51e6872.
func storedMessages(t *testing.T) map[string]string {
	t.Helper()
	b, err := os.ReadFile("testdata/messages.txt")
	require.NoError(t, err)
	stored := map[string]string{}
	for text := range strings.Lines(string(b)) {
		name, quoted, _ := strings.Cut(strings.TrimSuffix(text, "\n"), " ")
		stored[name], err = strconv.Unquote(quoted)
		require.NoError(t, err, name)
	}
	return stored
}

const storedDescription = "v=0\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 <RTP> é\u2028\r\n"

// sentToPeers are the stored messages that the allocator sends.
func sentToPeers() map[string]Message {
	return map[string]Message{
		"to-node/offer": &Offer{
			Header:      Header{Tag: sampleTag},
			Class:       "tiles",
			Key:         "7f3a9c21e0b4d655",
			Timeout:     1500,
			Description: storedDescription,
		},
		"to-node/release":                               NewTermination(sampleTag, CauseNormal),
		"to-node/health-check":                          NewHealthCheck(7),
		"to-client/confirmation":                        NewConfirmation(sampleTag, storedDescription),
		"to-client/confirmation-with-empty-description": NewConfirmation(sampleTag, ""),
		"to-client/rejected":                            NewTermination(sampleTag, CauseNoCapacity),
		"to-client/unschedulable":                       NewTermination(sampleTag, CauseReset),
		"to-client/invalid":                             NewTermination(sampleTag, CauseInvalid),
		"to-client/end":                                 NewTermination(sampleTag, CauseNormal),
		"to-client/migration":                           NewMigration(sampleTag),
		"to-client/health-check-passed":                 NewHealthReply(1, true),
		"to-client/health-check-failed":                 NewHealthReply(1, false),
	}
}

// headerWithLoad returns a header with a load report that has the given fields.
func headerWithLoad(tag Tag, fields map[string]float64) Header {
	load := settings.UnknownLoad()
	for name, value := range fields {
		settings.SetLoadField(load, name, value)
	}
	return Header{Tag: tag, Load: load}
}

// receivedFromNodes are the stored messages that nodes send, except terminations.
func receivedFromNodes() map[string]Message {
	header := Header{Tag: sampleTag}
	return map[string]Message{
		"from-node/confirmation":                        NewConfirmation(sampleTag, storedDescription),
		"from-node/confirmation-with-empty-description": NewConfirmation(sampleTag, ""),
		"from-node/confirmation-with-load": &Confirmation{
			Header:      headerWithLoad(sampleTag, map[string]float64{"x0": 12, "x1": 40, "queue": 3, "util": 0.5}),
			Description: NewDescription(storedDescription),
		},
		"from-node/running": &UsageReport{Header: header, Kind: placement.Running},
		"from-node/cores-used": &UsageReport{
			Header: header,
			Kind:   placement.CoresUsed,
			Value:  2.5,
		},
		"from-node/health-reply":    &HealthReply{Header: headerWithLoad(7, map[string]float64{"x0": 3}), Passed: true},
		"from-node/progress":        &Ignorable{header},
		"from-node/acknowledgement": &Ignorable{header},
	}
}

// terminationsFromNodes are the stored terminations that nodes send.
func terminationsFromNodes() map[string]Message {
	ended := func(reason placement.Reason) *Termination {
		return &Termination{
			Header: Header{Tag: sampleTag},
			Cause:  CauseReset,
			Reason: reason,
		}
	}
	return map[string]Message{
		"from-node/rejection": &Termination{
			Header: headerWithLoad(sampleTag, map[string]float64{"x0": 1.5, "x1": 2, "queue": 4, "util": 0.25}),
			Cause:  CauseNoCapacity,
			Reason: placement.InsufficientCores,
		},
		"from-node/not-delivered":    NewTermination(sampleTag, CauseNotDelivered),
		"from-node/reset":            NewTermination(sampleTag, CauseReset),
		"from-node/error":            NewTermination(sampleTag, CauseError),
		"from-node/cancelled":        NewTermination(sampleTag, CauseCancelled),
		"from-node/end":              NewTermination(sampleTag, CauseNormal),
		"from-node/ended-mem_full":   ended(placement.InsufficientMemory),
		"from-node/ended-busy":       ended(placement.QueueFull),
		"from-node/ended-wrong_host": ended(placement.WrongNode),
		"from-node/ended-oom":        ended(placement.Evicted),
		"from-node/ended-preempted":  ended(placement.Preempted),
		"from-node/ended-drained":    ended(placement.Drained),
	}
}

// receivedFromClients are the stored messages that clients send.
func receivedFromClients() map[string]Message {
	header := Header{Tag: sampleTag}
	task := Task{
		Class:       "batch",
		Key:         "7f3a9c21e0b4d655",
		Description: "x",
		Service:     0xb4d65521,
		Cores:       1,
		Memory:      2,
	}
	request := task
	retried := task
	request.Description = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n"
	retried.Retried = true
	return map[string]Message{
		"from-client/request": &PlaceRequest{
			Header:  header,
			Task:    request,
			Timeout: 1500,
		},
		"from-client/request-retried": &PlaceRequest{
			Header:  header,
			Task:    retried,
			Timeout: 1500,
		},
		"from-client/running": &AdoptRequest{
			Header: header,
			Task:   task,
			Node:   "s-00c41f7a",
		},
		"from-client/cancellation":    NewTermination(sampleTag, CauseNormal),
		"from-client/health-check":    NewHealthCheck(1),
		"from-client/acknowledgement": &Ignorable{header},
	}
}

// codecOf returns the codec of the stored message with the given name.
func codecOf(name string) codecUnderTest {
	if strings.Contains(name, "-client/") {
		return ClientCodec{}
	}
	return NodeCodec{}
}

type codecUnderTest interface {
	Decode(b []byte) (any, int, error)
	Append(b []byte, m any) ([]byte, error)
}

func TestCodecs_EncodeAsStored(t *testing.T) {
	stored := storedMessages(t)
	for name, message := range sentToPeers() {
		t.Run(name, func(t *testing.T) {
			b, err := codecOf(name).Append(nil, message)
			require.NoError(t, err)
			assert.Equal(t, stored[name], string(b))
		})
	}
	b, err := (&DiscoveryCodec{}).Append(nil, Subscribe{Host: "10.0.0.1:7070", After: 41})
	require.NoError(t, err)
	assert.Equal(t, stored["to-discovery/subscribe"], string(b))
}

func TestCodecs_DecodeStored(t *testing.T) {
	stored := storedMessages(t)
	decoded := 1 // starts at 1 for the message to the discovery service, which is only encoded
	for _, messages := range []map[string]Message{
		sentToPeers(),
		receivedFromNodes(),
		terminationsFromNodes(),
		receivedFromClients(),
	} {
		for name, want := range messages {
			t.Run(name, func(t *testing.T) {
				message, n, err := codecOf(name).Decode([]byte(stored[name]))
				require.NoError(t, err)
				assert.Equal(t, len(stored[name]), n)
				require.IsType(t, want, message)
				assert.Equal(t, describe(want), describe(message.(Message)))
			})
			decoded++
		}
	}
	assert.Len(t, stored, decoded, "each stored message is decoded")
}
