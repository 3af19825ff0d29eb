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

// DiscoveryService emulates the discovery service: nodes register with it, and allocators poll it or subscribe. It has
// more than ten fields, as faults change registrations, polls and updates alike.
type DiscoveryService struct {
	model *scenario.DiscoveryModel
	epoch uint64
	process

	registry    nodeRegistry
	nodeByConn  map[transport.ConnID]uint32
	subscribers map[transport.ConnID]*subscriber
	polls       pollQueue
	staleness   staleness
	misreport   misreport

	Slowdown float64          // divides the rate at which entries are sent; set by faults
	ExtraLag placement.Millis // added to the time until a registration takes effect; set by faults
}

// subscriber is a connection to the service. Only a watching one receives updates as they occur.
type subscriber struct {
	helloReceived bool
	watching      bool
	revision      uint64 // of the last update sent
}

// watch has the subscriber receive the changes after a revision.
func (s *subscriber) watch(revision uint64) {
	s.watching = true
	s.revision = revision
}

// pollQueue holds the polls that have not been answered.
type pollQueue struct {
	waiting []queuedPoll
	busy    bool // an answer is being sent
}

// queuedPoll is a poll that has not been answered.
type queuedPoll struct {
	from    transport.ConnID
	request *pb.NodeListRequest
	arrived placement.Millis
}

// staleness is a fault: changes are deferred while it lasts.
type staleness struct {
	active   bool
	deferred []func() // changes, in the order of their arrival
}

// misreport is a fault: updates differ from what nodes registered.
type misreport struct {
	capacityFactor float64 // multiplies the free capacity; 0 for no change
	empty          bool    // updates list no nodes
}

// NewDiscoveryService returns a service that knows no nodes.
func NewDiscoveryService(model *scenario.DiscoveryModel, epoch uint64) *DiscoveryService {
	return &DiscoveryService{
		model:       model,
		epoch:       epoch,
		registry:    nodeRegistry{records: map[uint32]*nodeRecord{}},
		nodeByConn:  map[transport.ConnID]uint32{},
		subscribers: map[transport.ConnID]*subscriber{},
		Slowdown:    1,
	}
}

// Start implements transport.FrameHandler.
func (s *DiscoveryService) Start(now placement.Millis, network transport.FrameNetwork) {
	s.network = network
	s.timers.Schedule(now+s.model.PushInterval, s.push)
	s.wake()
}

// Opened implements transport.FrameHandler.
func (s *DiscoveryService) Opened(now placement.Millis, conn transport.ConnID) {
	s.subscribers[conn] = &subscriber{}
}

// Closed implements transport.FrameHandler. A node is removed after a delay unless it registers over another connection
// meanwhile.
func (s *DiscoveryService) Closed(now placement.Millis, conn transport.ConnID, _ error) {
	delete(s.subscribers, conn)
	if id, ok := s.nodeByConn[conn]; ok {
		delete(s.nodeByConn, conn)
		s.timers.Schedule(now+s.model.RemovalDelay, func(placement.Millis) {
			s.applyOrDefer(func() { s.registry.remove(id, conn) })
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
			s.applyOrDefer(func() { s.registry.register(now, conn, entry) })
		})
	case f.GetNodeListRequest() != nil:
		s.polls.waiting = append(s.polls.waiting, queuedPoll{
			from:    conn,
			request: f.GetNodeListRequest(),
			arrived: now,
		})
		s.serve(now)
	}
	s.wake()
}

// handshake handles the first frame of a connection.
func (s *DiscoveryService) handshake(now placement.Millis, conn transport.ConnID, sub *subscriber, f *pb.Frame) {
	received, err := transport.CheckHello(f)
	switch {
	case err != nil:
		s.network.Send(conn, transport.RefusalFrame(err.Error()))
		s.network.Close(conn)
		delete(s.subscribers, conn)
	case received.Role == pb.Role_NODE:
		sub.helloReceived = true
		s.nodeByConn[conn] = received.Node
	default:
		sub.helloReceived = true
		s.network.Send(conn, transport.HelloFrame(&pb.Hello{
			Role:        pb.Role_DISCOVERY,
			Name:        "list",
			Incarnation: s.epoch,
		}))
		if !s.model.Polled {
			sub.watch(s.registry.revision)
			s.network.Send(conn, s.newUpdate(now, pb.NodeListUpdate_SNAPSHOT, 0))
		}
	}
}

