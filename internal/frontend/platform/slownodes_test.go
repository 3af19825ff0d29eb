package platform

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a message timeout that cuts off a node's reply that arrives slowly: the bind, and all others on the
// connection, ended with an unknown result, so that the client was told that its workload may have run.
func TestReplyHandler_ReplyArrivesSlowly_Answered(t *testing.T) {
	t.Parallel()
	harness := startOnSockets(t)
	harness.node.description = strings.Repeat("d", 13_000)
	harness.node.pieceSize = 250 // 5 kB a second
	client := harness.dialClient(t)
	began := time.Now()
	_, err := client.Write([]byte(requestLine(7, 10)))
	require.NoError(t, err)
	answer, err := bufio.NewReaderSize(client, 1<<16).ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, answer, `{"verb":"STARTED","tag":"0000000000000007"`)
	assert.Greater(t, time.Since(began).Milliseconds(), int64(2*messageTimeout))
}
