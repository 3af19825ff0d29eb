package daemon

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/config"
	pb "grebeglade/proto/grebeglade/v1"
)

// configVariable names the configuration by which a test's child process serves.
const configVariable = "GREBEGLADE_TEST_SERVE"

func TestMain(m *testing.M) {
	if file := os.Getenv(configVariable); file != "" {
		serveUntilKilled(file)
	}
	os.Exit(m.Run())
}

func serveUntilKilled(file string) {
	c, err := config.Load(file)
	if err == nil {
		_, err = Start(c, NewLogger(c.Log, os.Stderr))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println("serving")
	select {}
}

// startChild starts this test binary as an allocator and waits until it serves.
func startChild(t *testing.T, file string) *exec.Cmd {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), configVariable+"="+file)
	out, err := c.StdoutPipe()
	require.NoError(t, err)
	c.Stderr = io.Discard
	require.NoError(t, c.Start())
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "serving\n", line)
	return c
}

// writeConfig writes the configuration of an allocator with durable state and returns the file and its address.
func writeConfig(t *testing.T, discovery string) (file, address string) {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, free.Close())
	address = free.Addr().String()
	dir := t.TempDir()
	file = filepath.Join(dir, "a.hcl")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `
allocator {
  name   = "a"
  listen = %q
  list   = %q
}
state {
  dir = %q
}
rules {
  binds = 4
}
kind "k" {
  cores  = 1000
  memory = 1000
}
group "once" {
  effect = "run-once"
}
`, address, discovery, filepath.Join(dir, "state")), 0o644))
	return file, address
}

// retryingClient requests workloads under fixed keys until each has a final answer.
type retryingClient struct {
	t           *testing.T
	outstanding map[uint64]bool // keys without a final answer
	verdicts    map[pb.Verdict]int
}

func newRetryingClient(t *testing.T, keys int) *retryingClient {
	t.Helper()
	c := &retryingClient{t: t, outstanding: map[uint64]bool{}, verdicts: map[pb.Verdict]int{}}
	for key := range uint64(keys) {
		c.outstanding[key+1] = true
	}
	return c
}

// next returns the lowest outstanding keys, limit at most.
func (c *retryingClient) next(limit int) (keys []uint64) {
	for key := uint64(1); len(keys) < min(limit, len(c.outstanding)); key++ {
		if c.outstanding[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// send requests these keys and returns them by request. Requests have other numbers in each round.
func (c *retryingClient) send(p *peer, round int, keys []uint64) map[uint64]uint64 {
	sent := map[uint64]uint64{}
	for i, key := range keys {
		number := uint64(round+1)<<32 | uint64(i+1)
		sent[number] = key
		err := p.send(&pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
			RequestId: number, Key: key, Service: key % 5, Group: "once", Cores: 1, Memory: 1, PendingTimeoutMs: 2000, ExpectedRuntimeMs: 1e6,
		}}})
		if err != nil {
			break // the allocator was killed; receive says so
		}
	}
	return sent
}

// receive collects the answers to what was sent, until all are there or the connection is lost.
func (c *retryingClient) receive(p *peer, sent map[uint64]uint64) error {
	for len(sent) > 0 {
		f, err := p.receive()
		if err != nil {
			return err
		}
		if a := f.GetAnswer(); a != nil {
			key, expected := sent[a.RequestId]
			require.True(c.t, expected, "a second answer, or one to no request")
			delete(sent, a.RequestId)
			c.take(key, a)
		}
	}
	return nil
}

func (c *retryingClient) take(key uint64, a *pb.Answer) {
	if a.Verdict == pb.Verdict_REJECTED && !strings.Contains(a.Reason, "held here already") {
		return // it did not run: it is requested again
	}
	c.verdicts[a.Verdict]++
	delete(c.outstanding, key)
}

// never is the time after which a process is not killed at all.
const never = time.Duration(-1)

// Real processes are killed at random moments while a client retries, under the same keys, whatever was not answered. No
// key is started twice, even if the node that ran it no longer knows it.
func TestDaemon_KilledAllocatorStartsNothingTwice(t *testing.T) {
	const kills, keys, keysPerRound = 24, 96, 10
	cluster := newCluster(t, 3)
	file, address := writeConfig(t, cluster.discovery)
	rng := rand.New(rand.NewPCG(7, 7))
	client := newRetryingClient(t, keys)
	for round := range kills {
		killAfter := time.Duration(rng.IntN(60)) * time.Millisecond
		_ = runRound(t, client, round, keysPerRound, file, address, killAfter) // the kill breaks the connection, or comes later
	}
	require.NoError(t, runRound(t, client, kills, keys, file, address, never), "the last one is not killed before its answers")

	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for key, n := range cluster.starts {
		assert.LessOrEqual(t, n, 1, "key %d", key)
	}
	assert.Greater(t, client.verdicts[pb.Verdict_UNSCHEDULABLE], 5,
		"some that may have run are answered so, or nothing is proved: %v", client.verdicts)
	t.Logf("%d of %d keys were started; answers %v, %d without", len(cluster.starts), keys, client.verdicts, len(client.outstanding))
}

// runRound starts the allocator, has the client send requests, and kills the allocator after a time or all answers.
func runRound(t *testing.T, client *retryingClient, round, limit int, file, address string, killAfter time.Duration) error {
	t.Helper()
	process := startChild(t, file)
	p, err := dial(address, "o", uint64(round+1))
	require.NoError(t, err)
	defer p.close()
	sent := client.send(p, round, client.next(limit))
	if killAfter != never {
		timer := time.AfterFunc(killAfter, func() { _ = process.Process.Kill() })
		defer timer.Stop()
	}
	lost := client.receive(p, sent)
	_ = process.Process.Kill() // unless the timer has done so
	require.Error(t, process.Wait(), "it ends by the kill alone")
	return lost
}
