package replay

import (
	"grebeglade/choice"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// batchMost is how many records are handed over at a time; chores hand over what there is.
const batchMost = 64

// Sink takes records. It must not keep the caller waiting.
type Sink interface{ Put(records []*trace.Record) }

// Began is what an allocator starts with.
type Began struct {
	Source               *tracepb.Source
	Settings             choice.Settings
	Seed                 uint64
	Groups, Kinds, Zones []string
}

// Tap is the module with every call written down. Its methods are the module's, and a few for what goes on
// round it.
type Tap struct {
	module   *choice.Allocator
	sink     Sink
	revision uint64
	records  []*trace.Record
}

// NewTap makes a module whose calls go to a sink.
func NewTap(b Began, sink Sink) *Tap {
	t := &Tap{module: choice.New(b.Settings, b.Seed), sink: sink}
	t.add(0, &trace.Record{Body: &tracepb.Record_Start{Start: &tracepb.Start{
		Source: b.Source, Settings: encodeSettings(b.Settings), Seed: b.Seed, Groups: b.Groups, Kinds: b.Kinds, Zones: b.Zones,
	}}})
	return t
}

func (t *Tap) add(now choice.Millis, r *trace.Record) {
	t.revision++
	r.AtMs, r.Revision = float64(now), t.revision
	if t.records = append(t.records, r); len(t.records) >= batchMost {
		t.Flush()
	}
}

// Flush hands over what is there.
func (t *Tap) Flush() {
	if len(t.records) > 0 {
		t.sink.Put(t.records)
		t.records = make([]*trace.Record, 0, batchMost)
	}
}

// step writes a step down with the call that it came of, and follows its continuation.
func (t *Tap) step(now choice.Millis, id choice.WorkloadID, r *trace.Record, s choice.Step) choice.Step {
	r.Step = encodeStep(s)
	t.add(now, r)
	if next := s.Next; next != nil {
		s.Next = func(now choice.Millis, result choice.Result) choice.Step {
			return t.step(now, id, &trace.Record{Body: &tracepb.Record_Next{Next: &tracepb.Next{
				Workload: uint32(id), Kind: uint32(result.Kind), Reason: uint32(result.Reason), Over: result.Over,
				Load: encodeLoad(result.Load),
			}}}, next(now, result))
		}
	}
	return s
}

func (t *Tap) Place(now choice.Millis, w choice.Workload) choice.Step {
	return t.step(now, w.ID, &trace.Record{Body: &tracepb.Record_Place{Place: &tracepb.Place{
		Workload: encodeWorkload(w),
	}}}, t.module.Place(now, w))
}

func (t *Tap) Adopt(now choice.Millis, w choice.Workload, node choice.NodeID) choice.Step {
	return t.step(now, w.ID, &trace.Record{Body: &tracepb.Record_Adopt{Adopt: &tracepb.Adopt{
		Workload: encodeWorkload(w), Node: uint32(node),
	}}}, t.module.Adopt(now, w, node))
}

func (t *Tap) List(now choice.Millis, k choice.ListKind, nodes []choice.Node) {
	t.module.List(now, k, nodes)
	t.add(now, &trace.Record{Body: &tracepb.Record_List{List: &tracepb.List{Kind: uint32(k), Nodes: encodeNodes(nodes)}}})
}

func (t *Tap) Report(now choice.Millis, id choice.NodeID, l choice.Load) {
	t.module.Report(now, id, l)
	t.add(now, &trace.Record{Body: &tracepb.Record_Report{Report: &tracepb.Report{Node: uint32(id), Load: encodeLoad(&l)}}})
}

func (t *Tap) Probed(now choice.Millis, id choice.NodeID, answered bool, l *choice.Load) {
	t.module.Probed(now, id, answered, l)
	t.add(now, &trace.Record{Body: &tracepb.Record_Probed{Probed: &tracepb.Probed{
		Node: uint32(id), Answered: answered, Load: encodeLoad(l),
	}}})
}

func (t *Tap) Note(now choice.Millis, id choice.WorkloadID, k choice.NoteKind, value float64) {
	t.module.Note(now, id, k, value)
	t.add(now, &trace.Record{Body: &tracepb.Record_Note{Note: &tracepb.Note{
		Workload: uint32(id), Kind: uint32(k), Value: value,
	}}})
}

func (t *Tap) Upkeep(now choice.Millis) choice.Chores {
	c := t.module.Upkeep(now)
	t.add(now, &trace.Record{Body: &tracepb.Record_Upkeep{Upkeep: &tracepb.Upkeep{}}, Chores: encodeChores(c)})
	t.Flush()
	return c
}

// Asked writes down whose a workload is, before it is placed or adopted.
func (t *Tap) Asked(now choice.Millis, id choice.WorkloadID, owner string, ask, key uint64) {
	t.add(now, &trace.Record{Body: &tracepb.Record_Asked{Asked: &tracepb.Asked{
		Workload: uint32(id), Owner: owner, Ask: ask, Key: key,
	}}})
}

// Answered writes down what an owner was told.
func (t *Tap) Answered(now choice.Millis, id choice.WorkloadID, verdict uint8, node choice.NodeID, text string) {
	t.add(now, &trace.Record{Body: &tracepb.Record_Answered{Answered: &tracepb.Answered{
		Workload: uint32(id), Verdict: uint32(verdict), Node: uint32(node), Text: text,
	}}})
}

// Refused writes down a node's own words.
func (t *Tap) Refused(now choice.Millis, id choice.WorkloadID, node choice.NodeID, text string) {
	t.add(now, &trace.Record{Body: &tracepb.Record_Refused{Refused: &tracepb.Refused{
		Workload: uint32(id), Node: uint32(node), Text: text,
	}}})
}

// Heard writes down which revision of the list came.
func (t *Tap) Heard(now choice.Millis, epoch, revision uint64) {
	t.add(now, &trace.Record{Body: &tracepb.Record_Heard{Heard: &tracepb.Heard{Epoch: epoch, Revision: revision}}})
}

// GangAsked writes down that workloads belong together.
func (t *Tap) GangAsked(now choice.Millis, owner string, ask uint64, parts, need int, left choice.Millis) {
	t.add(now, &trace.Record{Body: &tracepb.Record_GangAsked{GangAsked: &tracepb.GangAsked{
		Owner: owner, Ask: ask, Parts: uint32(parts), Need: uint32(need), Left: float64(left),
	}}})
}

// GangState writes down how far a gang has come.
func (t *Tap) GangState(now choice.Millis, owner string, ask uint64, state string, parts []choice.WorkloadID) {
	g := &tracepb.GangState{Owner: owner, Ask: ask, State: state}
	for _, id := range parts {
		g.Workloads = append(g.Workloads, uint32(id))
	}
	t.add(now, &trace.Record{Body: &tracepb.Record_GangState{GangState: g}})
}
