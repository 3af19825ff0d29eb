package compatibility_test

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"grebeglade/internal/transport"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "grebeglade/proto/grebeglade/v1"
)

const (
	maxFrameSize = 1 << 20
	stubTimeout  = 20 * time.Second
)

// stubAllocator starts an allocator that replies to each frame after the hello with the frames that answer returns, and
// returns its address.
func stubAllocator(t *testing.T, answer func(request *pb.Frame) []*pb.Frame) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if err := serveConnection(conn, answer); err != nil {
				t.Errorf("stub allocator: %v", err)
			}
		}
	}()
	return listener.Addr().String()
}

// serveConnection replies to the frames of a connection until its peer closes it, or answer returns no frames.
func serveConnection(conn net.Conn, answer func(request *pb.Frame) []*pb.Frame) (err error) {
	defer func() { err = errors.Join(err, conn.Close()) }()
	if err := conn.SetDeadline(time.Now().Add(stubTimeout)); err != nil {
		return err
	}
	if _, err := transport.ReadFrame(conn, maxFrameSize); err != nil {
		return fmt.Errorf("read the hello: %w", err)
	}
	hello := &pb.Hello{
		Role:        pb.Role_ALLOCATOR,
		Name:        "allocator-1",
		Incarnation: 3,
	}
	frames := []*pb.Frame{transport.HelloFrame(hello)}
	for len(frames) > 0 {
		if err := writeFrames(conn, frames); err != nil {
			return err
		}
		request, err := transport.ReadFrame(conn, maxFrameSize)
		if err != nil {
			return nil // the command has closed the connection
		}
		frames = answer(request)
	}
	return nil
}

func writeFrames(conn net.Conn, frames []*pb.Frame) error {
	for _, frame := range frames {
		encoded, err := transport.AppendFrame(nil, frame)
		if err != nil {
			return err
		}
		if _, err := conn.Write(encoded); err != nil {
			return err
		}
	}
	return nil
}

func TestOperatorCommandsJSON_AsStored(t *testing.T) {
	state := &pb.State{}
	values := populator{next: 4100}
	values.message(state.ProtoReflect())
	addr := stubAllocator(t, func(request *pb.Frame) []*pb.Frame {
		assert.EqualValues(t, 17, request.GetQuery().GetLimit())
		return []*pb.Frame{{Body: &pb.Frame_State{State: state}}}
	})
	for _, name := range []string{"workloads", "nodes", "gangs"} {
		t.Run(name, func(t *testing.T) {
			out := mustRun(t, name, "--to", addr, "--most", "17", "--json")
			compareWithStored(t, "json/"+name+".json", stableJSON(t, out))
			compareWithStored(t, name+".txt", mustRun(t, name, "--to", addr, "--most", "17"))
		})
	}
}

func TestSubmitJSON_AsStored(t *testing.T) {
	for name, verdict := range map[string]pb.Verdict{
		"placed":        pb.Verdict_PLACED,
		"rejected":      pb.Verdict_REJECTED,
		"unschedulable": pb.Verdict_UNSCHEDULABLE,
	} {
		t.Run(name, func(t *testing.T) {
			addr := stubAllocator(t, func(request *pb.Frame) []*pb.Frame {
				id := request.GetPlaceRequest().GetRequestId()
				answer := &pb.Answer{
					RequestId: id,
					Verdict:   verdict,
					Node:      12,
					Reason:    "no node fits",
				}
				ended := &pb.WorkloadEnded{RequestId: id, Reason: pb.Reason_PREEMPTED}
				return []*pb.Frame{
					{Body: &pb.Frame_Answer{Answer: answer}},
					{Body: &pb.Frame_WorkloadEnded{WorkloadEnded: ended}},
				}
			})
			code, out, stderr := runCommand(
				"submit", "--to", addr, "--group", "serve", "--cores", "1", "--memory", "2", "--key", "7",
				"--wait", "--json")
			require.Equal(t, verdict != pb.Verdict_PLACED, code == 1, stderr)
			compareWithStored(t, "json/submit-"+name+".json", stableJSON(t, out, "ask", "took_ms"))
		})
	}
}

func TestSubmitGangJSON_AsStored(t *testing.T) {
	addr := stubAllocator(t, func(request *pb.Frame) []*pb.Frame {
		gang := request.GetGangRequest()
		assert.NotEmpty(t, gang.GetParts())
		answer := &pb.Answer{
			RequestId: gang.GetRequestId(),
			Verdict:   pb.Verdict_PLACED,
			Nodes:     []uint32{4, 0, 9},
		}
		return []*pb.Frame{{Body: &pb.Frame_Answer{Answer: answer}}}
	})
	out := mustRun(t, "submit", "--to", addr, "--gang", filepath.Join("testdata", "gang.hcl"), "--json")
	compareWithStored(t, "json/submit-gang.json", stableJSON(t, out, "ask", "took_ms"))
}
