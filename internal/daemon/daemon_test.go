package daemon

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/config"
	pb "grebeglade/proto/grebeglade/v1"
)

// Reasons in answers to rejected requests.
const (
	reasonNoNode   = "no node is known"
	reasonDraining = "the allocator is stopping; ask another"
)

// startWithoutNodes starts an allocator whose discovery service is unreachable, so that its node table is empty.
func startWithoutNodes(t *testing.T) *Daemon {
	t.Helper()
	configuration, err := config.Decode("t.hcl", []byte(`
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
	return mustStart(t, configuration)
}

// mustStart starts an allocator without log output, which must succeed.
func mustStart(t *testing.T, configuration *config.Allocator) *Daemon {
	t.Helper()
	d, err := startWithoutLog(configuration)
	require.NoError(t, err)
	return d
}

// startWithoutLog starts an allocator without log output.
func startWithoutLog(configuration *config.Allocator) (*Daemon, error) {
	return Start(configuration, NewLogger(configuration.Log, io.Discard))
}

// reply is the result of a client's request: an answer or an error.
type reply struct {
	answer *pb.Answer
	err    error
}

// request connects as the client with the given number, sends one request and returns the reply.
func request(address string, number uint64) reply {
	conn, err := dial(address, fmt.Sprintf("client-%d", number), 1)
	if err != nil {
		return reply{err: err}
	}
	defer conn.close()
	err = conn.send(&pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
		RequestId:        1,
		Key:              number,
		Group:            "serve",
		Cores:            1,
		Memory:           1,
		PendingTimeoutMs: 5000,
	}}})
	if err != nil {
		return reply{err: err}
	}
	f, err := conn.receive()
	if err != nil {
		return reply{err: err}
	}
	return reply{answer: f.GetAnswer()}
}

// requestAsync calls request on a new goroutine, and returns a channel that receives the reply.
func requestAsync(address string, number uint64) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- request(address, number) }()
	return replies
}

// waitForPending waits until the allocator has one pending workload.
func waitForPending(t *testing.T, d *Daemon) {
	t.Helper()
	require.Eventually(t, func() bool { return d.pending() == 1 }, 5*time.Second, time.Millisecond)
}

// Guards against requests of concurrent clients that get no answer.
func TestDaemon_ThousandConcurrentClientsWithoutNodesAreAllRejected(t *testing.T) {
	const clients = 1000
	d := startWithoutNodes(t)
	var replies []<-chan reply
	for number := range uint64(clients) {
		replies = append(replies, requestAsync(d.Addr, number+1))
	}
	for _, pending := range replies {
		got := <-pending
		require.NoError(t, got.err)
		assert.Equal(t, pb.Verdict_REJECTED, got.answer.GetVerdict())
		assert.Equal(t, reasonNoNode, got.answer.GetReason())
	}
	assert.Zero(t, d.Drain(context.Background()))
	d.Close()
}

func TestDaemonDrain_AnswersPendingRequestsAndRejectsNewOnes(t *testing.T) {
	d := startWithoutNodes(t)
	pending := requestAsync(d.Addr, 1)
	waitForPending(t, d)
	unanswered := make(chan int, 1)
	go func() {
		n := d.Drain(context.Background())
		d.Close()
		unanswered <- n
	}()
	late := request(d.Addr, 2)
	if late.err == nil { // otherwise the allocator had already stopped
		assert.Equal(t, reasonDraining, late.answer.GetReason())
	}
	got := <-pending
	require.NoError(t, got.err)
	assert.Equal(t, reasonNoNode, got.answer.GetReason())
	assert.Zero(t, <-unanswered)
}

func TestDaemonDrain_CancelledContextReturnsNumberOfUnanswered(t *testing.T) {
	d := startWithoutNodes(t)
	requestAsync(d.Addr, 1) // gets no answer
	waitForPending(t, d)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, 1, d.Drain(ctx))
	d.Close()
}

func TestStart_FailedListenReleasesStateDirectory(t *testing.T) {
	d := startWithoutNodes(t)
	defer d.Close()
	configuration := minimalConfig(t.TempDir())
	configuration.ListenAddress = d.Addr // address in use

	_, err := startWithoutLog(configuration)
	require.ErrorContains(t, err, "address already in use")

	configuration.ListenAddress = "127.0.0.1:0"
	other := mustStart(t, configuration)
	other.Close()
}

func TestStart_StateDirectoryInUseIsAnError(t *testing.T) {
	configuration := minimalConfig(t.TempDir())
	first := mustStart(t, configuration)
	_, err := startWithoutLog(configuration)
	require.ErrorContains(t, err, "another process holds the directory")

	require.NoError(t, first.binds.Close())
	first.binds = nil
	first.loop.Close()
	second := mustStart(t, configuration)
	second.loop.Close()
	require.NoError(t, second.binds.Close())
}

// minimalConfig returns a configuration with a state directory, and without node kinds and groups.
func minimalConfig(stateDir string) *config.Allocator {
	return &config.Allocator{
		Name:          "a",
		ListenAddress: "127.0.0.1:0",
		Limits: config.Limits{
			MaxFrameBytes:  1 << 20,
			MaxWriteBuffer: 1 << 20,
			MaxConnections: 10,
		},
		State: config.State{
			Dir:        stateDir,
			Retention:  1000,
			MaxEntries: 10,
			Sync:       config.SyncGroup,
		},
	}
}
