package command

import (
	"bufio"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// commandLine is the variable that makes the test binary run as the program itself.
const commandLine = "GREBEGLADE_TEST_COMMAND"

const replyLimit = 20 * time.Second // for anything that a test waits for

func TestMain(m *testing.M) {
	if line := os.Getenv(commandLine); line != "" {
		os.Exit(Run(strings.Fields(line), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is the program as the platform starts it.
type process struct {
	*exec.Cmd
	address string
}

// startPlatformProcess starts the program, by a shell's line that ends in exec if one is given, and waits until it
// serves.
func startPlatformProcess(t *testing.T, file, line string) *process {
	t.Helper()
	p := &process{address: freeAddress(t), Cmd: exec.Command(os.Args[0])}
	if line != "" {
		p.Cmd = exec.Command("sh", "-c", line, os.Args[0])
	}
	p.Env = append(os.Environ(), commandLine+"=platform", "NODE_CONFIG="+file, "NODE_LISTEN="+p.address)
	log, err := p.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Process.Kill() }) // it may have exited
	lines := bufio.NewReader(log)
	first, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, first, "serving")
	go func() { _, _ = io.Copy(io.Discard, lines) }()
	return p
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.Process.Signal(s))
}
