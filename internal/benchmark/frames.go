package benchmark

import (
	"bufio"
	"io"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

func receive(r *bufio.Reader) (*pb.Frame, error) {
	return transport.ReadFrame(r, transport.DefaultLimits.MaxFrameSize)
}

// frameWriter writes frames, one by one or many at once. After an error it writes nothing more: what was not sent shows
// in what does not come back.
type frameWriter struct {
	w   io.Writer
	b   []byte
	err error
}

// add puts a frame behind those that wait for flush.
func (w *frameWriter) add(f *pb.Frame) {
	if w.err == nil {
		w.b, w.err = transport.AppendFrame(w.b, f)
	}
}

func (w *frameWriter) flush() {
	if w.err == nil && len(w.b) > 0 {
		_, w.err = w.w.Write(w.b)
		w.b = w.b[:0]
	}
}

// send writes a frame at once.
func (w *frameWriter) send(f *pb.Frame) {
	w.add(f)
	w.flush()
}

// requestFrame returns the request for a new workload.
func requestFrame(number uint64) *pb.Frame {
	const keySpace = 1 << 40 // apart from the keys of residents
	return &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: &pb.PlaceRequest{
		RequestId: number, Key: keySpace | number, Service: number % services, Group: groupName, Cores: workloadCores,
		Memory: workloadMemory, PendingTimeoutMs: pendingTimeout, ExpectedRuntimeMs: 1000,
	}}}
}
