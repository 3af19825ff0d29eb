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

// flush passes what was recorded since the last call to the trace.
func (t traceRecorder) flush() {
	if t.recorder != nil {
		t.recorder.Flush()
	}
}

// request records which client and request a workload belongs to; the placement module knows its id only.
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

// nodeRejection records the text of a node's rejection, if it has one; the placement module sees its reason only.
func (t traceRecorder) nodeRejection(now placement.Millis, w *workload, node placement.NodeID, text string) {
	if t.recorder != nil && text != "" {
		t.recorder.RecordRejection(now, w.id, node, text)
	}
}

// discoveryRevision records which revision of the node list the next update of the placement module has.
func (t traceRecorder) discoveryRevision(now placement.Millis, update *pb.NodeListUpdate) {
	if t.recorder != nil {
		t.recorder.RecordListRevision(now, update.Epoch, update.Revision)
	}
}

// gangRequest records a client's request for a gang, with the time for which the client waits.
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
