package pb

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Guards against histories that cannot be read after a field or enum value is renamed in wire.proto: frames are written
// as JSON with the former name, and both names can be read.
func TestRenamedIdentifiers_JSONKeepsTheFormerName(t *testing.T) {
	for _, test := range []struct {
		name    string
		message proto.Message
		former  string // JSON as written to histories
		present string // JSON with the names in wire.proto
	}{
		{
			name:    "field of a frame",
			message: &Frame{Body: &Frame_WorkloadEnded{WorkloadEnded: &WorkloadEnded{RequestId: 7}}},
			former:  `{"over":{"ask":"7"}}`,
			present: `{"workload_ended":{"request_id":"7"}}`,
		},
		{
			name:    "field of two words",
			message: &PlaceRequest{PendingTimeoutMs: 1.5},
			former:  `{"leftMs":1.5}`,
			present: `{"pending_timeout_ms":1.5}`,
		},
		{
			name:    "enum value",
			message: &Hello{Role: Role_CLIENT},
			former:  `{"role":"OWNER"}`,
			present: `{"role":"CLIENT"}`,
		},
		{
			name:    "enum value in a renamed field",
			message: &End{Reason: Reason_PREEMPTED},
			former:  `{"why":"PUSHED_OUT"}`,
			present: `{"reason":"PREEMPTED"}`,
		},
		{
			name:    "enum value in a nested enum",
			message: &NodeListUpdate{Kind: NodeListUpdate_SNAPSHOT},
			former:  `{"kind":"WHOLE"}`,
			present: `{"kind":"SNAPSHOT"}`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			written, err := protojson.Marshal(test.message)
			require.NoError(t, err)
			assert.JSONEq(t, test.former, string(written))
			for _, text := range []string{test.former, test.present} {
				read := test.message.ProtoReflect().New().Interface()
				require.NoError(t, protojson.Unmarshal([]byte(text), read))
				assert.True(t, proto.Equal(test.message, read), "%s: want %v, got %v", text, test.message, read)
			}
		})
	}
}

func TestRenamedEnumValues_NumbersAreThoseOfTheFormerNames(t *testing.T) {
	assert.Equal(t, Role_OWNER, Role_CLIENT)
	assert.Equal(t, Role_LIST, Role_DISCOVERY)
	assert.Equal(t, Reason_WHY_UNSPECIFIED, Reason_REASON_UNSPECIFIED)
	assert.Equal(t, Reason_NO_CORES, Reason_INSUFFICIENT_CORES)
	assert.Equal(t, Reason_NO_MEMORY, Reason_INSUFFICIENT_MEMORY)
	assert.Equal(t, Reason_TOO_MANY_WAITING, Reason_QUEUE_FULL)
	assert.Equal(t, Reason_NOT_HERE, Reason_WRONG_NODE)
	assert.Equal(t, Reason_PUSHED_OUT, Reason_PREEMPTED)
	assert.Equal(t, Reason_SENT_AWAY, Reason_DRAINED)
	assert.Equal(t, Reason_MOVED, Reason_MIGRATED)
	assert.Equal(t, Reason_LEASE_OVER, Reason_LEASE_EXPIRED)
	assert.Equal(t, NodeListUpdate_CHANGES, NodeListUpdate_DELTA)
	assert.Equal(t, NodeListUpdate_WHOLE, NodeListUpdate_SNAPSHOT)
	assert.Equal(t, NodeListUpdate_FAILED, NodeListUpdate_POLL_FAILED)
	assert.Equal(t, NodeEntry_GONE, NodeEntry_REMOVED)
}
