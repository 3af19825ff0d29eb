package daemon

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/config"
	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// start is a daemon without any node: its list is nowhere.
func start(t *testing.T) *Daemon {
	t.Helper()
	c, err := config.Decode("t.hcl", []byte(`
allocator {
  listen = "127.0.0.1:0"
  list   = "127.0.0.1:1"
}
kind "k" {}
group "serve" {
  target = "300ms"
}
log {
  level = "error"
}
`))
	require.NoError(t, err)
	d, err := Start(c, Logger(c.Log, io.Discard))
	require.NoError(t, err)
	return d
}

func send(c net.Conn, f *pb.Frame) error {
	b, err := transport.AppendFrame(nil, f)
	if err == nil {
		_, err = c.Write(b)
	}
	return err
}

func receive(c net.Conn) (*pb.Frame, error) {
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return nil, err
	}
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(c, body); err != nil {
		return nil, err
	}
	return transport.DecodeFrame(body)
}

// asks has an owner ask once, and returns its one answer.
func asks(addr, owner string) (*pb.Answer, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ask := &pb.Ask{Ask: 1, Key: uint64(len(owner)), Group: "serve", Cores: 1, Memory: 1, LeftMs: 5000}
	if _, err := fmt.Sscanf(owner, "owner-%d", &ask.Key); err != nil {
		return nil, err
	}
	for _, f := range []*pb.Frame{
		transport.HelloFrame(&pb.Hello{Role: pb.Role_OWNER, Name: owner, Incarnation: 1}), {Body: &pb.Frame_Ask{Ask: ask}},
	} {
		if err := send(c, f); err != nil {
			return nil, err
		}
	}
	if _, err := receive(c); err != nil {
		return nil, err
	}
	f, err := receive(c)
	if err != nil {
		return nil, err
	}
	return f.GetAnswer(), nil
}

func TestAThousandOwnersAtOnceOnADaemonWithoutNodesAreAllRejected(t *testing.T) {
	d := start(t)
	var wg sync.WaitGroup
	results := make(chan string, 1000)
	for i := range 1000 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, err := asks(d.Addr, fmt.Sprintf("owner-%d", i+1))
			results <- fmt.Sprint(a.GetVerdict(), a.GetReason(), err)
		}()
	}
	wg.Wait()
	close(results)
	for r := range results {
		assert.Equal(t, "REJECTEDno node is known<nil>", r)
	}
	assert.Zero(t, d.Stop(context.Background()))
}

func TestADaemonThatStopsAnswersWhatItHoldsAndTurnsTheRestAway(t *testing.T) {
	d := start(t)
	held := make(chan string, 1)
	go func() {
		a, err := asks(d.Addr, "owner-1")
		held <- fmt.Sprint(a.GetReason(), err)
	}()
	require.Eventually(t, func() bool { return d.pending() == 1 }, 5*time.Second, time.Millisecond)
	stopped := make(chan int, 1)
	go func() { stopped <- d.Stop(context.Background()) }()
	a, err := asks(d.Addr, "owner-2")
	if err == nil { // unless it had left by then
		assert.Equal(t, "the allocator is stopping; ask another", a.GetReason())
	}
	assert.Equal(t, "no node is known<nil>", <-held)
	assert.Zero(t, <-stopped)
}

func TestADaemonThatMayNotWaitSaysWhatItLeaves(t *testing.T) {
	d := start(t)
	go asks(d.Addr, "owner-1")
	require.Eventually(t, func() bool { return d.pending() == 1 }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, 1, d.Stop(ctx))
}
