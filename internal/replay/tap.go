package replay

import (
	"grebeglade/placement"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// batchMost is how many records are handed over at a time; chores hand over what there is.
const batchMost = 64

// Sink takes records. It must not keep the caller waiting.
type Sink interface{ Put(records []*trace.Record) }

// RecorderConfig is what an allocator starts with.
type RecorderConfig struct {
	Source                           *tracepb.Source
	Settings                         placement.Settings
	Seed                             uint64
	GroupNames, KindNames, ZoneNames []string
}

// Recorder is the module with every call written down. Its methods are the module's, and a few for what goes on
// round it.
type Recorder struct {
	module   *placement.Scheduler
	sink     Sink
	revision uint64
	records  []*trace.Record
}

// NewRecorder makes a module whose calls go to a sink.
func NewRecorder(b RecorderConfig, sink Sink) *Recorder {
	t := &Recorder{module: placement.New(b.Settings, b.Seed), sink: sink}
	t.add(0, &trace.Record{Body: &tracepb.Record_Start{Start: &tracepb.Start{
		Source: b.Source, Settings: encodeSettings(b.Settings), Seed: b.Seed, Groups: b.GroupNames, Kinds: b.KindNames, Zones: b.ZoneNames,
	}}})
	return t
}

func (t *Recorder) add(now placement.Millis, r *trace.Record) {
	t.revision++
	r.AtMs, r.Revision = float64(now), t.revision
	if t.records = append(t.records, r); len(t.records) >= batchMost {
		t.Flush()
	}
}

// Flush hands over what is there.
func (t *Recorder) Flush() {
	if len(t.records) > 0 {
		t.sink.Put(t.records)
		t.records = make([]*trace.Record, 0, batchMost)
	}
}

// step writes a step down with the call that it came of, and follows its continuation.
func (t *Recorder) step(now placement.Millis, id placement.WorkloadID, r *trace.Record, s placement.Step) placement.Step {
	r.Step = encodeStep(s)
	t.add(now, r)
	if next := s.NextStep; next != nil {
		s.NextStep = func(now placement.Millis, result placement.Result) placement.Step {
			return t.step(now, id, &trace.Record{Body: &tracepb.Record_Next{Next: &tracepb.Next{
				Workload: uint32(id), Kind: uint32(result.Kind), Reason: uint32(result.Reason), Over: result.Final,
				Load: encodeLoad(result.Load),
			}}}, next(now, result))
		}
	}
	return s
}

func (t *Recorder) Schedule(now placement.Millis, w placement.Workload) placement.Step {
	return t.step(now, w.ID, &trace.Record{Body: &tracepb.Record_Place{Place: &tracepb.Place{
		Workload: encodeWorkload(w),
	}}}, t.module.Schedule(now, w))
}

func (t *Recorder) Adopt(now placement.Millis, w placement.Workload, node placement.NodeID) placement.Step {
	return t.step(now, w.ID, &trace.Record{Body: &tracepb.Record_Adopt{Adopt: &tracepb.Adopt{
		Workload: encodeWorkload(w), Node: uint32(node),
	}}}, t.module.Adopt(now, w, node))
}

func (t *Recorder) UpdateNodes(now placement.Millis, k placement.NodeUpdateKind, nodes []placement.Node) {
	t.module.UpdateNodes(now, k, nodes)
	t.add(now, &trace.Record{Body: &tracepb.Record_List{List: &tracepb.List{Kind: uint32(k), Nodes: encodeNodes(nodes)}}})
}

func (t *Recorder) ReportLoad(now placement.Millis, id placement.NodeID, l placement.LoadReport) {
	t.module.ReportLoad(now, id, l)
	t.add(now, &trace.Record{Body: &tracepb.Record_Report{Report: &tracepb.Report{Node: uint32(id), Load: encodeLoad(&l)}}})
}

func (t *Recorder) HealthChecked(now placement.Millis, id placement.NodeID, answered bool, l *placement.LoadReport) {
	t.module.HealthChecked(now, id, answered, l)
	t.add(now, &trace.Record{Body: &tracepb.Record_Probed{Probed: &tracepb.Probed{
		Node: uint32(id), Answered: answered, Load: encodeLoad(l),
	}}})
}

func (t *Recorder) ReportUsage(now placement.Millis, id placement.WorkloadID, k placement.UsageKind, value float64) {
	t.module.ReportUsage(now, id, k, value)
	t.add(now, &trace.Record{Body: &tracepb.Record_Note{Note: &tracepb.Note{
		Workload: uint32(id), Kind: uint32(k), Value: value,
	}}})
}

func (t *Recorder) Maintain(now placement.Millis) placement.Maintenance {
	c := t.module.Maintain(now)
	t.add(now, &trace.Record{Body: &tracepb.Record_Upkeep{Upkeep: &tracepb.Upkeep{}}, Chores: encodeChores(c)})
	t.Flush()
	return c
}

// RecordRequest writes down whose a workload is, before it is placed or adopted.
func (t *Recorder) RecordRequest(now placement.Millis, id placement.WorkloadID, owner string, ask, key uint64) {
	t.add(now, &trace.Record{Body: &tracepb.Record_Asked{Asked: &tracepb.Asked{
		Workload: uint32(id), Owner: owner, Ask: ask, Key: key,
	}}})
}

// RecordAnswer writes down what an owner was told.
func (t *Recorder) RecordAnswer(now placement.Millis, id placement.WorkloadID, verdict uint8, node placement.NodeID, text string) {
	t.add(now, &trace.Record{Body: &tracepb.Record_Answered{Answered: &tracepb.Answered{
		Workload: uint32(id), Verdict: uint32(verdict), Node: uint32(node), Text: text,
	}}})
}

// RecordRejection writes down a node's own words.
func (t *Recorder) RecordRejection(now placement.Millis, id placement.WorkloadID, node placement.NodeID, text string) {
	t.add(now, &trace.Record{Body: &tracepb.Record_Refused{Refused: &tracepb.Refused{
		Workload: uint32(id), Node: uint32(node), Text: text,
	}}})
}

// RecordListRevision writes down which revision of the list came.
func (t *Recorder) RecordListRevision(now placement.Millis, epoch, revision uint64) {
	t.add(now, &trace.Record{Body: &tracepb.Record_Heard{Heard: &tracepb.Heard{Epoch: epoch, Revision: revision}}})
}

// RecordGangRequest writes down that workloads belong together.
func (t *Recorder) RecordGangRequest(now placement.Millis, owner string, ask uint64, parts, need int, left placement.Millis) {
	t.add(now, &trace.Record{Body: &tracepb.Record_GangAsked{GangAsked: &tracepb.GangAsked{
		Owner: owner, Ask: ask, Parts: uint32(parts), Need: uint32(need), Left: float64(left),
	}}})
}

// RecordGangState writes down how far a gang has come.
func (t *Recorder) RecordGangState(now placement.Millis, owner string, ask uint64, state string, parts []placement.WorkloadID) {
	g := &tracepb.GangState{Owner: owner, Ask: ask, State: state}
	for _, id := range parts {
		g.Workloads = append(g.Workloads, uint32(id))
	}
	t.add(now, &trace.Record{Body: &tracepb.Record_GangState{GangState: g}})
}
