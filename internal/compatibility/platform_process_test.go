package compatibility_test

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"grebeglade/internal/command"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runAsProgram is the environment variable with a command line that the test binary runs instead of the tests.
const runAsProgram = "GREBEGLADE_COMPATIBILITY_COMMAND"

func TestMain(m *testing.M) {
	if line := os.Getenv(runAsProgram); line != "" {
		os.Exit(command.Run(strings.Fields(line), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const platformConfig = `{"name":"one","listen":"127.0.0.1:0","seed":"05","journal":%q,
"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"pos":1,"entries":[{"hosts":{"snapshot":true,"endpoints":[
{"name":"s-00","address":%q,"zone":"z","type":"small","group":0,"status":"Ready","since_ms":0,"room":[20,40]}]}}]},
"settings":{"balancers":1,"ordinal":0,"zones":["z"],"kinds":["small"],"discovery":"automatic",
 "contract":{"cold_ns":17000000000,"cold_from":0.28,"overload_for_ns":2000000000},"report":{"fields":["x0"]},
 "permissions":{"most_tries":4,"probes":false,"connect_timeout_ns":250000000},
 "request_classes":[{"name":"tiles","aim_ns":1000000000,"effect":"read_like","value":1}],
 "family_info":{"cold_bears":54,"confirms":"running","report_counts":"used","free_in_list":true,"kind_cores":[20],
  "memory_by_kind":[40],"apart_by":["off"],"spread_most":[2],"calm_level":[0.8],"lost_after":[0.15],
  "kind_by_class":[-1]}}}`

// timeLeft matches the pending timeout in ms in a message to a node, which differs between runs.
var timeLeft = regexp.MustCompile(`120004(3[0-9]){4}`)

// conversation records the messages between the program and its peers, in the order in which the test handles them.
type conversation struct {
	t          *testing.T
	text       strings.Builder
	client     net.Conn
	clientRead *bufio.Reader
	node       net.Conn
}

// newConversation returns a conversation without messages. It is logged if the test fails.
func newConversation(t *testing.T) *conversation {
	t.Helper()
	c := &conversation{t: t}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.text.String())
		}
	})
	return c
}

func (c *conversation) clientSends(line string) {
	c.t.Helper()
	fmt.Fprintf(&c.text, "client sends %s\n", line)
	_, err := io.WriteString(c.client, line+"\n")
	require.NoError(c.t, err)
}

func (c *conversation) clientReceives() {
	c.t.Helper()
	line, err := c.clientRead.ReadString('\n')
	require.NoError(c.t, err)
	fmt.Fprintf(&c.text, "client receives %s", line)
}

func (c *conversation) nodeSends(message string) {
	c.t.Helper()
	fmt.Fprintf(&c.text, "node sends %s\n", message)
	decoded, err := hex.DecodeString(message)
	require.NoError(c.t, err)
	_, err = c.node.Write(binary.BigEndian.AppendUint16(nil, uint16(len(decoded))))
	require.NoError(c.t, err)
	_, err = c.node.Write(decoded)
	require.NoError(c.t, err)
}

func (c *conversation) nodeReceives() {
	c.t.Helper()
	var size [nodeMessageLengthSize]byte
	_, err := io.ReadFull(c.node, size[:])
	require.NoError(c.t, err)
	message := make([]byte, binary.BigEndian.Uint16(size[:]))
	_, err = io.ReadFull(c.node, message)
	require.NoError(c.t, err)
	fmt.Fprintf(&c.text, "node receives %s\n", timeLeft.ReplaceAllString(hex.EncodeToString(message), "120004LEFT"))
}

// startPlatform starts the program with the addresses of a discovery service and a node, and returns the program's
// address.
func startPlatform(t *testing.T, discovery, node string) (addr string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, platformConfig, discovery, node), 0o600))
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr = free.Addr().String()
	require.NoError(t, free.Close())
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), runAsProgram+"=platform", "NODE_CONFIG="+file, "NODE_LISTEN="+addr)
	log, err := program.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, program.Start())
	t.Cleanup(func() {
		assert.NoError(t, program.Process.Kill())
		var exit *exec.ExitError
		assert.ErrorAs(t, program.Wait(), &exit, "the program must run until it is killed")
	})
	first, err := bufio.NewReader(log).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, first, "serving")
	return addr
}

