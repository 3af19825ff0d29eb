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

// commandVariable is the environment variable with a command line for the test binary to run as the program itself.
const commandVariable = "GREBEGLADE_TEST_COMMAND"

const waitLimit = 20 * time.Second // maximum time for a reply, or any other wait of a test

func TestMain(m *testing.M) {
	if line := os.Getenv(commandVariable); line != "" {
		os.Exit(Run(strings.Fields(line), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// startCommand runs a command line in a new process, and waits until it prints a line that contains ready.
func startCommand(t *testing.T, line, ready string) *exec.Cmd {
	t.Helper()
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), commandVariable+"="+line)
	read, write, err := os.Pipe()
	require.NoError(t, err)
	program.Stdout = write
	program.Stderr = write
	require.NoError(t, program.Start())
	require.NoError(t, write.Close())
	t.Cleanup(func() { _ = program.Process.Kill() }) // process may have exited
	lines := bufio.NewReader(read)
	for printed := ""; !strings.Contains(printed, ready); {
		printed, err = lines.ReadString('\n')
		require.NoError(t, err, "%s ended before it was ready", line)
	}
	go func() { _, _ = io.Copy(io.Discard, lines) }()
	return program
}

// platformProcess is the program as the platform starts it.
type platformProcess struct {
	*exec.Cmd
	address string
}

// startPlatformProcess starts the program and waits until it serves. If shellLine is not empty, a shell runs that line,
// which must end in exec "$0" to start the program.
func startPlatformProcess(t *testing.T, file, shellLine string) *platformProcess {
	t.Helper()
	program := &platformProcess{Cmd: exec.Command(os.Args[0]), address: freeAddress(t)}
	if shellLine != "" {
		program.Cmd = exec.Command("sh", "-c", shellLine, os.Args[0])
	}
	program.Env = append(os.Environ(),
		commandVariable+"=platform",
		"NODE_CONFIG="+file,
		"NODE_LISTEN="+program.address)
	log, err := program.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, program.Start())
	t.Cleanup(func() { _ = program.Process.Kill() }) // process may have exited
	lines := bufio.NewReader(log)
	first, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, first, "serving")
	go func() { _, _ = io.Copy(io.Discard, lines) }()
	return program
}

func (p *platformProcess) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	require.NoError(t, p.Process.Signal(signal))
}

// freeAddress returns a loopback address with a port that is free at the time of the call.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}
