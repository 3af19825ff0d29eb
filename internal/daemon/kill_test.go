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
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/config"
	pb "grebeglade/proto/grebeglade/v1"
)

// configVariable is the environment variable that makes this test binary run as an allocator. Its value is the path of
// the configuration.
const configVariable = "GREBEGLADE_TEST_SERVE"

func TestMain(m *testing.M) {
	if file := os.Getenv(configVariable); file != "" {
		serveUntilKilled(file)
	}
	os.Exit(m.Run())
}

// serveUntilKilled runs an allocator until the process is killed. It exits with status 1 if the allocator cannot start.
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

// startChild starts this test binary as an allocator, and waits until the allocator serves.
func startChild(t *testing.T, file string) *exec.Cmd {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), configVariable+"="+file)
	out, err := child.StdoutPipe()
	require.NoError(t, err)
	child.Stderr = io.Discard
	require.NoError(t, child.Start())
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "serving\n", line)
	return child
}

// durableConfig is the configuration of an allocator with durable state. Its format arguments are the listen address,
// the address of the discovery service, and the state directory.
const durableConfig = `
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
`

// writeConfig writes the configuration of an allocator with durable state, and returns the file and the listen address.
func writeConfig(t *testing.T, discovery string) (file, address string) {
	t.Helper()
	address = freeAddress(t)
	dir := t.TempDir()
	file = filepath.Join(dir, "a.hcl")
	text := fmt.Appendf(nil, durableConfig, address, discovery, filepath.Join(dir, "state"))
	require.NoError(t, os.WriteFile(file, text, 0o644))
	return file, address
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	return ln.Addr().String()
}

// Guards against workloads that are started twice after an allocator crash. Allocator processes are killed at random
// times while a client retries each request without an answer under the same key. A third of the workloads end without
// ever being reported by their node, so only the state directory can prevent their second start.
func TestDaemon_KilledAllocatorStartsNothingTwice(t *testing.T) {
	const (
		kills        = 24
		keys         = 96
		keysPerRound = 10
	)
	emulated := newCluster(t, 3)
	file, address := writeConfig(t, emulated.discovery)
	rng := rand.New(rand.NewPCG(7, 7))
	client := newRetryingClient(t, keys)
	for number := range kills {
		killed := round{
			number:    number,
			maxKeys:   keysPerRound,
			killAfter: time.Duration(rng.IntN(60)) * time.Millisecond,
		}
		_ = killed.run(t, client, file, address) // returns an error if the kill comes before all answers
	}
	last := round{
		number:    kills,
		maxKeys:   keys,
		killAfter: never,
	}
	require.NoError(t, last.run(t, client, file, address), "the last allocator is killed only after all answers")

	emulated.mu.Lock()
	defer emulated.mu.Unlock()
	for key, starts := range emulated.starts {
		assert.LessOrEqual(t, starts, 1, "key %d", key)
	}
	assert.Greater(t, client.verdicts[pb.Verdict_UNSCHEDULABLE], 5,
		"too few workloads may have run before a kill for the test to be meaningful: %v", client.verdicts)
	t.Logf("%d of %d keys were started; answers %v, %d keys without an answer",
		len(emulated.starts), keys, client.verdicts, len(client.outstanding))
}

// never is the killAfter of a process that is killed only after all answers.
const never = time.Duration(-1)

// round is one run of the allocator process.
type round struct {
	number    int
	maxKeys   int           // maximum number of requested keys
	killAfter time.Duration // time from the requests to the kill, or never
}

// run starts the allocator, has the client send requests, and kills the allocator after killAfter or when all answers
// are received. It returns an error if the connection is lost before all answers.
func (r round) run(t *testing.T, client *retryingClient, file, address string) error {
	t.Helper()
	process := startChild(t, file)
	conn, err := dial(address, "o", uint64(r.number+1))
	require.NoError(t, err)
	defer conn.close()
	sent := client.send(conn, r.number, client.next(r.maxKeys))
	if r.killAfter != never {
		timer := time.AfterFunc(r.killAfter, func() { _ = process.Process.Kill() })
		defer timer.Stop()
	}
	lost := client.receive(conn, sent)
	_ = process.Process.Kill() // fails if the timer has already killed it
	require.Error(t, process.Wait(), "the process exits only when it is killed")
	return lost
}
