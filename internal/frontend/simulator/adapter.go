package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"

	"grebeglade/internal/allocator"
	"grebeglade/internal/settings"
	"grebeglade/placement"
)

// cameAgain is the bit of a task that was refused, failed, moved or lost before.
const cameAgain = 16

// instance is one allocator. Nothing in it is reached from another instance. It is the engine's world: what
// the engine wants goes out as records of the wire.
type instance struct {
	id      uint16
	engine  *allocator.Engine
	reports []string // names of the values in a load report
	out     *reply
}

func (in *instance) Bind(id placement.WorkloadID, _ int, node placement.NodeID, timeout placement.Millis) {
	in.out.record(outBind, in.id, uint32(id), uint32(node), nanos(timeout))
}

// Stop takes a placed task off. What timed out or was withdrawn, the bench sees to itself.
func (in *instance) Stop(id placement.WorkloadID, _ int, _ placement.NodeID, why allocator.StopReason, _ bool) {
	if why == allocator.Migrating {
		in.out.record(outTakeOff, in.id, uint32(id))
	}
}

func (in *instance) CheckHealth(n placement.NodeID) { in.out.record(outTest, in.id, uint32(n)) }

func (in *instance) SubscribeNodes() { in.out.record(outObserve, in.id, uint8(1)) }

// Answer says what the bench does not know by itself.
func (in *instance) Answer(id placement.WorkloadID, v allocator.Verdict, _ placement.NodeID) {
	switch v {
	case allocator.Rejected:
		in.out.record(outPushBack, in.id, uint32(id), uint64(0))
	case allocator.Unschedulable:
		in.out.record(outAbort, in.id, uint32(id))
	}
}

func (in *instance) NotifyEnded(placement.WorkloadID, placement.NodeID, bool, placement.Reason) {}

func (in *instance) Forget(placement.WorkloadID) {}

func (in *instance) Wake(at placement.Millis) { in.out.record(outAlarm, in.id, nanos(at), uint32(0)) }

// host runs the instances of one process.
type host struct {
	instances map[uint16]*instance
	lists     map[uint32][]placement.Node
	out       reply
}

// Serve answers batches until the input ends.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{instances: map[uint16]*instance{}, lists: map[uint32][]placement.Node{}}
	in, out := bufio.NewReaderSize(r, 1<<16), bufio.NewWriterSize(w, 1<<16)
	for {
		err := readBatch(in, h.record)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.out.flush(out); err != nil {
			return err
		}
	}
}

func millis(ns uint64) placement.Millis { return placement.Millis(float64(ns) / 1e6) }

func nanos(t placement.Millis) uint64 { return uint64(math.Round(float64(t) * 1e6)) }

func (h *host) record(clock uint64, code uint8, f *fields) error {
	now := millis(clock)
	if code == inSheet {
		return h.sheet(f)
	}
	if code > inWakeup || code == 0 {
		return nil // a record kind of a later wire
	}
	id := f.u16()
	if code == inAttach {
		return h.attach(now, id, f)
	}
	in := h.instances[id]
	if in == nil {
		return nil
	}
	switch code {
	case inPowerOff:
		delete(h.instances, id)
	case inDirectory:
		return h.directory(now, in, f)
	case inNewTask:
		in.newTask(now, f)
	case inStanding:
		in.standing(now, f)
	case inLanded:
		req, attempt := f.u32(), f.u8()
		f.skip(4 + 8)
		if f.err == nil {
			in.engine.BindConfirmed(now, placement.WorkloadID(req), int(attempt), nil)
		}
	case inHint:
		in.hint(now, f)
	case inSettled:
		in.settled(now, f)
	case inDropped:
		if req := f.u32(); f.err == nil {
			in.engine.Withdraw(now, placement.WorkloadID(req))
		}
	case inWakeup:
		if f.skip(4); f.err == nil {
			in.engine.Tick(now)
		}
	case inPong:
		in.pong(now, f)
	}
	return nil
}

func (h *host) sheet(f *fields) error {
	slot := f.u32()
	nodes := make([]placement.Node, f.count(int(f.u32()), 30))
	for i := range nodes {
		n := placement.Node{FreeCores: f.f32(), ID: placement.NodeID(f.u32()), Zone: placement.ZoneID(f.u16())}
		n.FreeMemory = f.f32()
		n.Kind = placement.KindID(f.u8())
		n.Cell = placement.CellID(f.u16())
		switch f.u8() {
		case 1:
			n.State = placement.Ready
		case 2:
			n.State = placement.Draining
		default:
			n.State = placement.Removed
		}
		f.skip(4)
		n.StartedAt = placement.DistantPast
		if born := f.u64(); born > 0 {
			n.StartedAt = millis(born)
		}
		nodes[i] = n
	}
	h.lists[slot] = nodes
	return f.err
}

