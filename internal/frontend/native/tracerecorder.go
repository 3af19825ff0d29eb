package native

import (
	"grebeglade/internal/allocator"
	"grebeglade/internal/replay"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// traceRecorder adds to the trace what the placement module does not see: requests and answers of clients,
// rejections of nodes, revisions of the node list, and gangs. Without a trace it does nothing.
type traceRecorder struct{ recorder *replay.Recorder }

func (t traceRecorder) flush() {
	if t.recorder != nil {
		t.recorder.Flush()
	}
}

func (t traceRecorder) request(now placement.Millis, w *workload) {
	if t.recorder != nil {
		t.recorder.RecordRequest(now, w.id, w.client, w.request.RequestId, w.request.Key)
	}
}

func (t traceRecorder) answer(
	now placement.Millis, w *workload, v allocator.Verdict, node placement.NodeID, reason string,
) {
	if t.recorder != nil {
		t.recorder.RecordAnswer(now, w.id, uint8(v), node, reason)
	}
}

func (t traceRecorder) nodeRejection(now placement.Millis, w *workload, node placement.NodeID, text string) {
	if t.recorder != nil && text != "" {
		t.recorder.RecordRejection(now, w.id, node, text)
	}
}

func (t traceRecorder) discoveryRevision(now placement.Millis, update *pb.NodeListUpdate) {
	if t.recorder != nil {
		t.recorder.RecordListRevision(now, update.Epoch, update.Revision)
	}
}

func (t traceRecorder) gangRequest(now placement.Millis, g *gangRequest, timeout placement.Millis) {
	if t.recorder != nil {
		minParts := int(g.request.MinParts)
		t.recorder.RecordGangRequest(now, g.id.client, g.id.request, len(g.parts), minParts, timeout)
	}
}

func (t traceRecorder) gangState(now placement.Millis, g *gangRequest) {
	if t.recorder != nil {
		t.recorder.RecordGangState(now, g.id.client, g.id.request, g.machine.State().String(), g.parts)
	}
}
