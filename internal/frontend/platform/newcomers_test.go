package platform

import (
	"bufio"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// settleTime is the time that the listener and an event loop have to accept connections or to read a message. Nothing
// tells when they have, while the frontend is busy.
const settleTime = 500 * time.Millisecond

// Guards against evicting a client whose first message has been received: while the frontend is busy, its message is
// queued behind the silent connections that are opened after it.
func TestClientConns_NewcomerBeforeAFloodOfSilentOnes_Served(t *testing.T) {
	t.Parallel()
	harness := startOnSockets(t)
	busy, resume := make(chan struct{}), make(chan struct{})
	go harness.loop.Call(harness.Frontend, func(placement.Millis) {
		close(busy)
		<-resume
	})
	<-busy
	newcomer := harness.dialClient(t)
	for range harness.config.maxClientConns() + extraClientConns - 1 {
		harness.dialClient(t) // sends nothing
	}
	time.Sleep(settleTime)
	_, err := newcomer.Write([]byte(requestLine(7, 10)))
	require.NoError(t, err)
	time.Sleep(settleTime)
	close(resume)
	answer, err := bufio.NewReader(newcomer).ReadString('\n')
	require.NoError(t, err)
	assert.Contains(t, answer, `{"verb":"STARTED","tag":"0000000000000007"`)
}

// Guards the order of eviction: connections of which nothing was received come before those whose first message is on
// its way, and these before those that have sent one.
func TestClientConns_FirstMessageIsOnItsWay_EvictedAfterSilentOnes(t *testing.T) {
	harness := newHarness(t)
	const receiving, queued, silent = otherConn, otherConn + 1, otherConn + 2
	for _, c := range []transport.ConnID{receiving, queued, silent} {
		harness.openConn(c)
	}
	harness.network.receiving[receiving] = true
	harness.network.queued[queued] = true
	harness.receive(harness.clientConn, request(7))
	limit := harness.config.maxClientConns()
	for i := range limit - 4 + 1 {
		harness.openConn(silent + 1 + transport.ConnID(i))
	}
	assert.True(t, harness.network.closed[silent], "the first connection above the limit evicts a silent one")
	assert.False(t, harness.network.closed[receiving])
	assert.False(t, harness.network.closed[queued])
	for i := range 2 * limit {
		c := otherConn + 1000 + transport.ConnID(i)
		harness.network.queued[c] = true
		harness.openConn(c)
	}
	assert.True(t, harness.network.closed[receiving])
	assert.False(t, harness.network.closed[harness.clientConn])
}
