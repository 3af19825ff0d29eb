// Package emulator provides stand-ins for the processes that allocators talk to: nodes, clients and the discovery service.
package emulator

import (
	"errors"
	"math"
	"slices"

	"grebeglade/internal/simulation/observer"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// reconnectDelay is the time in ms after which a node dials a lost discovery service again.
const reconnectDelay = placement.Millis(500)

// errNotAllocator rejects a hello that is not an allocator's.
var errNotAllocator = errors.New("a node serves allocators")

// Node emulates a machine. Faults set its exported fields, on its goroutine. It has more than fifteen fields as these faults act on
// its admission queue, its tasks and its reports alike.
type Node struct {
	id          uint32
	spec        *NodeSpec
	model       *scenario.NodeModel
	incarnation uint64
	startedAt   placement.Millis

	network transport.FrameNetwork
	timers  transport.Timers
	now     placement.Millis

	discovery          transport.ConnID
	allocatorByConn    map[transport.ConnID]string // name, "" before its hello
	connByAllocator    map[string]transport.ConnID
	latestIncarnation  map[string]uint64 // by allocator, as its hellos reported it
	queue              []*queuedFrame
	admitting          bool
	tasks              []*Task // in the order of their acceptance
	byBind             map[observer.BindKey]*Task
	answers            map[observer.BindKey]*pb.OfferReply
	answerOrder        []observer.BindKey // keys of answers, oldest first
	pendingStarts      []*Task
	startsInProgress   int
	cachedPrograms     []uint64 // by service, most recently used last
	load               *pb.Load
	loadAt             placement.Millis
	arrivals           []placement.Millis // of offers while warming up
	draining           bool
	overloaded         bool
	Slowdown           float64 // multiplies the time of admissions and starts
	NeighbourShare     float64 // share of the machine that another program takes
	ThrottledGroup     string  // group whose offers are rejected without a reason
	Surge              UsageSurge
	UnderreportedShare float64                  // share of the load that is left out of reports
	StartsBlocked      bool                     // offers are accepted, but nothing is started
	Leaves             bool                     // the node registers as removed
	OnOverload         func()                   // called when too many offers during warm-up made the node fail
	OnRunning          func(t *Task, runs bool) // called when a workload starts and when it ends
}

// NodeSpec describes one machine of a run.
type NodeSpec struct {
	ID            uint32
	Kind          string
	Zone, Cell    string
	Cores, Memory float64
	DiscoveryAddr string
	Addr          string
	CoreTime      float64 // core milliseconds for which single workloads ran while clients sent requests
}

// NewNode returns a node without workloads. In its first incarnation its uptime is unknown, and it does not warm up.
func NewNode(spec *NodeSpec, m *scenario.NodeModel, incarnation uint64) *Node {
	return &Node{
		id:                spec.ID,
		spec:              spec,
		model:             m,
		incarnation:       incarnation,
		startedAt:         placement.DistantPast,
		allocatorByConn:   map[transport.ConnID]string{},
		connByAllocator:   map[string]transport.ConnID{},
		latestIncarnation: map[string]uint64{},
		byBind:            map[observer.BindKey]*Task{},
		answers:           map[observer.BindKey]*pb.OfferReply{},
		Slowdown:          1,
	}
}

// Start implements transport.FrameHandler.
func (n *Node) Start(now placement.Millis, network transport.FrameNetwork) {
	n.network = network
	n.now = now
	if n.incarnation > 1 {
		n.startedAt = now
	}
	n.dialDiscovery(now)
	n.report(now)
	n.wake()
}

// dialDiscovery connects to the discovery service.
func (n *Node) dialDiscovery(placement.Millis) { n.discovery = n.network.Dial(n.spec.DiscoveryAddr) }

func (n *Node) wake() {
	if at, ok := n.timers.Next(); ok {
		n.network.WakeAt(at)
	}
}

// Wake implements transport.FrameHandler.
func (n *Node) Wake(now placement.Millis) {
	n.now = now
	n.timers.RunDue(now)
	n.wake()
}

// Opened implements transport.FrameHandler.
func (n *Node) Opened(now placement.Millis, conn transport.ConnID) {
	n.now = now
	if conn == n.discovery {
		n.network.Send(conn, transport.HelloFrame(&pb.Hello{
			Role:        pb.Role_NODE,
			Name:        "node",
			Node:        n.id,
			Incarnation: n.incarnation,
		}))
		n.register(now)
	} else {
		n.allocatorByConn[conn] = ""
	}
	n.wake()
}

// Closed implements transport.FrameHandler.
func (n *Node) Closed(now placement.Millis, conn transport.ConnID, _ error) {
	n.now = now
	if conn == n.discovery {
		n.timers.Schedule(now+reconnectDelay, n.dialDiscovery)
	} else {
		if name := n.allocatorByConn[conn]; n.connByAllocator[name] == conn {
			delete(n.connByAllocator, name)
		}
		delete(n.allocatorByConn, conn)
	}
	n.wake()
}

// Received implements transport.FrameHandler.
func (n *Node) Received(now placement.Millis, conn transport.ConnID, f *pb.Frame) {
	n.now = now
	name, known := n.allocatorByConn[conn]
	switch {
	case !known:
	case name == "":
		n.handshake(conn, f)
	default:
		switch b := f.Body.(type) {
		case *pb.Frame_Offer:
			n.handleOffer(now, conn, b.Offer)
		case *pb.Frame_Stop:
			n.handleStop(now, b.Stop)
		case *pb.Frame_ConfirmGang:
			if t := n.byBind[observer.KeyOf(b.ConfirmGang.Bind)]; t != nil {
				t.confirmed = true
			}
		case *pb.Frame_HealthCheck:
			n.enqueue(now, &queuedFrame{
				probe:   b.HealthCheck.Id,
				from:    conn,
				arrived: now,
			})
		}
	}
	n.wake()
}

// handshake handles an allocator's hello, and answers with the workloads that the node runs for it.
func (n *Node) handshake(conn transport.ConnID, f *pb.Frame) {
	h, err := transport.CheckHello(f)
	if err == nil && h.Role != pb.Role_ALLOCATOR {
		err = errNotAllocator
	}
	if err != nil {
		n.network.Send(conn, transport.RefusalFrame(err.Error()))
		n.network.Close(conn)
		delete(n.allocatorByConn, conn)
		return
	}
	n.allocatorByConn[conn] = h.Name
	n.connByAllocator[h.Name] = conn
	n.latestIncarnation[h.Name] = max(n.latestIncarnation[h.Name], h.Incarnation)
	hello := &pb.Hello{
		Role:            pb.Role_NODE,
		Name:            "node",
		Node:            n.id,
		Incarnation:     n.incarnation,
		ConfirmsRunning: n.model.ConfirmsRunning,
		Draining:        n.draining,
		UpForMs:         n.uptime(n.now),
	}
	for _, t := range n.tasks {
		if t.Offer.Bind.Allocator == h.Name && (t.running || !n.model.ConfirmsRunning) {
			hello.RunningWorkloads = append(hello.RunningWorkloads, &pb.RunningWorkload{
				Offer:     t.Offer,
				Running:   t.running,
				Confirmed: t.confirmed,
			})
		}
	}
	n.network.Send(conn, transport.HelloFrame(hello))
}

// sendTo sends a frame to an allocator if it is connected.
func (n *Node) sendTo(allocator string, f *pb.Frame) {
	if conn, ok := n.connByAllocator[allocator]; ok {
		n.network.Send(conn, f)
	}
}

// register sends the node's state and unrequested capacity to the discovery service.
func (n *Node) register(now placement.Millis) {
	cores, memory := n.requestedCapacity()
	state := pb.NodeEntry_READY
	switch {
	case n.Leaves:
		state = pb.NodeEntry_REMOVED
	case n.draining:
		state = pb.NodeEntry_DRAINING
	}
	n.network.Send(n.discovery, &pb.Frame{Body: &pb.Frame_Register{Register: &pb.NodeEntry{
		Id:          n.id,
		State:       state,
		Kind:        n.spec.Kind,
		Zone:        n.spec.Zone,
		Cell:        n.spec.Cell,
		Incarnation: n.incarnation,
		UpForMs:     n.uptime(now),
		FreeCores:   n.spec.Cores - cores,
		FreeMemory:  n.spec.Memory - memory,
		Address:     n.spec.Addr,
	}}})
}

// uptime returns the time since the node's start in ms, or -1 if it is not known.
func (n *Node) uptime(now placement.Millis) float64 {
	if math.IsInf(float64(n.startedAt), -1) {
		return -1
	}
	return float64(now - n.startedAt)
}

// allocatorConns returns the connections to allocators whose hello was received, oldest first.
func (n *Node) allocatorConns() (conns []transport.ConnID) {
	for conn, name := range n.allocatorByConn {
		if name != "" {
			conns = append(conns, conn)
		}
	}
	slices.Sort(conns)
	return conns
}
