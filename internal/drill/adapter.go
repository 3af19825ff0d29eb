package drill

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"

	"grebeglade/choice"
)

// upkeepToken is the timer token of chores; workloads' waits count up from the next one.
const upkeepToken = 0

// cameAgain is the bit of a task that was refused, failed, moved or lost before.
const cameAgain = 16

// held is one workload that the module has not let go of: its step and how many binds it has had.
type held struct {
	step   choice.Step
	binds  int
	landed bool
	token  uint32 // timer of its wait
}

// latest tells whether attempt is the last one made.
func (h *held) latest(attempt uint8) bool { return int(attempt)+1 == h.binds }

// instance is one allocator. Nothing in it is reached from another instance.
type instance struct {
	alloc   *choice.Allocator
	reports []string // names of the values in a load report
	held    map[uint32]*held
	waits   map[uint32]uint32 // timer token to workload
	token   uint32
}

// host runs the instances of one process.
type host struct {
	instances map[uint16]*instance
	lists     map[uint32][]choice.Node
	out       reply
}

// Serve answers batches until the input ends.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{instances: map[uint16]*instance{}, lists: map[uint32][]choice.Node{}}
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

func millis(ns uint64) choice.Millis { return choice.Millis(float64(ns) / 1e6) }

func nanos(t choice.Millis) uint64 { return uint64(math.Round(float64(t) * 1e6)) }

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
		return h.directory(now, id, in, f)
	case inNewTask:
		h.newTask(now, id, in, f)
	case inStanding:
		in.standing(now, f)
	case inLanded:
		req, attempt := f.u32(), f.u8()
		f.skip(4 + 8)
		h.landed(now, id, in, req, attempt, f)
	case inHint:
		in.hint(now, f)
	case inSettled:
		h.settled(now, id, in, f)
	case inDropped:
		req := f.u32()
		if held := in.held[req]; held != nil && f.err == nil {
			h.advance(now, id, in, req, held, choice.Result{Kind: choice.Withdrawn, Over: true})
		}
	case inWakeup:
		h.wakeup(now, id, in, f)
	case inPong:
		in.pong(now, f)
	}
	return nil
}

func (h *host) sheet(f *fields) error {
	slot := f.u32()
	nodes := make([]choice.Node, f.count(int(f.u32()), 30))
	for i := range nodes {
		n := choice.Node{FreeCores: f.f32(), ID: choice.NodeID(f.u32()), Zone: choice.ZoneID(f.u16())}
		n.FreeMemory = f.f32()
		n.Kind = choice.KindID(f.u8())
		n.Cell = choice.CellID(f.u16())
		switch f.u8() {
		case 1:
			n.State = choice.Ready
		case 2:
			n.State = choice.Draining
		default:
			n.State = choice.Gone
		}
		f.skip(4)
		n.Born = choice.LongAgo
		if born := f.u64(); born > 0 {
			n.Born = millis(born)
		}
		nodes[i] = n
	}
	h.lists[slot] = nodes
	return f.err
}

func (h *host) attach(now choice.Millis, id uint16, f *fields) error {
	seed := f.u64()
	text := f.take(f.count(int(f.u32()), 1))
	if f.err != nil {
		return f.err
	}
	s, reports, err := parseSettings(string(text))
	if err != nil {
		return err
	}
	in := &instance{
		alloc: choice.New(s, seed), reports: reports,
		held: map[uint32]*held{}, waits: map[uint32]uint32{}, token: upkeepToken + 1,
	}
	h.instances[id] = in
	h.chores(now, id, in)
	return nil
}

func (h *host) directory(now choice.Millis, id uint16, in *instance, f *fields) error {
	kind := f.u8()
	f.skip(8)
	slot := f.u32()
	if f.err != nil {
		return f.err
	}
	kinds := map[uint8]choice.ListKind{0: choice.Changes, 4: choice.Whole, 3: choice.Cached, 2: choice.Failed}
	as, ok := kinds[kind]
	if !ok {
		return nil
	}
	var nodes []choice.Node
	if as != choice.Failed {
		if nodes, ok = h.lists[slot]; !ok {
			return fmt.Errorf("names list %d, which was never sent", slot)
		}
	}
	in.alloc.List(now, as, nodes)
	return nil
}

func (h *host) newTask(now choice.Millis, id uint16, in *instance, f *fields) {
	req := f.u32()
	w := choice.Workload{ID: choice.WorkloadID(req), Group: choice.GroupID(f.u16())}
	f.skip(2 + 8)
	w.Left = millis(f.u64())
	f.skip(8)
	w.Service = choice.ServiceID(f.u64())
	w.Cores, w.Memory = f.f32(), f.f32()
	w.Again = f.u8()&cameAgain != 0
	if f.err != nil {
		return
	}
	held := &held{}
	in.held[req] = held
	h.carryOut(now, id, in, req, held, in.alloc.Place(now, w))
}

func (in *instance) standing(now choice.Millis, f *fields) {
	req := f.u32()
	f.skip(2 + 8)
	node := choice.NodeID(f.u32())
	w := choice.Workload{ID: choice.WorkloadID(req), Memory: f.f32(), Service: choice.ServiceID(f.u64())}
	w.Group = choice.GroupID(f.u16())
	f.skip(8)
	w.Cores = f.f32()
	if f.err == nil {
		in.held[req] = &held{step: in.alloc.Adopt(now, w, node), binds: 1, landed: true}
	}
}