func (h *host) attach(now placement.Millis, id uint16, f *fields) error {
	seed := f.u64()
	text := f.take(f.count(int(f.u32()), 1))
	if f.err != nil {
		return f.err
	}
	told, err := settings.FromPairs(string(text))
	if err != nil {
		return err
	}
	in := &instance{id: id, reports: told.ReportFields, out: &h.out}
	in.engine = allocator.New(told.Settings, seed, in, allocator.Options{})
	h.instances[id] = in
	in.engine.Start(now)
	return nil
}

func (h *host) directory(now placement.Millis, in *instance, f *fields) error {
	kind := f.u8()
	f.skip(8)
	slot := f.u32()
	if f.err != nil {
		return f.err
	}
	kinds := map[uint8]placement.NodeUpdateKind{0: placement.Delta, 4: placement.Snapshot, 3: placement.CachedSnapshot, 2: placement.PollFailed}
	as, ok := kinds[kind]
	if !ok {
		return nil
	}
	var nodes []placement.Node
	if as != placement.PollFailed {
		if nodes, ok = h.lists[slot]; !ok {
			return fmt.Errorf("names list %d, which was never sent", slot)
		}
	}
	in.engine.UpdateNodes(now, as, nodes)
	return nil
}

func (in *instance) newTask(now placement.Millis, f *fields) {
	req := f.u32()
	w := placement.Workload{ID: placement.WorkloadID(req), Group: placement.GroupID(f.u16())}
	f.skip(2 + 8)
	w.PendingTimeout = millis(f.u64())
	f.skip(8)
	w.Service = placement.ServiceID(f.u64())
	w.Cores, w.Memory = f.f32(), f.f32()
	w.Retried = f.u8()&cameAgain != 0
	if f.err == nil {
		in.engine.Schedule(now, w)
	}
}

func (in *instance) standing(now placement.Millis, f *fields) {
	req := f.u32()
	f.skip(2 + 8)
	node := placement.NodeID(f.u32())
	w := placement.Workload{ID: placement.WorkloadID(req), Memory: f.f32(), Service: placement.ServiceID(f.u64())}
	w.Group = placement.GroupID(f.u16())
	f.skip(8)
	w.Cores = f.f32()
	if f.err == nil {
		in.engine.Adopt(now, w, node)
	}
}

func (in *instance) hint(now placement.Millis, f *fields) {
	req, attempt, what := f.u32(), f.u8(), f.u8()
	f.skip(4)
	level := f.f32()
	notes := map[uint8]placement.UsageKind{1: placement.Running, 2: placement.CoresUsed}
	kind, known := notes[what]
	if f.err == nil && known {
		in.engine.ReportUsage(now, placement.WorkloadID(req), int(attempt), kind, level)
	}
}

// resultOf says what an outcome code means for a bind that is out.
func resultOf(code uint8) placement.ResultKind {
	switch code {
	case 2:
		return placement.RejectedByNode
	case 3:
		return placement.TimedOut
	case 4:
		return placement.NotDelivered
	case 7:
		return placement.NotAttempted
	}
	return placement.OutcomeUnknown
}

func (in *instance) settled(now placement.Millis, f *fields) {
	req, final, attempt, remark := f.u32(), f.u8(), f.u8(), f.u32()
	code := f.u8()
	f.skip(8)
	node := placement.NodeID(f.u32())
	load := in.load(f)
	if f.err != nil {
		return
	}
	r := placement.Result{Kind: resultOf(code), Final: final != 0, Load: load}
	if remark <= uint32(placement.Drained) {
		r.Reason = placement.Reason(remark)
	}
	in.engine.BindEnded(now, placement.WorkloadID(req), int(attempt), node, r)
}

// load reads a report, or returns nil where none came along.
func (in *instance) load(f *fields) *placement.LoadReport {
	n := f.count(int(f.u8()), 4)
	if n == 0 {
		return nil
	}
	l := settings.UnknownLoad()
	for i := range n {
		if v := f.f32(); i < len(in.reports) {
			settings.SetLoadField(l, in.reports[i], v)
		}
	}
	return l
}

func (in *instance) pong(now placement.Millis, f *fields) {
	f.skip(8)
	code, node := f.u8(), placement.NodeID(f.u32())
	load := in.load(f)
	if f.err == nil {
		in.engine.HealthChecked(now, node, code == 0, load)
	}
}
