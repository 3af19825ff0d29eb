package replay

import (
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// maxBatch is the number of records at which a batch is passed to the sink. Maintain passes smaller batches too.
const maxBatch = 64

// Sink receives batches of records.
type Sink interface {
	// Put receives a batch, which the caller does not change afterwards. It must not block.
	Put(records []*trace.Record)
}

// RecorderConfig contains the arguments of the module, and the source and names for the Start record.
type RecorderConfig struct {
	Source     *tracepb.Source
	Settings   placement.Settings
	Seed       uint64
	GroupNames []string
	KindNames  []string
	ZoneNames  []string
}

// Recorder is a placement module whose calls are recorded with their results. It has the module's methods, and methods
// that record other events of the allocator.
type Recorder struct {
	module   *placement.Scheduler
	sink     Sink
	revision uint64
	records  []*trace.Record // records not passed to the sink yet
}

// NewRecorder creates a module whose calls are recorded to a sink, and adds the Start record.
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

// add sets the time and the next revision of a record, and passes the batch to the sink if it is full.
func (r *Recorder) add(now placement.Millis, record *trace.Record) {
	r.revision++
	record.AtMs = float64(now)
	record.Revision = r.revision
	r.records = append(r.records, record)
	if len(r.records) >= maxBatch {
		r.Flush()
	}
}

// Flush passes the remaining records to the sink.
func (r *Recorder) Flush() {
	if len(r.records) > 0 {
		r.sink.Put(r.records)
		r.records = make([]*trace.Record, 0, maxBatch)
	}
}

// recordStep records a call with the step that it returned. It wraps the step's NextStep, so that the workload's next
// step is recorded too.
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

// Schedule calls the module's Schedule and records the call.
func (r *Recorder) Schedule(now placement.Millis, w placement.Workload) placement.Step {
	schedule := &tracepb.Schedule{Workload: encodeWorkload(w)}
	call := &trace.Record{Body: &tracepb.Record_Schedule{Schedule: schedule}}
	return r.recordStep(now, w.ID, call, r.module.Schedule(now, w))
}

// Adopt calls the module's Adopt and records the call.
func (r *Recorder) Adopt(now placement.Millis, w placement.Workload, node placement.NodeID) placement.Step {
	adopt := &tracepb.Adopt{Workload: encodeWorkload(w), Node: uint32(node)}
	call := &trace.Record{Body: &tracepb.Record_Adopt{Adopt: adopt}}
	return r.recordStep(now, w.ID, call, r.module.Adopt(now, w, node))
}

// UpdateNodes calls the module's UpdateNodes and records the call.
func (r *Recorder) UpdateNodes(now placement.Millis, kind placement.NodeUpdateKind, nodes []placement.Node) {
	r.module.UpdateNodes(now, kind, nodes)
	updated := &tracepb.NodesUpdated{Kind: uint32(kind), Nodes: encodeNodes(nodes)}
	r.add(now, &trace.Record{Body: &tracepb.Record_NodesUpdated{NodesUpdated: updated}})
}

// ReportLoad calls the module's ReportLoad and records the call.
func (r *Recorder) ReportLoad(now placement.Millis, id placement.NodeID, load placement.LoadReport) {
	r.module.ReportLoad(now, id, load)
	report := &tracepb.Report{Node: uint32(id), Load: encodeLoad(&load)}
	r.add(now, &trace.Record{Body: &tracepb.Record_Report{Report: report}})
}

// HealthChecked calls the module's HealthChecked and records the call.
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

// ReportUsage calls the module's ReportUsage and records the call.
func (r *Recorder) ReportUsage(now placement.Millis, id placement.WorkloadID, kind placement.UsageKind, value float64) {
	r.module.ReportUsage(now, id, kind, value)
	usage := &tracepb.UsageReport{
		Workload: uint32(id),
		Kind:     uint32(kind),
		Value:    value,
	}
	r.add(now, &trace.Record{Body: &tracepb.Record_UsageReport{UsageReport: usage}})
}

// Maintain calls the module's Maintain, records the call, and passes all records to the sink.
func (r *Recorder) Maintain(now placement.Millis) placement.Maintenance {
	actions := r.module.Maintain(now)
	r.add(now, &trace.Record{
		Body:        &tracepb.Record_Maintain{Maintain: &tracepb.Maintain{}},
		Maintenance: encodeMaintenance(actions),
	})
	r.Flush()
	return actions
}
