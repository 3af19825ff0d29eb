package platform

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// eventTimeout is how long a test waits for an event that must occur.
const eventTimeout = 20 * time.Second

// writeInterval is the time between two pieces of an event that a stubDiscovery writes slowly.
const writeInterval = 50 * time.Millisecond

// socketHarness is a frontend on sockets, with a discovery service and the node of the harness's configuration.
type socketHarness struct {
	*Frontend
	loop      *transport.Loop
	addr      string // address for clients
	discovery *stubDiscovery
	node      *stubNode
}

// startOnSockets runs a frontend with the harness's configuration until the end of the test.
func startOnSockets(t *testing.T) *socketHarness {
	t.Helper()
	harness := &socketHarness{
		loop:      transport.NewLoop(nil),
		discovery: startDiscovery(t),
		node:      startNode(t),
	}
	config := harnessConfig()
	config.DiscoveryAddress = harness.discovery.listener.Addr().String()
	known := strings.Replace(string(config.KnownEvents[0]), nodeAddr, harness.node.listener.Addr().String(), 1)
	config.KnownEvents[0] = []byte(known)
	harness.Frontend = New(config, nil)
	newCodec := func() transport.Codec { return codec.ClientCodec{} }
	addr, err := harness.loop.Listen(harness.Frontend, newCodec, "127.0.0.1:0", harness.Limits())
	require.NoError(t, err)
	harness.addr = addr
	harness.loop.Run()
	t.Cleanup(harness.loop.Close)
	return harness
}

// waitUntil waits until the condition is true. It is evaluated on the frontend's goroutine.
func (h *socketHarness) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, func() (met bool) {
		h.loop.Call(h.Frontend, func(placement.Millis) { met = condition() })
		return met
	}, eventTimeout, 5*time.Millisecond)
}

// nodeState returns the state of the harness's node, or Removed if it is not listed.
func (h *socketHarness) nodeState() placement.NodeState {
	if n := h.nodes.byName[nodeName]; n != nil {
		return n.entry.State
	}
	return placement.Removed
}

// stubDiscovery is a discovery service on a socket. It sends a keep-alive comment each second while it sends no event.
type stubDiscovery struct {
	listener net.Listener

	mu       sync.Mutex // held while an event or comment is written
	conn     net.Conn   // latest connection whose request was read
	stalled  net.Conn   // connection on which nothing more is written, or nil
	requests int        // subscriptions so far
}

func startDiscovery(t *testing.T) *stubDiscovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &stubDiscovery{listener: ln}
	t.Cleanup(func() { _ = ln.Close() }) // the end of the test ignores what is not accepted
	go s.accept()
	return s
}

// accept serves subscriptions until the listener is closed.
func (s *stubDiscovery) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			continue
		}
		if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n: up\n\n"); err != nil {
			continue
		}
		s.mu.Lock()
		s.conn = conn
		s.requests++
		s.mu.Unlock()
		go s.keepAlive(conn)
	}
}

// keepAlive writes comments until the connection ends.
func (s *stubDiscovery) keepAlive(conn net.Conn) {
	for err := error(nil); err == nil; {
		time.Sleep(time.Second)
		s.mu.Lock()
		if s.stalled != conn {
			_, err = fmt.Fprint(conn, ":\n\n")
		}
		s.mu.Unlock()
	}
}

// subscriptions returns the number of subscriptions so far.
func (s *stubDiscovery) subscriptions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// write writes text to the latest connection in pieces of one size, one each writeInterval. It returns the error of the
// first write that fails.
func (s *stubDiscovery) write(text string, pieceSize int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for piece := range slices.Chunk([]byte(text), pieceSize) {
		if _, err := s.conn.Write(piece); err != nil {
			return err
		}
		time.Sleep(writeInterval)
	}
	return nil
}

// stall writes text to the latest connection at once, and nothing on it afterwards.
func (s *stubDiscovery) stall(text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = s.conn
	_, err := s.conn.Write([]byte(text))
	return err
}

// stubNode is a node on a socket. It confirms each offer after a delay.
type stubNode struct {
	listener    net.Listener
	delay       atomic.Int64 // nanoseconds from the offer to its confirmation
	offers      atomic.Int64 // offers so far
	description string       // description in confirmations
	pieceSize   int          // bytes of a confirmation that are written each writeInterval
}

func startNode(t *testing.T) *stubNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n := &stubNode{
		listener:    ln,
		description: "runs",
		pieceSize:   codec.MaxMessageSize,
	}
	t.Cleanup(func() { _ = ln.Close() }) // the end of the test ignores what is not accepted
	go n.accept()
	return n
}

// accept serves connections until the listener is closed.
func (n *stubNode) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.serve(conn)
	}
}

// serve handles the messages of a connection until it ends.
func (n *stubNode) serve(conn net.Conn) {
	var received []byte
	buffer := make([]byte, codec.MaxMessageSize)
	for {
		count, err := conn.Read(buffer)
		if err != nil {
			return
		}
		received = append(received, buffer[:count]...)
		for {
			message, used, err := codec.NodeCodec{}.Decode(received)
			if err != nil || used == 0 {
				break
			}
			received = received[used:]
			n.reply(conn, message)
		}
	}
}

// reply replies to an offer or a health check after the delay.
func (n *stubNode) reply(conn net.Conn, message any) {
	var reply codec.Message
	switch message := message.(type) {
	case *codec.Offer:
		n.offers.Add(1)
		reply = codec.NewConfirmation(message.Tag, n.description)
	case *codec.HealthCheck:
		reply = codec.NewHealthReply(message.Tag, true)
	default:
		return
	}
	time.AfterFunc(time.Duration(n.delay.Load()), func() { n.send(conn, reply) })
}

// send writes a message in pieces. A connection that has ended is ignored.
func (n *stubNode) send(conn net.Conn, message any) {
	encoded, err := codec.NodeCodec{}.Append(nil, message)
	if err != nil {
		return
	}
	for piece := range slices.Chunk(encoded, n.pieceSize) {
		if _, err := conn.Write(piece); err != nil {
			return
		}
		time.Sleep(writeInterval)
	}
}

// sseEvent returns an event in the encoding of the discovery service.
func sseEvent(revision uint64, data []byte) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", revision, data)
}
