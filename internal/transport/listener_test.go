package transport

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
)

// failingConn is a connection whose Write and Close fail.
type failingConn struct{ net.Conn }

func (failingConn) Write([]byte) (int, error) { return 0, errTestSocket }
func (failingConn) Close() error              { return errTestSocket }
func (failingConn) RemoteAddr() net.Addr      { return &net.TCPAddr{Port: 7} }

func TestListener_FailedRefusalAndCloseAreLogged(t *testing.T) {
	w, log := loggedWorker(Limits{MaxConnections: 0})
	newCodec := func() Codec { return frameCodec{maxSize: 1000} }
	l := &listener{worker: w, newCodec: newCodec}
	l.admit(failingConn{})
	assert.Contains(t, log.String(), `level=DEBUG msg="refusal not sent" peer=:7 error="socket failed"`)
	assert.Contains(t, log.String(), `level=WARN msg="connection not closed" peer=:7 error="socket failed"`)
	assert.Equal(t, uint64(1), w.loop.Stats.RejectedConnections.Load())
	assert.Zero(t, l.openCount.Load())
}
