package replay

import (
	"grebeglade/internal/allocator"
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// RecordRequest records the client, request and idempotency key of a workload, before it is scheduled or adopted.
func (r *Recorder) RecordRequest(now placement.Millis, id placement.WorkloadID, client string, request, key uint64) {
	received := &tracepb.RequestReceived{
		Workload:  uint32(id),
		Client:    client,
		RequestId: request,
		Key:       key,
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_RequestReceived{RequestReceived: received}})
}

// RecordAnswer records what a client was answered.
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

// RecordRejection records the text with which a node rejected a workload.
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

// RecordListRevision records which revision of the node list was received.
func (r *Recorder) RecordListRevision(now placement.Millis, epoch, revision uint64) {
	updated := &tracepb.DiscoveryUpdated{Epoch: epoch, Revision: revision}
	r.add(now, &trace.Record{Body: &tracepb.Record_DiscoveryUpdated{DiscoveryUpdated: updated}})
}

// GangRequest is a client's request for a gang.
type GangRequest struct {
	Client         string
	RequestID      uint64
	Parts          int
	MinParts       int // that must run
	PendingTimeout placement.Millis
}

// RecordGangRequest records a request for a gang, before the requests of its parts.
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

// RecordGangState records a gang's new state, with the workloads of its parts: 0 for a part that is not requested.
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
