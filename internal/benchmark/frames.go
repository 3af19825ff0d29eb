package benchmark

import (
	"bufio"
	"io"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// receive reads one frame.
func receive(in *bufio.Reader) (*pb.Frame, error) {
	return transport.ReadFrame(in, transport.DefaultLimits.MaxFrameSize)
}

// frameWriter writes frames, singly or in batches. After an error it discards all frames; the benchmark detects
// the error by the missing replies.
type frameWriter struct {
	out    io.Writer
	buffer []byte // encoded frames that are not flushed
	err    error  // first error
}

// add appends a frame to the buffer.
func (w *frameWriter) add(frame *pb.Frame) {
	if w.err == nil {
		w.buffer, w.err = transport.AppendFrame(w.buffer, frame)
	}
}

// flush writes the buffered frames.
func (w *frameWriter) flush() {
	if w.err == nil && len(w.buffer) > 0 {
		_, w.err = w.out.Write(w.buffer)
		w.buffer = w.buffer[:0]
	}
}

// send writes a frame immediately, after the buffered ones.
func (w *frameWriter) send(frame *pb.Frame) {
	w.add(frame)
	w.flush()
}

// requestFrame returns the frame of a request for a new workload.
func requestFrame(number uint64) *pb.Frame {
	const keySpace = 1 << 40 // keeps the keys apart from those of residents
	return &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
		RequestId:         number,
		Key:               keySpace | number,
		Service:           number % services,
		Group:             groupName,
		Cores:             workloadCores,
		Memory:            workloadMemory,
		PendingTimeoutMs:  pendingTimeout,
		ExpectedRuntimeMs: 1000,
	}}}
}
