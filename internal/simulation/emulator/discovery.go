package emulator

import (
	"maps"
	"math"
	"slices"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// callCost is the fixed cost of a poll, in entries.
const callCost = 40

// DiscoveryService emulates the discovery service: nodes register with it, and allocators poll it or subscribe. Faults set its
// exported fields. It has more than fifteen fields, as these faults change registrations, polls and updates alike.
type DiscoveryService struct {
	model   *scenario.DiscoveryModel
	epoch   uint64
	network transport.FrameNetwork
	timers  transport.Timers

	records        map[uint32]*nodeRecord
	revision       uint64
	subscribers    map[transport.ConnID]*subscriber
	nodeByConn     map[transport.ConnID]uint32
	queue          []queuedCall
	busy           bool
	Slowdown       float64          // divides the rate at which entries are sent
	ExtraLag       placement.Millis // added to the time until a registration takes effect
	stale          bool             // changes are deferred
	deferred       []func()         // changes, in the order of their arrival
	capacityFactor float64          // multiplies the free capacity; 0 for no change
	empty          bool             // updates list no nodes
}

// nodeRecord is the registered state of a node.
type nodeRecord struct {
	pb.NodeEntry
	since    placement.Millis // when UpForMs was reported
	revision uint64
	conn     transport.ConnID
}

// subscriber is a connection to the service. Only a watching one receives updates as they occur.
type subscriber struct {
	helloReceived bool
	watching      bool
	revision      uint64 // of the last update sent
}

// queuedCall is a poll that has not been answered.
type queuedCall struct {
	from    transport.ConnID
	poll    *pb.NodeListRequest
	arrived placement.Millis
}

// NewDiscoveryService returns a service that knows no nodes.
func NewDiscoveryService(m *scenario.DiscoveryModel, epoch uint64) *DiscoveryService {
	return &DiscoveryService{
		model:       m,
		epoch:       epoch,
		records:     map[uint32]*nodeRecord{},
		subscribers: map[transport.ConnID]*subscriber{},
		nodeByConn:  map[transport.ConnID]uint32{},
		Slowdown:    1,
	}
}

// Start implements transport.FrameHandler.
func (s *DiscoveryService) Start(now placement.Millis, network transport.FrameNetwork) {
	s.network = network
	s.timers.Schedule(now+s.model.PushInterval, s.push)
	s.wake()
}

func (s *DiscoveryService) wake() {
	if at, ok := s.timers.Next(); ok {
		s.network.WakeAt(at)
	}
}

// Wake implements transport.FrameHandler.
func (s *DiscoveryService) Wake(now placement.Millis) {
	s.timers.RunDue(now)
	s.wake()
}

// Opened implements transport.FrameHandler.
func (s *DiscoveryService) Opened(now placement.Millis, conn transport.ConnID) {
	s.subscribers[conn] = &subscriber{}
}

// Closed implements transport.FrameHandler.
func (s *DiscoveryService) Closed(now placement.Millis, conn transport.ConnID, _ error) {
	delete(s.subscribers, conn)
	if id, ok := s.nodeByConn[conn]; ok {
		delete(s.nodeByConn, conn)
		s.timers.Schedule(now+s.model.RemovalDelay, func(now placement.Millis) {
			s.applyOrDefer(func() {
				if record := s.records[id]; record != nil && record.conn == conn {
					s.change(record, func() { record.State = pb.NodeEntry_REMOVED })
				}
			})
		})
	}
	s.wake()
}

// Received implements transport.FrameHandler.
func (s *DiscoveryService) Received(now placement.Millis, conn transport.ConnID, f *pb.Frame) {
	sub := s.subscribers[conn]
	switch {
	case sub == nil:
	case !sub.helloReceived:
		s.handshake(now, conn, sub, f)
	case f.GetRegister() != nil:
		entry := f.GetRegister()
		s.timers.Schedule(now+s.model.Lag+s.ExtraLag, func(placement.Millis) {
			s.applyOrDefer(func() { s.register(now, conn, entry) })
		})
	case f.GetNodeListRequest() != nil:
		s.queue = append(s.queue, queuedCall{conn, f.GetNodeListRequest(), now})
		s.serve(now)
	}
	s.wake()
}

// handshake handles the first frame of a connection.
func (s *DiscoveryService) handshake(now placement.Millis, conn transport.ConnID, sub *subscriber, f *pb.Frame) {
	h, err := transport.CheckHello(f)
	switch {
	case err != nil:
		s.network.Send(conn, transport.RefusalFrame(err.Error()))
		s.network.Close(conn)
		delete(s.subscribers, conn)
	case h.Role == pb.Role_NODE:
		sub.helloReceived = true
		s.nodeByConn[conn] = h.Node
	default:
		sub.helloReceived = true
		s.network.Send(conn, transport.HelloFrame(&pb.Hello{
			Role:        pb.Role_DISCOVERY,
			Name:        "list",
			Incarnation: s.epoch,
		}))
		if !s.model.Polled {
			sub.watching = true
			sub.revision = s.revision
			s.network.Send(conn, s.newUpdate(now, pb.NodeListUpdate_SNAPSHOT, 0))
		}
	}
}

// change applies a change to a record and gives it the next revision.
func (s *DiscoveryService) change(record *nodeRecord, apply func()) {
	apply()
	s.revision++
	record.revision = s.revision
}

// register records the state that a node reported over a connection. Earlier incarnations and unchanged entries are ignored.
func (s *DiscoveryService) register(at placement.Millis, conn transport.ConnID, entry *pb.NodeEntry) {
	record := s.records[entry.Id]
	if record == nil {
		record = &nodeRecord{}
		s.records[entry.Id] = record
	}
	if entry.Incarnation < record.Incarnation || record.Id != 0 && record.Incarnation == entry.Incarnation && record.conn == conn && record.State == entry.State &&
		record.FreeCores == entry.FreeCores && record.FreeMemory == entry.FreeMemory {
		return
	}
	s.change(record, func() {
		record.Id = entry.Id
		record.State = entry.State
		record.Kind = entry.Kind
		record.Zone = entry.Zone
		record.Cell = entry.Cell
		record.Incarnation = entry.Incarnation
		record.UpForMs = entry.UpForMs
		record.Address = entry.Address
		record.FreeCores = entry.FreeCores
		record.FreeMemory = entry.FreeMemory
		record.since = at
		record.conn = conn
	})
}

// newUpdate returns the records that changed after a revision or, in a snapshot, all nodes that have not been removed.
func (s *DiscoveryService) newUpdate(now placement.Millis, kind pb.NodeListUpdate_Kind, after uint64) *pb.Frame {
	u := &pb.NodeListUpdate{
		Kind:     kind,
		Epoch:    s.epoch,
		Revision: s.revision,
	}
	if s.empty {
		u.Kind = pb.NodeListUpdate_SNAPSHOT
		return &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: u}}
	}
	factor := 1.0
	if s.capacityFactor > 0 {
		factor = s.capacityFactor
	}
	for _, id := range slices.Sorted(maps.Keys(s.records)) {
		record := s.records[id]
		if record.revision <= after || kind == pb.NodeListUpdate_SNAPSHOT && record.State == pb.NodeEntry_REMOVED {
			continue
		}
		up := record.UpForMs
		if up >= 0 {
			up += float64(now - record.since)
		}
		u.Entries = append(u.Entries, &pb.NodeEntry{
			Id:          record.Id,
			State:       record.State,
			Kind:        record.Kind,
			Zone:        record.Zone,
			Cell:        record.Cell,
			Incarnation: record.Incarnation,
			UpForMs:     up,
			FreeCores:   record.FreeCores * factor,
			FreeMemory:  record.FreeMemory * factor,
			Address:     record.Address,
		})
	}
	return &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: u}}
}

