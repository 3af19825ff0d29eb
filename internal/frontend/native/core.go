package native

import (
	"log/slog"

	"grebeglade/internal/allocator"
	"grebeglade/internal/eventlog"
	"grebeglade/internal/frontend"
	"grebeglade/internal/replay"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// core is what the parts of a frontend share: the engine's host, the network and where events are written.
type core struct {
	*frontend.Host
	config   Config
	log      *slog.Logger
	network  transport.FrameNetwork // set by Start
	eventLog *eventlog.Log
	recorder traceRecorder
	counters *Counters
	// interrupted reports whether the ends that the engine reports now are not the workloads' own; see reportEnds.
	interrupted bool
}

// hello is the frontend's first frame on every connection.
func (c *core) hello(running ...*pb.RunningWorkload) *pb.Frame {
	return transport.HelloFrame(&pb.Hello{
		Role: pb.Role_ALLOCATOR, Name: c.config.Name, Incarnation: c.config.Incarnation, RunningWorkloads: running,
	})
}

// reportEnds calls the engine with an event that may end workloads. Those that end of themselves while interrupted is
// true are reported to their clients as lost, not as finished.
func (c *core) reportEnds(interrupted bool, call func()) {
	c.interrupted = interrupted
	call()
	c.interrupted = false
}

// traceRecorder writes what goes on around the placement module to the trace. Without a trace it does nothing.
type traceRecorder struct{ recorder *replay.Recorder }

func (t traceRecorder) flush() {
	if t.recorder != nil {
		t.recorder.Flush()
	}
}

func (t traceRecorder) request(now placement.Millis, wl *workload) {
	if t.recorder != nil {
		t.recorder.RecordRequest(now, wl.id, wl.client, wl.request.RequestId, wl.request.Key)
	}
}

func (t traceRecorder) answer(now placement.Millis, wl *workload, v allocator.Verdict, node placement.NodeID, reason string) {
	if t.recorder != nil {
		t.recorder.RecordAnswer(now, wl.id, uint8(v), node, reason)
	}
}

func (t traceRecorder) nodeRejection(now placement.Millis, wl *workload, node placement.NodeID, text string) {
	if t.recorder != nil && text != "" {
		t.recorder.RecordRejection(now, wl.id, node, text)
	}
}

func (t traceRecorder) discoveryRevision(now placement.Millis, u *pb.NodeListUpdate) {
	if t.recorder != nil {
		t.recorder.RecordListRevision(now, u.Epoch, u.Revision)
	}
}

func (t traceRecorder) gangRequest(now placement.Millis, g *gangRequest, timeout placement.Millis) {
	if t.recorder != nil {
		t.recorder.RecordGangRequest(now, g.id.client, g.id.request, len(g.parts), int(g.request.MinParts), timeout)
	}
}

func (t traceRecorder) gangState(now placement.Millis, g *gangRequest) {
	if t.recorder != nil {
		t.recorder.RecordGangState(now, g.id.client, g.id.request, g.state.State.String(), g.parts)
	}
}
