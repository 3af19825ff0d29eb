package daemon

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/config"
	pb "grebeglade/proto/grebeglade/v1"
)

// startWithoutNodes starts an allocator whose discovery service does not exist, so that it knows no node.
func startWithoutNodes(t *testing.T) *Daemon {
	t.Helper()
	c, err := config.Decode("t.hcl", []byte(`
allocator {
  listen = "127.0.0.1:0"
  list   = "127.0.0.1:1"
}
kind "k" {}
group "serve" {
  target = "300ms"
}
log {
  level = "error"
}
`))
	require.NoError(t, err)
	d, err := Start(c, NewLogger(c.Log, io.Discard))
	require.NoError(t, err)
	return d
}

// request connects as a client of that number, sends one request and returns its answer.
func request(address string, number uint64) (*pb.Answer, error) {
	p, err := dial(address, fmt.Sprintf("client-%d", number), 1)
	if err != nil {
		return nil, err
	}
	defer p.close()
	err = p.send(&pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
		RequestId: 1, Key: number, Group: "serve", Cores: 1, Memory: 1, PendingTimeoutMs: 5000,
	}}})
	if err != nil {
		return nil, err
	}
	f, err := p.receive()
	if err != nil {
		return nil, err
	}
	return f.GetAnswer(), nil
}

func TestDaemon_ThousandClientsAtOnceWithoutNodesAreAllRejected(t *testing.T) {
	const clients = 1000
	d := startWithoutNodes(t)
	var wg sync.WaitGroup
	results := make(chan string, clients)
	for i := range uint64(clients) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, err := request(d.Addr, i+1)
			results <- fmt.Sprint(a.GetVerdict(), a.GetReason(), err)
		}()
	}
	wg.Wait()
	close(results)
	for r := range results {
		assert.Equal(t, "REJECTEDno node is known<nil>", r)
	}
	assert.Zero(t, d.Drain(context.Background()))
	d.Close()
}

func TestDaemonDrain_AnswersPendingRequestsAndRejectsNewOnes(t *testing.T) {
	d := startWithoutNodes(t)
	pending := make(chan string, 1)
	go func() {
		a, err := request(d.Addr, 1)
		pending <- fmt.Sprint(a.GetReason(), err)
	}()
	require.Eventually(t, func() bool { return d.pending() == 1 }, 5*time.Second, time.Millisecond)
	unanswered := make(chan int, 1)
	go func() {
		n := d.Drain(context.Background())
		d.Close()
		unanswered <- n
	}()
	a, err := request(d.Addr, 2)
	if err == nil { // unless it had stopped by then
		assert.Equal(t, "the allocator is stopping; ask another", a.GetReason())
	}
	assert.Equal(t, "no node is known<nil>", <-pending)
	assert.Zero(t, <-unanswered)
}

func TestDaemonDrain_EndedContextReturnsNumberOfUnanswered(t *testing.T) {
	d := startWithoutNodes(t)
	go func() { _, _ = request(d.Addr, 1) }() // it gets no answer
	require.Eventually(t, func() bool { return d.pending() == 1 }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, 1, d.Drain(ctx))
	d.Close()
}

func TestStart_FailedListenReleasesStateDirectory(t *testing.T) {
	d := startWithoutNodes(t)
	defer d.Close()
	c := minimalConfig(t.TempDir())
	c.ListenAddress = d.Addr // in use

	_, err := Start(c, NewLogger(c.Log, io.Discard))
	require.ErrorContains(t, err, "address already in use")

	c.ListenAddress = "127.0.0.1:0"
	other, err := Start(c, NewLogger(c.Log, io.Discard))
	require.NoError(t, err)
	other.Close()
}

func TestStart_StateDirectoryInUseIsAnError(t *testing.T) {
	c := minimalConfig(t.TempDir())
	d, err := Start(c, NewLogger(c.Log, io.Discard))
	require.NoError(t, err)
	_, err = Start(c, NewLogger(c.Log, io.Discard))
	require.ErrorContains(t, err, "another process holds the directory")

	require.NoError(t, d.binds.Close())
	d.binds = nil
	d.loop.Close()
	again, err := Start(c, NewLogger(c.Log, io.Discard))
	require.NoError(t, err)
	again.loop.Close()
	require.NoError(t, again.binds.Close())
}

// minimalConfig has a state directory and neither kinds nor groups.
func minimalConfig(stateDir string) *config.Allocator {
	return &config.Allocator{
		Name: "a", ListenAddress: "127.0.0.1:0",
		Limits: config.Limits{MaxFrameBytes: 1 << 20, MaxWriteBuffer: 1 << 20, MaxConnections: 10},
		State:  config.State{Dir: stateDir, Retention: 1000, MaxEntries: 10, Sync: config.SyncGroup},
	}
}