func (h *host) landed(now choice.Millis, id uint16, in *instance, req uint32, attempt uint8, f *fields) {
	held := in.held[req]
	if f.err != nil || held == nil || held.landed || !held.latest(attempt) {
		return
	}
	held.landed = true
	h.advance(now, id, in, req, held, choice.Result{Kind: choice.Confirmed})
}

func (in *instance) hint(now choice.Millis, f *fields) {
	req, attempt, what := f.u32(), f.u8(), f.u8()
	f.skip(4)
	level := f.f32()
	held := in.held[req]
	notes := map[uint8]choice.NoteKind{
		1: choice.Running, 2: choice.CoresUsed, 3: choice.MemoryUsed, 4: choice.ServedShare, 5: choice.MemoryFilled,
	}
	kind, known := notes[what]
	if f.err == nil && known && held != nil && held.latest(attempt) {
		in.alloc.Note(now, choice.WorkloadID(req), kind, level)
	}
}

// resultOf says what an outcome code means for the bind that it ends.
func resultOf(code uint8, landed bool) choice.ResultKind {
	if landed {
		return choice.Ended
	}
	switch code {
	case 2:
		return choice.Declined
	case 3:
		return choice.TimedOut
	case 4:
		return choice.Unreachable
	case 7:
		return choice.NotSent
	}
	return choice.Unclear
}

func (h *host) settled(now choice.Millis, id uint16, in *instance, f *fields) {
	req, final, attempt, remark := f.u32(), f.u8(), f.u8(), f.u32()
	code := f.u8()
	f.skip(8)
	node := choice.NodeID(f.u32())
	load := in.load(f)
	if f.err != nil {
		return
	}
	held := in.held[req]
	if held == nil || !held.latest(attempt) || held.step.Kind == choice.Wait {
		if load != nil {
			in.alloc.Report(now, node, *load)
		}
		return
	}
	r := choice.Result{Kind: resultOf(code, held.landed), Over: final != 0, Load: load}
	if remark <= uint32(choice.SentAway) {
		r.Reason = choice.Reason(remark)
	}
	h.advance(now, id, in, req, held, r)
}

// load reads a report, or returns nil where none came along.
func (in *instance) load(f *fields) *choice.Load {
	n := f.count(int(f.u8()), 4)
	if n == 0 {
		return nil
	}
	none := math.NaN()
	l := &choice.Load{SpareCores: none, SpareMemory: none, Backlog: none, Utilization: none}
	for i := range n {
		v := f.f32()
		if i >= len(in.reports) {
			continue
		}
		switch in.reports[i] {
		case "x0":
			l.SpareCores = v
		case "x1":
			l.SpareMemory = v
		case "backlog":
			l.Backlog = v
		case "utilization":
			l.Utilization = v
		}
	}
	return l
}

func (in *instance) pong(now choice.Millis, f *fields) {
	f.skip(8)
	code, node := f.u8(), choice.NodeID(f.u32())
	load := in.load(f)
	if f.err == nil {
		in.alloc.Probed(now, node, code == 0, load)
	}
}

func (h *host) wakeup(now choice.Millis, id uint16, in *instance, f *fields) {
	token := f.u32()
	if f.err != nil {
		return
	}
	if token == upkeepToken {
		h.chores(now, id, in)
		return
	}
	req, ok := in.waits[token]
	delete(in.waits, token)
	if held := in.held[req]; ok && held != nil && held.token == token && held.step.Kind == choice.Wait {
		h.advance(now, id, in, req, held, choice.Result{Kind: choice.Due})
	}
}

func (h *host) advance(now choice.Millis, id uint16, in *instance, req uint32, held *held, r choice.Result) {
	h.carryOut(now, id, in, req, held, held.step.Next(now, r))
}

// carryOut writes what a step asks for and keeps its continuation.
func (h *host) carryOut(
	now choice.Millis, id uint16, in *instance, req uint32, held *held, s choice.Step,
) {
	held.step = s
	switch s.Kind {
	case choice.Bind:
		held.binds++
		h.out.record(outBind, id, req, uint32(s.Node), nanos(s.Timeout))
	case choice.Wait:
		in.token++
		held.token = in.token
		in.waits[in.token] = req
		h.out.record(outAlarm, id, nanos(max(s.Until, now)), in.token)
	case choice.Rejected:
		h.out.record(outPushBack, id, req, uint64(0))
	case choice.Unschedulable:
		h.out.record(outAbort, id, req)
	}
	if s.Next == nil {
		delete(in.held, req)
	}
}

func (h *host) chores(now choice.Millis, id uint16, in *instance) {
	c := in.alloc.Upkeep(now)
	if c.Watch {
		h.out.record(outObserve, id, uint8(1))
	}
	for _, n := range c.Probes {
		h.out.record(outTest, id, uint32(n))
	}
	for _, w := range c.Moves {
		h.out.record(outTakeOff, id, uint32(w))
	}
	h.out.record(outAlarm, id, nanos(c.Again), uint32(upkeepToken))
}
