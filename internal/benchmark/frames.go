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

// frameWriter writes frames, one by one or many at once. After an error it writes nothing more: the benchmark notices
// by the answers that do not come.
type frameWriter struct {
	out    io.Writer
	buffer []byte // encoded frames that wait for flush
	err    error  // the first one
}

// add puts a frame behind those that wait for flush.
func (w *frameWriter) add(frame *pb.Frame) {
	if w.err == nil {
		w.buffer, w.err = transport.AppendFrame(w.buffer, frame)
	}
}

// flush writes the frames that were added since the last flush.
func (w *frameWriter) flush() {
	if w.err == nil && len(w.buffer) > 0 {
		_, w.err = w.out.Write(w.buffer)
		w.buffer = w.buffer[:0]
	}
}

// send writes a frame at once.
func (w *frameWriter) send(frame *pb.Frame) {
	w.add(frame)
	w.flush()
}

// requestFrame returns the request for a new workload.
func requestFrame(number uint64) *pb.Frame {
	const keySpace = 1 << 40 // apart from the keys of residents
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
