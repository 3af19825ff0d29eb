package replay

import (
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// maxBatch is how many records are handed over at a time; Maintain hands over whatever there is.
const maxBatch = 64

// Sink takes records. It must not keep the caller waiting.
type Sink interface{ Put(records []*trace.Record) }

// RecorderConfig is what an allocator starts with.
type RecorderConfig struct {
	Source     *tracepb.Source
	Settings   placement.Settings
	Seed       uint64
	GroupNames []string
	KindNames  []string
	ZoneNames  []string
}

// Recorder is a placement module whose calls are recorded with their outcomes. It has the module's methods, and a few
// for what goes on around it.
type Recorder struct {
	module   *placement.Scheduler
	sink     Sink
	revision uint64
	records  []*trace.Record // not handed over yet
}

// NewRecorder returns a module whose calls go to a sink, and records its start.
func NewRecorder(c RecorderConfig, sink Sink) *Recorder {
	r := &Recorder{module: placement.New(c.Settings, c.Seed), sink: sink}
	r.add(0, &trace.Record{Body: &tracepb.Record_Start{Start: &tracepb.Start{
		Source: c.Source, Settings: encodeSettings(c.Settings), Seed: c.Seed, Groups: c.GroupNames, Kinds: c.KindNames,
		Zones: c.ZoneNames,
	}}})
	return r
}

func (r *Recorder) add(now placement.Millis, rec *trace.Record) {
	r.revision++
	rec.AtMs, rec.Revision = float64(now), r.revision
	if r.records = append(r.records, rec); len(r.records) >= maxBatch {
		r.Flush()
	}
}

// Flush hands over the records that have not been yet.
func (r *Recorder) Flush() {
	if len(r.records) > 0 {
		r.sink.Put(r.records)
		r.records = make([]*trace.Record, 0, maxBatch)
	}
}

// recordStep records a step with the call that returned it, and makes its continuation record the next one.
func (r *Recorder) recordStep(now placement.Millis, id placement.WorkloadID, rec *trace.Record, s placement.Step) placement.Step {
	rec.Step = encodeStep(s)
	r.add(now, rec)
	next := s.NextStep
	if next == nil {
		return s
	}
	s.NextStep = func(now placement.Millis, result placement.Result) placement.Step {
		call := &trace.Record{Body: &tracepb.Record_StepResult{StepResult: encodeResult(id, result)}}
		return r.recordStep(now, id, call, next(now, result))
	}
	return s
}

// Schedule calls the module's Schedule.
func (r *Recorder) Schedule(now placement.Millis, w placement.Workload) placement.Step {
	call := &trace.Record{Body: &tracepb.Record_Schedule{Schedule: &tracepb.Schedule{Workload: encodeWorkload(w)}}}
	return r.recordStep(now, w.ID, call, r.module.Schedule(now, w))
}

// Adopt calls the module's Adopt.
func (r *Recorder) Adopt(now placement.Millis, w placement.Workload, node placement.NodeID) placement.Step {
	call := &trace.Record{Body: &tracepb.Record_Adopt{Adopt: &tracepb.Adopt{
		Workload: encodeWorkload(w), Node: uint32(node),
	}}}
	return r.recordStep(now, w.ID, call, r.module.Adopt(now, w, node))
}

// UpdateNodes calls the module's UpdateNodes.
func (r *Recorder) UpdateNodes(now placement.Millis, k placement.NodeUpdateKind, nodes []placement.Node) {
	r.module.UpdateNodes(now, k, nodes)
	r.add(now, &trace.Record{Body: &tracepb.Record_NodesUpdated{NodesUpdated: &tracepb.NodesUpdated{Kind: uint32(k), Nodes: encodeNodes(nodes)}}})
}

// ReportLoad calls the module's ReportLoad.
func (r *Recorder) ReportLoad(now placement.Millis, id placement.NodeID, l placement.LoadReport) {
	r.module.ReportLoad(now, id, l)
	r.add(now, &trace.Record{Body: &tracepb.Record_Report{Report: &tracepb.Report{Node: uint32(id), Load: encodeLoad(&l)}}})
}

// HealthChecked calls the module's HealthChecked.
func (r *Recorder) HealthChecked(now placement.Millis, id placement.NodeID, answered bool, l *placement.LoadReport) {
	r.module.HealthChecked(now, id, answered, l)
	r.add(now, &trace.Record{Body: &tracepb.Record_HealthChecked{HealthChecked: &tracepb.HealthChecked{
		Node: uint32(id), Answered: answered, Load: encodeLoad(l),
	}}})
}

// ReportUsage calls the module's ReportUsage.
func (r *Recorder) ReportUsage(now placement.Millis, id placement.WorkloadID, k placement.UsageKind, value float64) {
	r.module.ReportUsage(now, id, k, value)
	r.add(now, &trace.Record{Body: &tracepb.Record_UsageReport{UsageReport: &tracepb.UsageReport{
		Workload: uint32(id), Kind: uint32(k), Value: value,
	}}})
}

// Maintain calls the module's Maintain, and hands over what has been recorded.
func (r *Recorder) Maintain(now placement.Millis) placement.Maintenance {
	m := r.module.Maintain(now)
	r.add(now, &trace.Record{Body: &tracepb.Record_Maintain{Maintain: &tracepb.Maintain{}}, Maintenance: encodeMaintenance(m)})
	r.Flush()
	return m
}

// RecordRequest records whose a workload is, before it is scheduled or adopted.
func (r *Recorder) RecordRequest(now placement.Millis, id placement.WorkloadID, client string, request, key uint64) {
	r.add(now, &trace.Record{Body: &tracepb.Record_RequestReceived{RequestReceived: &tracepb.RequestReceived{
		Workload: uint32(id), Client: client, RequestId: request, Key: key,
	}}})
}

// RecordAnswer records what a client was answered.
func (r *Recorder) RecordAnswer(now placement.Millis, id placement.WorkloadID, verdict uint8, node placement.NodeID, text string) {
	r.add(now, &trace.Record{Body: &tracepb.Record_RequestAnswered{RequestAnswered: &tracepb.RequestAnswered{
		Workload: uint32(id), Verdict: uint32(verdict), Node: uint32(node), Text: text,
	}}})
}

// RecordRejection records the text with which a node rejected a workload.
func (r *Recorder) RecordRejection(now placement.Millis, id placement.WorkloadID, node placement.NodeID, text string) {
	r.add(now, &trace.Record{Body: &tracepb.Record_OfferRejected{OfferRejected: &tracepb.OfferRejected{
		Workload: uint32(id), Node: uint32(node), Text: text,
	}}})
}

// RecordListRevision records which revision of the endpoint list was received.
func (r *Recorder) RecordListRevision(now placement.Millis, epoch, revision uint64) {
	r.add(now, &trace.Record{Body: &tracepb.Record_DiscoveryUpdated{DiscoveryUpdated: &tracepb.DiscoveryUpdated{Epoch: epoch, Revision: revision}}})
}

// RecordGangRequest records that the workloads of a request belong together, before each of them.
func (r *Recorder) RecordGangRequest(now placement.Millis, client string, request uint64, parts, need int, pending placement.Millis) {
	r.add(now, &trace.Record{Body: &tracepb.Record_GangRequested{GangRequested: &tracepb.GangRequested{
		Client: client, RequestId: request, Parts: uint32(parts), MinParts: uint32(need), PendingTimeout: float64(pending),
	}}})
}

// RecordGangState records the progress of a gang, with the workloads of its parts, 0 for one that is not requested.
func (r *Recorder) RecordGangState(now placement.Millis, client string, request uint64, state string, parts []placement.WorkloadID) {
	g := &tracepb.GangState{Client: client, RequestId: request, State: state}
	for _, id := range parts {
		g.Workloads = append(g.Workloads, uint32(id))
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_GangState{GangState: g}})
}