// newUpdate returns the records that changed after a revision or, in a snapshot, all nodes that have not been removed.
func (s *DiscoveryService) newUpdate(now placement.Millis, kind pb.NodeListUpdate_Kind, after uint64) *pb.Frame {
	update := &pb.NodeListUpdate{
		Kind:     kind,
		Epoch:    s.epoch,
		Revision: s.registry.revision,
	}
	if s.misreport.empty {
		update.Kind = pb.NodeListUpdate_SNAPSHOT
		return updateFrame(update)
	}
	factor := 1.0
	if s.misreport.capacityFactor > 0 {
		factor = s.misreport.capacityFactor
	}
	for _, id := range slices.Sorted(maps.Keys(s.registry.records)) {
		record := s.registry.records[id]
		listed := kind != pb.NodeListUpdate_SNAPSHOT || record.State != pb.NodeEntry_REMOVED
		if record.revision > after && listed {
			update.Entries = append(update.Entries, record.entryAt(now, factor))
		}
	}
	return updateFrame(update)
}

// applyOrDefer applies a change, or defers it while the service is stale.
func (s *DiscoveryService) applyOrDefer(apply func()) {
	if s.staleness.active {
		s.staleness.deferred = append(s.staleness.deferred, apply)
		return
	}
	apply()
}

// SetStale starts to defer changes, or stops and applies the deferred ones.
func (s *DiscoveryService) SetStale(stale bool) {
	s.staleness.active = stale
	for _, apply := range s.staleness.deferred {
		apply()
	}
	s.staleness.deferred = nil
}

// Misreport has the service multiply the free capacity of nodes, or list no nodes at all. Subscribers receive that with
// the next push.
func (s *DiscoveryService) Misreport(factor float64, empty bool) {
	s.misreport.capacityFactor = factor
	s.misreport.empty = empty
	s.registry.touchAll()
}

// push sends each watching subscriber the changes since its last update. Those at the same revision get the same frame.
func (s *DiscoveryService) push(now placement.Millis) {
	revision := s.registry.revision
	frames := map[uint64]*pb.Frame{}
	for _, conn := range slices.Sorted(maps.Keys(s.subscribers)) {
		sub := s.subscribers[conn]
		if !sub.watching || sub.revision == revision {
			continue
		}
		if frames[sub.revision] == nil {
			frames[sub.revision] = s.newUpdate(now, pb.NodeListUpdate_DELTA, sub.revision)
		}
		s.network.Send(conn, frames[sub.revision])
		sub.revision = revision
	}
	s.timers.Schedule(now+s.model.PushInterval, s.push)
}

// serve answers polls in order, one at a time, at the rate of the model. Polls that waited too long fail, those of lost
// connections are dropped.
func (s *DiscoveryService) serve(now placement.Millis) {
	for !s.polls.busy && len(s.polls.waiting) > 0 {
		poll := s.polls.waiting[0]
		s.polls.waiting = s.polls.waiting[1:]
		sub := s.subscribers[poll.from]
		switch {
		case sub == nil:
		case now-poll.arrived > s.model.CallTimeout:
			s.network.Send(poll.from, updateFrame(&pb.NodeListUpdate{
				Kind:   pb.NodeListUpdate_POLL_FAILED,
				Epoch:  s.epoch,
				Reason: "the list is overrun",
			}))
		default:
			s.answerPoll(now, sub, poll)
		}
	}
}

// answerPoll begins to send the answer to a poll. The next one is served once it is sent.
func (s *DiscoveryService) answerPoll(now placement.Millis, sub *subscriber, poll queuedPoll) {
	answer := s.pollUpdate(now, poll.request)
	duration := s.sendDuration(len(answer.GetNodeListUpdate().Entries))
	if poll.request.Watch {
		sub.watch(s.registry.revision)
	}
	s.polls.busy = true
	s.timers.Schedule(now+duration, func(now placement.Millis) {
		s.polls.busy = false
		s.network.Send(poll.from, answer)
		s.serve(now)
	})
}

// pollUpdate returns the answer to a poll: changes where the poller subscribes and its revision is of this epoch, else
// a snapshot.
func (s *DiscoveryService) pollUpdate(now placement.Millis, poll *pb.NodeListRequest) *pb.Frame {
	if poll.Epoch != s.epoch || !poll.Watch || poll.Revision > s.registry.revision {
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