// applyOrDefer applies a change, or defers it while the service is stale.
func (s *DiscoveryService) applyOrDefer(apply func()) {
	if s.stale {
		s.deferred = append(s.deferred, apply)
		return
	}
	apply()
}

// SetStale starts to defer changes, or stops and applies the deferred ones.
func (s *DiscoveryService) SetStale(_ placement.Millis, stale bool) {
	s.stale = stale
	for _, apply := range s.deferred {
		apply()
	}
	s.deferred = nil
}

// Misreport has the service multiply the free capacity of nodes, or list no nodes at all. Subscribers receive that with the next push.
func (s *DiscoveryService) Misreport(_ placement.Millis, factor float64, empty bool) {
	s.capacityFactor = factor
	s.empty = empty
	s.revision++
	for _, record := range s.records {
		record.revision = s.revision
	}
}

// push sends each watching subscriber the changes since its last update. Those at the same revision get the same frame.
func (s *DiscoveryService) push(now placement.Millis) {
	frames := map[uint64]*pb.Frame{}
	for _, conn := range slices.Sorted(maps.Keys(s.subscribers)) {
		sub := s.subscribers[conn]
		if !sub.watching || sub.revision == s.revision {
			continue
		}
		if frames[sub.revision] == nil {
			frames[sub.revision] = s.newUpdate(now, pb.NodeListUpdate_DELTA, sub.revision)
		}
		s.network.Send(conn, frames[sub.revision])
		sub.revision = s.revision
	}
	s.timers.Schedule(now+s.model.PushInterval, s.push)
}

// serve answers polls in order, one at a time, at the rate of the model.
func (s *DiscoveryService) serve(now placement.Millis) {
	if s.busy || len(s.queue) == 0 {
		return
	}
	call := s.queue[0]
	s.queue = s.queue[1:]
	sub := s.subscribers[call.from]
	if sub == nil {
		s.serve(now)
		return
	}
	if now-call.arrived > s.model.CallTimeout {
		s.network.Send(call.from, &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: &pb.NodeListUpdate{
			Kind:   pb.NodeListUpdate_POLL_FAILED,
			Epoch:  s.epoch,
			Reason: "the list is overrun",
		}}})
		s.serve(now)
		return
	}
	f := s.pollUpdate(now, call.poll)
	duration := s.sendDuration(len(f.GetNodeListUpdate().Entries))
	if call.poll.Watch {
		sub.watching = true
		sub.revision = s.revision
	}
	s.busy = true
	s.timers.Schedule(now+duration, func(now placement.Millis) {
		s.busy = false
		s.network.Send(call.from, f)
		s.serve(now)
	})
}

// pollUpdate returns the answer to a poll: changes where the poller subscribes and its revision is of this epoch, else a snapshot.
func (s *DiscoveryService) pollUpdate(now placement.Millis, poll *pb.NodeListRequest) *pb.Frame {
	if poll.Epoch != s.epoch || !poll.Watch || poll.Revision > s.revision {
		return s.newUpdate(now, pb.NodeListUpdate_SNAPSHOT, 0)
	}
	return s.newUpdate(now, pb.NodeListUpdate_DELTA, poll.Revision)
}

// sendDuration returns the time that an answer with that many entries takes, or 0 if the model sets no rate.
func (s *DiscoveryService) sendDuration(entries int) placement.Millis {
	if s.model.EntriesPerSecond <= 0 {
		return 0
	}
	return placement.Millis(math.Ceil(float64(callCost+entries) / s.model.EntriesPerSecond * 1000 * s.Slowdown))
}
