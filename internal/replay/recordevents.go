package replay

import (
	"grebeglade/internal/allocator"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// RecordRequest records the client, request id and idempotency key of a workload. It must be called before the workload
// is scheduled or adopted.
func (r *Recorder) RecordRequest(now placement.Millis, id placement.WorkloadID, client string, request, key uint64) {
	received := &tracepb.RequestReceived{
		Workload:  uint32(id),
		Client:    client,
		RequestId: request,
		Key:       key,
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_RequestReceived{RequestReceived: received}})
}

// RecordAnswer records the answer to a client's request.
func (r *Recorder) RecordAnswer(
	now placement.Millis, id placement.WorkloadID, verdict allocator.Verdict, node placement.NodeID, text string,
) {
	answered := &tracepb.RequestAnswered{
		Workload: uint32(id),
		Verdict:  uint32(verdict),
		Node:     uint32(node),
		Text:     text,
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_RequestAnswered{RequestAnswered: answered}})
}

// RecordRejection records a node's rejection of a workload, with the node's text.
func (r *Recorder) RecordRejection(
	now placement.Millis, id placement.WorkloadID, node placement.NodeID, text string,
) {
	rejected := &tracepb.OfferRejected{
		Workload: uint32(id),
		Node:     uint32(node),
		Text:     text,
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_OfferRejected{OfferRejected: rejected}})
}

// RecordListRevision records the epoch and revision of a received node list.
func (r *Recorder) RecordListRevision(now placement.Millis, epoch, revision uint64) {
	updated := &tracepb.DiscoveryUpdated{Epoch: epoch, Revision: revision}
	r.add(now, &trace.Record{Body: &tracepb.Record_DiscoveryUpdated{DiscoveryUpdated: updated}})
}

// GangRequest is a client's request for a gang.
type GangRequest struct {
	Client         string
	RequestID      uint64
	Parts          int // number of parts
	MinParts       int // minimum number of parts that must run
	PendingTimeout placement.Millis
}

// RecordGangRequest records a request for a gang. It must be called before the requests of its parts are recorded.
func (r *Recorder) RecordGangRequest(now placement.Millis, request GangRequest) {
	requested := &tracepb.GangRequested{
		Client:         request.Client,
		RequestId:      request.RequestID,
		Parts:          uint32(request.Parts),
		MinParts:       uint32(request.MinParts),
		PendingTimeout: float64(request.PendingTimeout),
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_GangRequested{GangRequested: requested}})
}

// RecordGangState records a gang's new state and the workloads of its parts, 0 for a part that is not requested.
func (r *Recorder) RecordGangState(
	now placement.Millis, client string, request uint64, state string, parts []placement.WorkloadID,
) {
	gang := &tracepb.GangState{
		Client:    client,
		RequestId: request,
		State:     state,
	}
	for _, id := range parts {
		gang.Workloads = append(gang.Workloads, uint32(id))
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_GangState{GangState: gang}})
}
