package command

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// platformClient is a client's connection to the program.
type platformClient struct {
	net.Conn
	t       *testing.T
	replies *bufio.Reader
}

// connect opens a client connection, which is closed when the test ends.
func (p *platformProcess) connect(t *testing.T) *platformClient {
	t.Helper()
	conn, err := net.Dial("tcp", p.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &platformClient{
		Conn:    conn,
		t:       t,
		replies: bufio.NewReader(conn),
	}
}

func (c *platformClient) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// receive returns the next reply, a line of JSON.
func (c *platformClient) receive() string {
	c.t.Helper()
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(waitLimit)))
	line, err := c.replies.ReadString('\n')
	require.NoError(c.t, err)
	return strings.TrimSpace(line)
}

// awaitDraining sends health checks until a reply reports that the program is draining.
func (c *platformClient) awaitDraining() {
	for reply := ""; !strings.Contains(reply, `"rc":0`); reply = c.receive() {
		c.send(healthCheck)
	}
}

// A health check of the platform's protocol, and its reply while the program is not draining.
const (
	healthCheck = `{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}` + "\n"
	healthy     = `{"verb":"ECHOED","tag":"0000000000000001","opts":{},"rc":1}`
)

// startRequest returns a request to place a workload; tag is also its service number.
func startRequest(tag int) string {
	return fmt.Sprintf(`{"verb":"START","tag":"%016x","opts":{"class":"tiles","left":"6000","key":"aa",`+
		`"extras":"cores:1;memory:1;service:%x"},"blob":"what is asked"}`+"\n", tag, tag)
}

// placedReply returns the answer to startRequest(tag) if a node has accepted the workload.
func placedReply(tag int) string {
	return fmt.Sprintf(`{"verb":"STARTED","tag":"%016x","opts":{},"blob":"taken by a node"}`, tag)
}
