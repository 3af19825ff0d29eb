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

// pollCost is the fixed cost of a poll's answer, in entries.
const pollCost = 40

// DiscoveryService emulates the discovery service: nodes register with it, and allocators poll it or subscribe. It has
// more than ten fields, as faults affect registrations, polls and updates.
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

// subscriber is a connection to the service. Updates are pushed to it only if it is watching.
type subscriber struct {
	helloReceived bool
	watching      bool
	revision      uint64 // revision of the last update sent
}

// watch subscribes the connection to the changes after a revision.
func (s *subscriber) watch(revision uint64) {
	s.watching = true
	s.revision = revision
}

// pollQueue holds the polls that have not been answered.
type pollQueue struct {
	queued []queuedPoll
	busy   bool // an answer is being sent
}

// queuedPoll is a poll that has not been answered.
type queuedPoll struct {
	from    transport.ConnID
	request *pb.NodeListRequest
	arrived placement.Millis
}

// staleness is a fault that defers changes while it is active.
type staleness struct {
	active   bool
	deferred []func() // changes in order of arrival
}

// misreport is a fault that makes updates differ from the registrations of nodes.
type misreport struct {
	capacityFactor float64 // multiplies the free capacity; 0 for no change
	empty          bool    // updates list no nodes
}

// NewDiscoveryService returns a service without registered nodes.
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
	s.scheduleWake()
}

// Opened implements transport.FrameHandler.
func (s *DiscoveryService) Opened(now placement.Millis, conn transport.ConnID) {
	s.subscribers[conn] = &subscriber{}
}

// Closed implements transport.FrameHandler. A node is removed after the model's RemovalDelay, unless it has registered
// over another connection by then.
func (s *DiscoveryService) Closed(now placement.Millis, conn transport.ConnID, _ error) {
	delete(s.subscribers, conn)
	if id, ok := s.nodeByConn[conn]; ok {
		delete(s.nodeByConn, conn)
		s.timers.Schedule(now+s.model.RemovalDelay, func(placement.Millis) {
			s.applyOrDefer(func() { s.registry.remove(id, conn) })
		})
	}
	s.scheduleWake()
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
		s.polls.queued = append(s.polls.queued, queuedPoll{
			from:    conn,
			request: f.GetNodeListRequest(),
			arrived: now,
		})
		s.servePolls(now)
	}
	s.scheduleWake()
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

// Misreport multiplies the free capacity of nodes in updates by a factor, unless it is 0, or makes updates list no
// nodes. Subscribers receive the change with the next push.
func (s *DiscoveryService) Misreport(factor float64, empty bool) {
	s.misreport.capacityFactor = factor
	s.misreport.empty = empty
	s.registry.touchAll()
}

// push sends each watching subscriber the changes since its last update. One frame serves all subscribers at the same
// revision.
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

// servePolls answers queued polls in order, one at a time. Polls that were queued for longer than CallTimeout fail, and
// polls of closed connections are dropped.
func (s *DiscoveryService) servePolls(now placement.Millis) {
	for !s.polls.busy && len(s.polls.queued) > 0 {
		poll := s.polls.queued[0]
		s.polls.queued = s.polls.queued[1:]
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

// answerPoll schedules the answer to a poll after its send duration. The next poll is served after that.
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
		s.servePolls(now)
	})
}

// pollUpdate returns the answer to a poll: a delta if the poll subscribes and its revision is of this epoch, else a
// snapshot.
func (s *DiscoveryService) pollUpdate(now placement.Millis, poll *pb.NodeListRequest) *pb.Frame {
	if poll.Epoch != s.epoch || !poll.Watch || poll.Revision > s.registry.revision {
		return s.newUpdate(now, pb.NodeListUpdate_SNAPSHOT, 0)
	}
	return s.newUpdate(now, pb.NodeListUpdate_DELTA, poll.Revision)
}

// sendDuration returns the time in ms to send an answer, or 0 if the model does not limit the rate of entries.
func (s *DiscoveryService) sendDuration(entries int) placement.Millis {
	if s.model.EntriesPerSecond <= 0 {
		return 0
	}
	return placement.Millis(math.Ceil(float64(pollCost+entries) / s.model.EntriesPerSecond * 1000 * s.Slowdown))
}
