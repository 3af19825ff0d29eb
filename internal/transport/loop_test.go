package transport

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against decoding that expects a whole frame in one read: the frame is written byte by byte.
func TestLoop_FrameWrittenByteByByteIsDecoded(t *testing.T) {
	_, _, addr := startEcho(t, DefaultLimits)
	client := dial(t, addr)
	request, err := AppendFrame(nil, sampleRequest())
	require.NoError(t, err)
	for i := range request {
		_, err := client.Write(request[i : i+1])
		require.NoError(t, err)
	}
	_, err = read(client)
	assert.NoError(t, err)
}

// exchange sends a request with the given ID on a new connection, and checks the request ID of the answer.
func exchange(addr string, id uint64) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // an error does not affect the result
	request := sampleRequest()
	request.GetPlaceRequest().RequestId = id
	if err := sendFrame(conn, request); err != nil {
		return err
	}
	f, err := read(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	if f.GetAnswer().RequestId != id {
		return fmt.Errorf("request %d: got the answer to request %d", id, f.GetAnswer().RequestId)
	}
	return nil
}

// Guards against answers that are lost, or sent on the wrong connection, with 1000 concurrent connections.
func TestLoop_ThousandConcurrentConnectionsAreServed(t *testing.T) {
	_, echo, addr := startEcho(t, DefaultLimits)
	var exchanges sync.WaitGroup
	failures := make(chan error, 1000)
	for id := range uint64(1000) {
		exchanges.Go(func() {
			if err := exchange(addr, id); err != nil {
				failures <- err
			}
		})
	}
	exchanges.Wait()
	close(failures)
	for err := range failures {
		require.NoError(t, err)
	}
	echo.waitUntil(t, func() bool { return len(echo.closed) == 1000 })
}

func TestLoop_DialWithoutListenerReportsConnectionRefused(t *testing.T) {
	loop := NewLoop(nil)
	echo := &echoHandler{dialAddr: "127.0.0.1:1"}
	_, err := loop.ListenFrames(echo, "", DefaultLimits)
	require.NoError(t, err)
	loop.Run()
	defer loop.Close()
	reasons := echo.closeReasons(t, 1)
	require.ErrorIs(t, reasons[0], ErrConnectionRefused)
	require.EqualError(t, reasons[0], "connection refused")
}

func TestLoop_ListenAtInvalidAddressFails(t *testing.T) {
	_, err := NewLoop(nil).ListenFrames(&echoHandler{}, "127.0.0.1:99999", DefaultLimits)
	assert.Error(t, err)
}

func TestLoop_ListenerClosedBeforeTheLoopIsReported(t *testing.T) {
	loop, echo, _ := startEcho(t, DefaultLimits)
	require.NoError(t, loop.worker(echo).listener.Close())
	assert.ErrorContains(t, <-loop.Failed(), "listen on 127.0.0.1")
}
