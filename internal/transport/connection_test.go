package transport

import (
	"errors"
	"log/slog"
	"net"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var errTestSocket = errors.New("socket failed")

// failingSocket is a socket whose AsyncWrite and Close fail.
type failingSocket struct{ gnet.Conn }

func (failingSocket) Close() error                                { return errTestSocket }
func (failingSocket) AsyncWrite([]byte, gnet.AsyncCallback) error { return errTestSocket }
func (failingSocket) RemoteAddr() net.Addr                        { return &net.TCPAddr{Port: 7} }

// loggedWorker returns a worker whose goroutine is not started, and its log output.
func loggedWorker(limits Limits) (*worker, *strings.Builder) {
	var log strings.Builder
	loop := NewLoop(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	return newWorker(loop, frameHandler{FrameHandler: &echoHandler{}}, limits), &log
}

// openFailing returns an open connection on a failingSocket.
func openFailing(w *worker) *connection {
	return &connection{
		worker: w,
		socket: failingSocket{},
		state:  stateOpen,
	}
}

func TestConnection_FailedCloseIsLogged(t *testing.T) {
	w, log := loggedWorker(DefaultLimits)
	c := openFailing(w)
	c.close()
	assert.Equal(t, stateClosed, c.state)
	assert.Contains(t, log.String(), `level=WARN msg="connection not closed" peer=:7 error="socket failed"`)
}

func TestConnection_FailedWriteIsTheCloseReason(t *testing.T) {
	w, _ := loggedWorker(DefaultLimits)
	c := openFailing(w)
	c.writeBuffer = []byte{1}
	c.flush()
	reason := c.reason(nil)
	require.ErrorIs(t, reason, ErrConnectionLost)
	require.ErrorIs(t, reason, errTestSocket)
	assert.EqualError(t, reason, "write: socket failed")
}

func TestConnection_FirstCloseReasonIsKept(t *testing.T) {
	w, _ := loggedWorker(DefaultLimits)
	c := openFailing(w)
	c.failSlowPeer()
	c.fail(errTestSocket)
	require.ErrorIs(t, c.reason(errTestSocket), ErrSlowPeer)
	assert.Equal(t, uint64(1), w.loop.Stats.SlowPeers.Load())
}

func TestConnection_ClosedWhilePendingDoesNotOpen(t *testing.T) {
	cancelled := false
	w, _ := loggedWorker(DefaultLimits)
	c := &connection{worker: w, cancelDial: func() { cancelled = true }}
	c.close()
	assert.True(t, cancelled)
	assert.False(t, c.open())
	assert.Equal(t, stateClosed, c.state)
}
