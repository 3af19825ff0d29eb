package native

import (
	"grebeglade/internal/allocator"
	"grebeglade/internal/replay"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// traceRecorder adds events to the trace that do not reach the placement module: requests and answers of clients,
// rejections by nodes, revisions of the node list, and gangs. Without a trace it does nothing.
type traceRecorder struct{ recorder *replay.Recorder }

// flush passes the buffered records to the trace.
func (t traceRecorder) flush() {
	if t.recorder != nil {
		t.recorder.Flush()
	}
}

// request records the client and request of a workload; the placement module only receives its id.
func (t traceRecorder) request(now placement.Millis, w *workload) {
	if t.recorder != nil {
		t.recorder.RecordRequest(now, w.id, w.client, w.request.RequestId, w.request.Key)
	}
}

// answer records the final answer for a workload.
func (t traceRecorder) answer(
	now placement.Millis, w *workload, verdict allocator.Verdict, node placement.NodeID, reason string,
) {
	if t.recorder != nil {
		t.recorder.RecordAnswer(now, w.id, verdict, node, reason)
	}
}

// nodeRejection records the text of a node's rejection, if it has one; the placement module only receives its reason.
func (t traceRecorder) nodeRejection(now placement.Millis, w *workload, node placement.NodeID, text string) {
	if t.recorder != nil && text != "" {
		t.recorder.RecordRejection(now, w.id, node, text)
	}
}

// discoveryRevision records the revision of the node list that the next update of the placement module is based on.
func (t traceRecorder) discoveryRevision(now placement.Millis, update *pb.NodeListUpdate) {
	if t.recorder != nil {
		t.recorder.RecordListRevision(now, update.Epoch, update.Revision)
	}
}

// gangRequest records a client's request for a gang, with the remainder of its timeout in ms.
func (t traceRecorder) gangRequest(now placement.Millis, g *gangRequest, timeout placement.Millis) {
	if t.recorder != nil {
		t.recorder.RecordGangRequest(now, replay.GangRequest{
			Client:         g.id.client,
			RequestID:      g.id.request,
			Parts:          len(g.parts),
			MinParts:       int(g.request.MinParts),
			PendingTimeout: timeout,
		})
	}
}

// gangState records a gang's new state and the workloads of its parts.
func (t traceRecorder) gangState(now placement.Millis, g *gangRequest) {
	if t.recorder != nil {
		t.recorder.RecordGangState(now, g.id.client, g.id.request, g.machine.State().String(), g.parts)
	}
}
