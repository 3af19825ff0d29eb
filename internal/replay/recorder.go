package replay

import (
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// maxBatch is how many records are put into the sink at a time; Maintain puts all there are.
const maxBatch = 64

// Sink takes records.
type Sink interface {
	// Put takes records, which are not changed afterwards. It must not block.
	Put(records []*trace.Record)
}

// RecorderConfig is what an allocator starts with.
type RecorderConfig struct {
	Source     *tracepb.Source
	Settings   placement.Settings
	Seed       uint64
	GroupNames []string
	KindNames  []string
	ZoneNames  []string
}

// Recorder is a placement module whose calls are recorded with their outcomes. It has the module's methods, and others
// that record what happens around the module.
type Recorder struct {
	module   *placement.Scheduler
	sink     Sink
	revision uint64
	records  []*trace.Record // not in the sink yet
}

// NewRecorder returns a module whose calls go to a sink, and records its start.
func NewRecorder(config RecorderConfig, sink Sink) *Recorder {
	recorder := &Recorder{module: placement.New(config.Settings, config.Seed), sink: sink}
	start := &tracepb.Start{
		Source:   config.Source,
		Settings: encodeSettings(config.Settings),
		Seed:     config.Seed,
		Groups:   config.GroupNames,
		Kinds:    config.KindNames,
		Zones:    config.ZoneNames,
	}
	recorder.add(0, &trace.Record{Body: &tracepb.Record_Start{Start: start}})
	return recorder
}

// add numbers a record as the next one. Full batches go to the sink.
func (r *Recorder) add(now placement.Millis, record *trace.Record) {
	r.revision++
	record.AtMs = float64(now)
	record.Revision = r.revision
	r.records = append(r.records, record)
	if len(r.records) >= maxBatch {
		r.Flush()
	}
}

// Flush puts the remaining records into the sink.
func (r *Recorder) Flush() {
	if len(r.records) > 0 {
		r.sink.Put(r.records)
		r.records = make([]*trace.Record, 0, maxBatch)
	}
}

// recordStep records a step with the call that returned it, and makes its continuation record the next one.
func (r *Recorder) recordStep(
	now placement.Millis, id placement.WorkloadID, call *trace.Record, step placement.Step,
) placement.Step {
	call.Step = encodeStep(step)
	r.add(now, call)
	next := step.NextStep
	if next == nil {
		return step
	}
	step.NextStep = func(now placement.Millis, result placement.Result) placement.Step {
		call := &trace.Record{Body: &tracepb.Record_StepResult{StepResult: encodeResult(id, result)}}
		return r.recordStep(now, id, call, next(now, result))
	}
	return step
}

// Schedule calls the module's Schedule.
func (r *Recorder) Schedule(now placement.Millis, w placement.Workload) placement.Step {
	schedule := &tracepb.Schedule{Workload: encodeWorkload(w)}
	call := &trace.Record{Body: &tracepb.Record_Schedule{Schedule: schedule}}
	return r.recordStep(now, w.ID, call, r.module.Schedule(now, w))
}

// Adopt calls the module's Adopt.
func (r *Recorder) Adopt(now placement.Millis, w placement.Workload, node placement.NodeID) placement.Step {
	adopt := &tracepb.Adopt{Workload: encodeWorkload(w), Node: uint32(node)}
	call := &trace.Record{Body: &tracepb.Record_Adopt{Adopt: adopt}}
	return r.recordStep(now, w.ID, call, r.module.Adopt(now, w, node))
}

// UpdateNodes calls the module's UpdateNodes.
func (r *Recorder) UpdateNodes(now placement.Millis, kind placement.NodeUpdateKind, nodes []placement.Node) {
	r.module.UpdateNodes(now, kind, nodes)
	updated := &tracepb.NodesUpdated{Kind: uint32(kind), Nodes: encodeNodes(nodes)}
	r.add(now, &trace.Record{Body: &tracepb.Record_NodesUpdated{NodesUpdated: updated}})
}

// ReportLoad calls the module's ReportLoad.
func (r *Recorder) ReportLoad(now placement.Millis, id placement.NodeID, load placement.LoadReport) {
	r.module.ReportLoad(now, id, load)
	report := &tracepb.Report{Node: uint32(id), Load: encodeLoad(&load)}
	r.add(now, &trace.Record{Body: &tracepb.Record_Report{Report: report}})
}

// HealthChecked calls the module's HealthChecked.
func (r *Recorder) HealthChecked(
	now placement.Millis, id placement.NodeID, answered bool, load *placement.LoadReport,
) {
	r.module.HealthChecked(now, id, answered, load)
	checked := &tracepb.HealthChecked{
		Node:     uint32(id),
		Answered: answered,
		Load:     encodeLoad(load),
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_HealthChecked{HealthChecked: checked}})
}

// ReportUsage calls the module's ReportUsage.
func (r *Recorder) ReportUsage(now placement.Millis, id placement.WorkloadID, kind placement.UsageKind, value float64) {
	r.module.ReportUsage(now, id, kind, value)
	usage := &tracepb.UsageReport{
		Workload: uint32(id),
		Kind:     uint32(kind),
		Value:    value,
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_UsageReport{UsageReport: usage}})
}

// Maintain calls the module's Maintain, and puts what has been recorded into the sink.
func (r *Recorder) Maintain(now placement.Millis) placement.Maintenance {
	actions := r.module.Maintain(now)
	r.add(now, &trace.Record{
		Body:        &tracepb.Record_Maintain{Maintain: &tracepb.Maintain{}},
		Maintenance: encodeMaintenance(actions),
	})
	r.Flush()
	return actions
}
