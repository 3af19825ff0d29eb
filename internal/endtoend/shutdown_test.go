package endtoend_test

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
)

const (
	// crossing is the time before the end of a connection in which a request crosses it, and is sent again by its
	// client.
	crossing = 50 * time.Millisecond
	// killDelay is the time from SIGTERM to SIGKILL, for deadlines of 3 s and more.
	killDelay = 3700 * time.Millisecond
)

// sentRequest is a request on a connection.
type sentRequest struct {
	on  *client
	tag codec.Tag
	at  time.Time
}

// sendUntilTheEnd sends a request each interval on a connection, until it ends or stop is closed.
func sendUntilTheEnd(c *client, interval time.Duration, stop <-chan struct{}) (sent []sentRequest) {
	for {
		select {
		case <-c.ended:
			return sent
		case <-stop:
			return sent
		case <-time.After(interval):
			at := time.Now()
			sent = append(sent, sentRequest{on: c, tag: c.request(), at: at})
		}
	}
}

// lostRequests returns the requests that got no answer and did not cross the end of their connection.
func (cs *clients) lostRequests(requests []sentRequest) (lost []sentRequest) {
	for _, r := range requests {
		if len(cs.about(r.tag)) > 0 {
			continue
		}
		select {
		case <-r.on.ended:
			if r.on.endedAt.Sub(r.at) <= crossing {
				continue
			}
		default:
		}
		lost = append(lost, r)
	}
	return lost
}

// Guards against requests that are read and never answered while the process ends: clients go on sending on open
// connections, and one of them does not read what waits for it.
func TestShutdown_ClientsGoOnSendingAndOneDoesNotRead_RequestsAnswered(t *testing.T) {
	t.Parallel()
	nodes := startNodes(t, 4)
	for _, n := range nodes {
		n.description = strings.Repeat("d", 15000)
	}
	a := startAllocator(t, startDiscovery(t, nodes...))
	cs := newClients(a)
	stuck := cs.connectWithoutReading(t)
	for range 400 {
		stuck.request()
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var sending sync.WaitGroup
	all := make([][]sentRequest, 8)
	for i := range all {
		c := cs.connect(t)
		sending.Go(func() { all[i] = sendUntilTheEnd(c, 10*time.Millisecond, stop) })
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, a.process.Process.Signal(syscall.SIGTERM))
	time.Sleep(killDelay)
	_ = a.process.Process.Kill() // it may have ended
	close(stop)
	sending.Wait()
	count := 0
	for _, requests := range all {
		count += len(requests)
		assert.Empty(t, cs.lostRequests(requests))
	}
	t.Logf("%d requests sent", count)
}
