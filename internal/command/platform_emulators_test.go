package command

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
)

// emulateDiscovery starts a discovery service that sends no events, and returns its address. The channel subscribed
// receives the Last-Event-ID of each subscription.
func emulateDiscovery(t *testing.T) (address string, subscribed <-chan string) {
	t.Helper()
	subscribers := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String(), subscribers
}

// emulatedNode is a node that accepts every bind.
type emulatedNode struct {
	offered chan<- codec.Tag // receives the tag of each bind; nil if not needed
	release <-chan struct{}  // each answer is delayed until a receive succeeds; nil for no delay
}

// listen starts the node and returns its address.
func (n emulatedNode) listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// serve answers the binds on a connection until the connection is lost.
func (n emulatedNode) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var received []byte
	buffer := make([]byte, 4096)
	for {
		size, err := conn.Read(buffer)
		received = append(received, buffer[:size]...)
		var answered bool
		if received, answered = n.answerAll(conn, received); !answered || err != nil {
			return
		}
	}
}

// answerAll answers the complete messages in received and returns the remaining bytes. It returns false if the
// connection is lost.
func (n emulatedNode) answerAll(conn net.Conn, received []byte) (rest []byte, ok bool) {
	for {
		message, used, err := codec.NodeCodec{}.Decode(received)
		if err != nil || used == 0 {
			return received, true
		}
		received = received[used:]
		if offer, ok := message.(*codec.Offer); ok && !n.accept(conn, offer.Tag) {
			return nil, false
		}
	}
}

// accept confirms a bind, and returns false if the connection is lost.
func (n emulatedNode) accept(conn net.Conn, tag codec.Tag) bool {
	if n.offered != nil {
		n.offered <- tag
	}
	if n.release != nil {
		<-n.release
	}
	confirmation, err := codec.NodeCodec{}.Append(nil, codec.NewConfirmation(tag, "taken by a node"))
	if err != nil {
		return false
	}
	_, err = conn.Write(confirmation)
	return err == nil
}
