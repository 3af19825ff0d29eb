package platform

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/placement"
)

// idempotentLine returns a request whose first bind times out after 1.2 s.
func idempotentLine(tag codec.Tag) string {
	return strings.NewReplacer("trace", "tiles", "6000", "2400").Replace(requestLine(tag, 10))
}

// Guards against a bind that times out although its node has replied: the reply was read and is queued behind our own
// work.
func TestBinder_ReplyQueuedWhenTheBindIsDue_Confirmed(t *testing.T) {
	t.Parallel()
	harness := startOnSockets(t)
	client := harness.dialClient(t)
	_, err := client.Write([]byte(idempotentLine(7)))
	require.NoError(t, err)
	harness.node.delay.Store(int64(50 * time.Millisecond))
	require.Eventually(t, func() bool { return harness.node.offers.Load() == 1 }, eventTimeout, time.Millisecond)
	harness.loop.Call(harness.Frontend, func(placement.Millis) { time.Sleep(1800 * time.Millisecond) })
	answer, err := bufio.NewReader(client).ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, answer, `{"verb":"STARTED","tag":"0000000000000007"`)
	assert.Equal(t, int64(1), harness.node.offers.Load())
}
