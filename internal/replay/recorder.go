package replay

import (
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// maxBatch is how many records are handed to the sink at a time, at most.
const maxBatch = 64

// Sink takes records. Put must not block.
type Sink interface{ Put(records []*trace.Record) }

// RecorderConfig describes the allocator whose calls are recorded.
type RecorderConfig struct {
	Source                           *tracepb.Source
	Settings                         placement.Settings
	Seed                             uint64
	GroupNames, KindNames, ZoneNames []string // by their numbers
}

// Recorder is a placement module that records each call and its outcome. It has the methods of the module, and others
// that record events around it.
type Recorder struct {
	module   *placement.Scheduler
	sink     Sink
	revision uint64
	records  []*trace.Record // not handed to the sink yet
}

// NewRecorder returns a new module whose calls are recorded into the sink.
func NewRecorder(config RecorderConfig, sink Sink) *Recorder {
	r := &Recorder{module: placement.New(config.Settings, config.Seed), sink: sink}
	r.add(0, &trace.Record{Body: &tracepb.Record_Start{Start: &tracepb.Start{
		Source: config.Source, Settings: encodeSettings(config.Settings), Seed: config.Seed,
		Groups: config.GroupNames, Kinds: config.KindNames, Zones: config.ZoneNames,
	}}})
	return r
}

func (r *Recorder) add(now placement.Millis, record *trace.Record) {
	r.revision++
	record.AtMs, record.Revision = float64(now), r.revision
	r.records = append(r.records, record)
	if len(r.records) >= maxBatch {
		r.Flush()
	}
}

// Flush hands the records so far to the sink.
func (r *Recorder) Flush() {
	if len(r.records) > 0 {
		r.sink.Put(r.records)
		r.records = make([]*trace.Record, 0, maxBatch)
	}
}

// addStep records a call with the step that it returned, and returns the step with a NextStep that is recorded too.
func (r *Recorder) addStep(now placement.Millis, id placement.WorkloadID, record *trace.Record, s placement.Step) placement.Step {
	record.Step = encodeStep(s)
	r.add(now, record)
	if next := s.NextStep; next != nil {
		s.NextStep = func(now placement.Millis, result placement.Result) placement.Step {
			record := &trace.Record{Body: &tracepb.Record_Next{Next: encodeResult(id, result)}}
			return r.addStep(now, id, record, next(now, result))
		}
	}
	return s
}

// Schedule calls the method of the same name of placement.Scheduler and records it.
func (r *Recorder) Schedule(now placement.Millis, w placement.Workload) placement.Step {
	return r.addStep(now, w.ID, &trace.Record{Body: &tracepb.Record_Place{Place: &tracepb.Place{
		Workload: encodeWorkload(w),
	}}}, r.module.Schedule(now, w))
}

// Adopt calls the method of the same name of placement.Scheduler and records it.
func (r *Recorder) Adopt(now placement.Millis, w placement.Workload, node placement.NodeID) placement.Step {
	return r.addStep(now, w.ID, &trace.Record{Body: &tracepb.Record_Adopt{Adopt: &tracepb.Adopt{
		Workload: encodeWorkload(w), Node: uint32(node),
	}}}, r.module.Adopt(now, w, node))
}

// UpdateNodes calls the method of the same name of placement.Scheduler and records it.
func (r *Recorder) UpdateNodes(now placement.Millis, k placement.NodeUpdateKind, nodes []placement.Node) {
	r.module.UpdateNodes(now, k, nodes)
	r.add(now, &trace.Record{Body: &tracepb.Record_List{List: &tracepb.List{Kind: uint32(k), Nodes: encodeNodes(nodes)}}})
}

// ReportLoad calls the method of the same name of placement.Scheduler and records it.
func (r *Recorder) ReportLoad(now placement.Millis, id placement.NodeID, l placement.LoadReport) {
	r.module.ReportLoad(now, id, l)
	r.add(now, &trace.Record{Body: &tracepb.Record_Report{Report: &tracepb.Report{Node: uint32(id), Load: encodeLoad(&l)}}})
}

// HealthChecked calls the method of the same name of placement.Scheduler and records it.
func (r *Recorder) HealthChecked(now placement.Millis, id placement.NodeID, answered bool, l *placement.LoadReport) {
	r.module.HealthChecked(now, id, answered, l)
	r.add(now, &trace.Record{Body: &tracepb.Record_Probed{Probed: &tracepb.Probed{
		Node: uint32(id), Answered: answered, Load: encodeLoad(l),
	}}})
}

// ReportUsage calls the method of the same name of placement.Scheduler and records it.
func (r *Recorder) ReportUsage(now placement.Millis, id placement.WorkloadID, k placement.UsageKind, value float64) {
	r.module.ReportUsage(now, id, k, value)
	r.add(now, &trace.Record{Body: &tracepb.Record_Note{Note: &tracepb.Note{
		Workload: uint32(id), Kind: uint32(k), Value: value,
	}}})
}

// Maintain calls the method of the same name of placement.Scheduler and records it, and flushes.
func (r *Recorder) Maintain(now placement.Millis) placement.Maintenance {
	c := r.module.Maintain(now)
	r.add(now, &trace.Record{Body: &tracepb.Record_Upkeep{Upkeep: &tracepb.Upkeep{}}, Chores: encodeMaintenance(c)})
	r.Flush()
	return c
}

// RecordRequest records the client and the request of a workload, before it is scheduled or adopted.
func (r *Recorder) RecordRequest(now placement.Millis, id placement.WorkloadID, client string, request, key uint64) {
	r.add(now, &trace.Record{Body: &tracepb.Record_Asked{Asked: &tracepb.Asked{
		Workload: uint32(id), Owner: client, Ask: request, Key: key,
	}}})
}

// RecordAnswer records the final answer to a client, with an allocator.Verdict.
func (r *Recorder) RecordAnswer(now placement.Millis, id placement.WorkloadID, verdict uint8, node placement.NodeID, text string) {
	r.add(now, &trace.Record{Body: &tracepb.Record_Answered{Answered: &tracepb.Answered{
		Workload: uint32(id), Verdict: uint32(verdict), Node: uint32(node), Text: text,
	}}})
}

// RecordRejection records the text with which a node rejected a workload.
func (r *Recorder) RecordRejection(now placement.Millis, id placement.WorkloadID, node placement.NodeID, text string) {
	r.add(now, &trace.Record{Body: &tracepb.Record_Refused{Refused: &tracepb.Refused{
		Workload: uint32(id), Node: uint32(node), Text: text,
	}}})
}

// RecordListRevision records the revision of the node list that was received.
func (r *Recorder) RecordListRevision(now placement.Millis, epoch, revision uint64) {
	r.add(now, &trace.Record{Body: &tracepb.Record_Heard{Heard: &tracepb.Heard{Epoch: epoch, Revision: revision}}})
}

// RecordGangRequest records the request of a gang, of which need parts must run together.
func (r *Recorder) RecordGangRequest(now placement.Millis, client string, request uint64, parts, need int, pendingTimeout placement.Millis) {
	r.add(now, &trace.Record{Body: &tracepb.Record_GangAsked{GangAsked: &tracepb.GangAsked{
		Owner: client, Ask: request, Parts: uint32(parts), Need: uint32(need), Left: float64(pendingTimeout),
	}}})
}

// RecordGangState records a new state of a gang.
func (r *Recorder) RecordGangState(now placement.Millis, client string, request uint64, state string, parts []placement.WorkloadID) {
	g := &tracepb.GangState{Owner: client, Ask: request, State: state}
	for _, id := range parts {
		g.Workloads = append(g.Workloads, uint32(id))
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_GangState{GangState: g}})
}
