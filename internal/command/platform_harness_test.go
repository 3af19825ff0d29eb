package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
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

const platformSettings = `{"balancers":1,"ordinal":0,"zones":["z"],"kinds":["small"],"discovery":"automatic",
 "contract":{"cold_ns":17000000000,"cold_from":0.28,"overload_for_ns":2000000000},"report":{"fields":["x0"]},
 "permissions":{"most_tries":4,"probes":false,"connect_timeout_ns":250000000},
 "request_classes":[{"name":"tiles","aim_ns":1000000000,"effect":"read_like","value":1}],
 "family_info":{"cold_bears":54,"confirms":"running","report_counts":"used","free_in_list":true,"kind_cores":[20],
  "memory_by_kind":[40],"apart_by":["off"],"spread_most":[2],"calm_level":[0.8],"lost_after":[0.15],"kind_by_class":[-1]}}`

// platformConfig returns a configuration with these nodes as the known ones.
func platformConfig(discovery string, sockets int, nodes ...string) []byte {
	var endpoints []string
	for i, address := range nodes {
		endpoints = append(endpoints, fmt.Sprintf(
			`{"name":"s-%02d","address":%q,"zone":"z","type":"small","group":0,"status":"Ready","since_ms":0,"room":[20,40]}`, i, address))
	}
	return fmt.Appendf(nil, `{"name":"one","listen":"127.0.0.1:0","seed":"05","journal":%q,
"limits":{"cores":1,"memory_mb":64,"sockets":%d},"known":{"pos":1,"entries":[{"hosts":{"snapshot":true,"endpoints":[%s]}}]},
"settings":%s}`, discovery, sockets, strings.Join(endpoints, ","), platformSettings)
}

func writePlatformConfig(t *testing.T, file, discovery string, nodes ...string) {
	t.Helper()
	b := platformConfig(discovery, 256, nodes...)
	require.True(t, json.Valid(b))
	require.NoError(t, os.WriteFile(file, b, 0o600))
}

// emulateDiscovery emulates the discovery service, which has no events. It reports the event from which each subscriber
// resumes.
func emulateDiscovery(t *testing.T) (address string, subscribed <-chan string) {
	t.Helper()
	subscribers := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		subscribers <- r.Header.Get("Last-Event-ID")
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, ": here\n\n"); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
		}
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String(), subscribers
}

// emulatedNode is a node that accepts every bind.
type emulatedNode struct {
	offered chan<- codec.Tag // reports binds as they arrive; nil for none
	release <-chan struct{}  // each answer waits for a value or the close; nil for no wait
}

// listen starts the node and returns its address.
func (n emulatedNode) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return l.Addr().String()
}

func (n emulatedNode) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var received []byte
	part := make([]byte, 4096)
	for {
		size, err := c.Read(part)
		received = append(received, part[:size]...)
		var answered bool
		if received, answered = n.answerAll(c, received); !answered || err != nil {
			return
		}
	}
}

// answerAll answers the complete messages and returns the rest, and false once the connection is lost.
func (n emulatedNode) answerAll(c net.Conn, received []byte) (rest []byte, ok bool) {
	for {
		m, used, err := codec.NodeCodec{}.Decode(received)
		if err != nil || used == 0 {
			return received, true
		}
		received = received[used:]
		if offer, ok := m.(*codec.Offer); ok && !n.accept(c, offer.Tag) {
			return nil, false
		}
	}
}

func (n emulatedNode) accept(c net.Conn, tag codec.Tag) bool {
	if n.offered != nil {
		n.offered <- tag
	}
	if n.release != nil {
		<-n.release
	}
	out, err := codec.NodeCodec{}.Append(nil, codec.NewConfirmation(tag, "taken by a node"))
	if err != nil {
		return false
	}
	_, err = c.Write(out)
	return err == nil
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

// platformClient is one client connection to the program.
type platformClient struct {
	net.Conn
	t       *testing.T
	replies *bufio.Reader
}

func (p *process) connect(t *testing.T) *platformClient {
	t.Helper()
	c, err := net.Dial("tcp", p.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &platformClient{c, t, bufio.NewReader(c)}
}

func (c *platformClient) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

func (c *platformClient) receive() string {
	c.t.Helper()
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(replyLimit)))
	line, err := c.replies.ReadString('\n')
	require.NoError(c.t, err)
	return strings.TrimSpace(line)
}

// awaitDraining waits until the program's health checks report that it drains.
func (c *platformClient) awaitDraining() {
	for reply := ""; !strings.Contains(reply, `"rc":0`); reply = c.receive() {
		c.send(healthCheck)
	}
}

// Messages of the platform's protocol, as clients see them.
const (
	healthCheck = `{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}` + "\n"
	healthy     = `{"verb":"ECHOED","tag":"0000000000000001","opts":{},"rc":1}`
)

func startRequest(tag int) string {
	return fmt.Sprintf(`{"verb":"START","tag":"%016x","opts":{"class":"tiles","left":"6000","key":"aa",`+
		`"extras":"cores:1;memory:1;service:%x"},"blob":"what is asked"}`+"\n", tag, tag)
}

func placedReply(tag int) string {
	return fmt.Sprintf(`{"verb":"STARTED","tag":"%016x","opts":{},"blob":"taken by a node"}`, tag)
}
