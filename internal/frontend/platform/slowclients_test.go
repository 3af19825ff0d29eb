package platform

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
)

// requestLine returns a client's request with a description of the given size in bytes.
func requestLine(tag codec.Tag, descriptionSize int) string {
	const format = `{"verb":"START","tag":%q,"opts":{"class":"tiles","left":"6000","extras":"cores:1;memory:2"},"blob":%q}`
	return fmt.Sprintf(format+"\n", tag, strings.Repeat("d", descriptionSize))
}

// dialClient connects a client until the end of the test.
func (h *socketHarness) dialClient(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // the test or the frontend may have closed it
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(eventTimeout)))
	return conn
}

// Guards against a time limit for the first message that counts whole messages: a request that takes longer to arrive
// was cut off, on each new connection again.
func TestClientConns_FirstMessageArrivesSlowly_Answered(t *testing.T) {
	t.Parallel()
	h := startOnSockets(t)
	client := h.dialClient(t)
	request := requestLine(7, 13_000)
	const pieceSize = 250 // 5 kB a second
	began := time.Now()
	for piece := range slices.Chunk([]byte(request), pieceSize) {
		_, err := client.Write(piece)
		require.NoError(t, err)
		time.Sleep(writeInterval)
	}
	require.Greater(t, time.Since(began).Milliseconds(), int64(firstMessageTimeout))
	answer, err := bufio.NewReader(client).ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, answer, codec.Tag(7).String())
}

// Guards against clients that hold a connection with a first message that they send byte by byte.
func TestClientConns_FirstMessageDrips_CutOff(t *testing.T) {
	t.Parallel()
	h := startOnSockets(t)
	client := h.dialClient(t)
	began := time.Now()
	go func() {
		for _, b := range []byte(requestLine(7, 10_000)) {
			if _, err := client.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(writeInterval)
		}
	}()
	_, err := bufio.NewReader(client).ReadString('\n')
	require.Error(t, err)
	assert.Less(t, time.Since(began).Milliseconds(), int64(3000), "the platform expects a reply or a close within 3 s")
}