// stubDiscovery starts a discovery service that sends keep-alive comments and no events. It passes the requests that it
// receives to a channel.
func stubDiscovery(t *testing.T, requests chan<- string) (addr string) {
	t.Helper()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- fmt.Sprintf("%s %s Accept=%s Last-Event-ID=%s",
			r.Method, r.URL, r.Header.Get("Accept"), r.Header.Get("Last-Event-ID"))
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, ": here\n\n"); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	return discovery.Listener.Addr().String()
}

// Types of binary messages, in hexadecimal digits.
const (
	confirmationType = "09"
	terminationType  = "0c"
	usageReportType  = "2c"
)

// Parameters of binary messages, in hexadecimal digits: type, size and value.
const (
	loadReport16Cores  = "220008" + "78303a31362e3030"
	descriptionTakenBy = "2e0008" + "74616b656e206279"
	emptyDescription   = "2e0000"
	detailCPU          = "1e0003" + "637075"
	valueHalf          = "280003" + "302e35"
	detailOOM          = "1e0003" + "6f6f6d"
	causeEvicted       = "2c0001" + "29"
)

// tagDigits returns the encoding of a tag in binary messages, in hexadecimal digits.
func tagDigits(tag int) string { return fmt.Sprintf("%016x", tag) }

// placeRequestLine returns a client's line that requests a workload.
func placeRequestLine(tag int, class string) string {
	return fmt.Sprintf(`{"verb":"START","tag":"%016x",`+
		`"opts":{"class":%q,"left":"6000","key":"aa","extras":"cores:1;memory:1;service:7"},"blob":"a <b> é"}`,
		tag, class)
}

// connectClient connects the client to the program.
func (c *conversation) connectClient(addr string) {
	c.t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(c.t, err)
	c.t.Cleanup(func() { assert.NoError(c.t, conn.Close()) })
	require.NoError(c.t, conn.SetDeadline(time.Now().Add(stubTimeout)))
	c.client = conn
	c.clientRead = bufio.NewReader(conn)
}

// acceptNode accepts the program's connection to the node.
func (c *conversation) acceptNode(nodes net.Listener) {
	c.t.Helper()
	conn, err := nodes.Accept()
	require.NoError(c.t, err)
	c.t.Cleanup(func() { assert.NoError(c.t, conn.Close()) })
	require.NoError(c.t, conn.SetDeadline(time.Now().Add(stubTimeout)))
	c.node = conn
}

func TestPlatformProcess_Conversation_AsStored(t *testing.T) {
	requests := make(chan string, 10)
	discovery := stubDiscovery(t, requests)
	nodes, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, nodes.Close()) })
	addr := startPlatform(t, discovery, nodes.Addr().String())

	conv := newConversation(t)
	fmt.Fprintf(&conv.text, "discovery receives %s\n", <-requests)
	conv.connectClient(addr)
	conv.checksHealth()
	conv.placesAndWithdraws(nodes)
	conv.placesAndIsEvicted()
	conv.requestsUnknownClass()
	compareWithStored(t, "platform/conversation.txt", conv.text.String())
}

func (c *conversation) checksHealth() {
	c.t.Helper()
	c.clientSends(`{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}`)
	c.clientReceives()
}

// placesAndWithdraws places a workload, whose node reports its core use, and which its client then stops.
func (c *conversation) placesAndWithdraws(nodes net.Listener) {
	c.t.Helper()
	c.clientSends(placeRequestLine(2, "tiles"))
	c.acceptNode(nodes)
	c.nodeReceives()
	c.nodeSends(confirmationType + tagDigits(2) + loadReport16Cores + descriptionTakenBy)
	c.clientReceives()
	c.nodeSends(usageReportType + tagDigits(2) + detailCPU + valueHalf)
	c.clientSends(`{"verb":"FINISH","tag":"0000000000000002","opts":{},"rc":31}`)
	c.nodeReceives()
}

// placesAndIsEvicted places a workload, which its node then evicts.
func (c *conversation) placesAndIsEvicted() {
	c.t.Helper()
	c.clientSends(placeRequestLine(3, "tiles"))
	c.nodeReceives()
	c.nodeSends(confirmationType + tagDigits(3) + emptyDescription)
	c.clientReceives()
	c.nodeSends(terminationType + tagDigits(3) + detailOOM + causeEvicted)
	c.clientReceives()
}

// requestsUnknownClass sends an invalid request, after which the program closes the connection.
func (c *conversation) requestsUnknownClass() {
	c.t.Helper()
	c.clientSends(placeRequestLine(4, "unknown"))
	c.clientReceives()
	_, err := c.clientRead.ReadByte()
	require.ErrorIs(c.t, err, io.EOF, "the connection must be closed after an invalid request")
}
