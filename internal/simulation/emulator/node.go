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

	net    transport.FrameNetwork
	timers transport.Timers
	now    placement.Millis

	list               transport.ConnID
	peers              map[transport.ConnID]string // allocator's name, "" before its hello
	conns              map[string]transport.ConnID
	latestIncarnation  map[string]uint64 // latest incarnation met of each allocator
	queue              []*queuedFrame
	admitting          bool
	tasks              []*Task // in the order of their acceptance
	byBind             map[observer.BindKey]*Task
	answered           map[observer.BindKey]*pb.OfferAnswer
	answeredOrder      []observer.BindKey // of answered
	toStart            []*Task
	starting           int
	programs           []uint64 // cached, latest last
	load               *pb.Load
	loadAt             placement.Millis
	arrivals           []placement.Millis // of offers while warming up
	draining           bool
	overloaded         bool
	Slowdown           float64 // multiplies the time of admissions and starts
	NeighbourShare     float64 // share of the machine that another program takes
	ThrottledGroup     string  // group whose offers are rejected without a reason
	Surge              UsageSurge
	UnderreportedShare float64                  // share of its load that it does not report
	StartsBlocked      bool                     // it accepts offers, and starts nothing
	Leaves             bool                     // it registers as gone for good
	OnOverload         func()                   // called when too many offers while warming up made it fail
	OnRunning          func(t *Task, runs bool) // called when a workload starts and when it ends
}

// NodeSpec describes one machine of a run.
type NodeSpec struct {
	ID            uint32
	Kind          string
	Zone, Cell    string
	Cores, Memory float64
	ListAddr      string
	Addr          string
	CoreTime      float64 // core milliseconds for which single workloads ran while clients sent requests
}

// NewNode returns a node without workloads. In its first incarnation it has been up for long.
func NewNode(spec *NodeSpec, m *scenario.NodeModel, boot uint64) *Node {
	return &Node{
		id: spec.ID, spec: spec, model: m, incarnation: boot, startedAt: placement.DistantPast, peers: map[transport.ConnID]string{},
		conns: map[string]transport.ConnID{}, latestIncarnation: map[string]uint64{}, byBind: map[observer.BindKey]*Task{},
		answered: map[observer.BindKey]*pb.OfferAnswer{}, Slowdown: 1,
	}
}

// Start implements transport.FrameHandler.
func (n *Node) Start(now placement.Millis, net transport.FrameNetwork) {
	n.net, n.now = net, now
	if n.incarnation > 1 {
		n.startedAt = now
	}
	n.dialList(now)
	n.report(now)
	n.wake()
}

func (n *Node) dialList(placement.Millis) { n.list = n.net.Dial(n.spec.ListAddr) }

func (n *Node) wake() {
	if at, ok := n.timers.Next(); ok {
		n.net.WakeAt(at)
	}
}

// Wake implements transport.FrameHandler.
func (n *Node) Wake(now placement.Millis) {
	n.now = now
	n.timers.RunDue(now)
	n.wake()
}

// Opened implements transport.FrameHandler.
func (n *Node) Opened(now placement.Millis, c transport.ConnID) {
	n.now = now
	if c == n.list {
		n.net.Send(c, transport.HelloFrame(&pb.Hello{Role: pb.Role_NODE, Name: "node", Node: n.id, Incarnation: n.incarnation}))
		n.register(now)
	} else {
		n.peers[c] = ""
	}
	n.wake()
}

// Closed implements transport.FrameHandler.
func (n *Node) Closed(now placement.Millis, c transport.ConnID, _ error) {
	n.now = now
	if c == n.list {
		n.timers.Schedule(now+500, n.dialList)
	} else {
		if name := n.peers[c]; n.conns[name] == c {
			delete(n.conns, name)
		}
		delete(n.peers, c)
	}
	n.wake()
}

// Received implements transport.FrameHandler.
func (n *Node) Received(now placement.Millis, c transport.ConnID, f *pb.Frame) {
	n.now = now
	name, known := n.peers[c]
	switch {
	case !known:
	case name == "":
		n.handshake(c, f)
	default:
		switch b := f.Body.(type) {
		case *pb.Frame_Offer:
			n.offered(now, c, b.Offer)
		case *pb.Frame_Stop:
			n.stopped(now, b.Stop)
		case *pb.Frame_Keep:
			if t := n.byBind[observer.KeyOf(b.Keep.Bind)]; t != nil {
				t.confirmed = true
			}
		case *pb.Frame_Probe:
			n.enqueue(now, &queuedFrame{probe: b.Probe.Id, from: c, arrived: now})
		}
	}
	n.wake()
}

// greet tells an allocator what of its workloads stands here.
func (n *Node) handshake(c transport.ConnID, f *pb.Frame) {
	h, err := transport.CheckHello(f)
	if err == nil && h.Role != pb.Role_ALLOCATOR {
		err = errNotAllocator
	}
	if err != nil {
		n.net.Send(c, transport.RefusalFrame(err.Error()))
		n.net.Close(c)
		delete(n.peers, c)
		return
	}
	n.peers[c], n.conns[h.Name] = h.Name, c
	n.latestIncarnation[h.Name] = max(n.latestIncarnation[h.Name], h.Incarnation)
	hello := &pb.Hello{
		Role: pb.Role_NODE, Name: "node", Node: n.id, Incarnation: n.incarnation,
		ConfirmsRunning: n.model.ConfirmsRunning, Draining: n.draining, UpForMs: n.upFor(n.now),
	}
	for _, t := range n.tasks {
		if t.Offer.Bind.Allocator == h.Name && (t.running || !n.model.ConfirmsRunning) {
			hello.Standing = append(hello.Standing, &pb.Standing{Offer: t.Offer, Running: t.running, Kept: t.confirmed})
		}
	}
	n.net.Send(c, transport.HelloFrame(hello))
}

// tell sends to an allocator if it is connected.
func (n *Node) sendTo(allocator string, f *pb.Frame) {
	if c, ok := n.conns[allocator]; ok {
		n.net.Send(c, f)
	}
}

// register sends the node's state and unrequested capacity to the discovery service.
func (n *Node) register(now placement.Millis) {
	cores, memory := n.requested()
	state := pb.NodeEntry_READY
	switch {
	case n.Leaves:
		state = pb.NodeEntry_GONE
	case n.draining:
		state = pb.NodeEntry_DRAINING
	}
	n.net.Send(n.list, &pb.Frame{Body: &pb.Frame_Register{Register: &pb.NodeEntry{
		Id: n.id, State: state, Kind: n.spec.Kind, Zone: n.spec.Zone, Cell: n.spec.Cell, Boot: n.incarnation, UpForMs: n.upFor(now),
		FreeCores: n.spec.Cores - cores, FreeMemory: n.spec.Memory - memory, Address: n.spec.Addr,
	}}})
}

// upFor returns the time since the node's start in ms, or -1 if it is not known.
func (n *Node) upFor(now placement.Millis) float64 {
	if math.IsInf(float64(n.startedAt), -1) {
		return -1
	}
	return float64(now - n.startedAt)
}

// allocators are the connections to allocators that have said who they are, oldest first.
func (n *Node) allocators() (conns []transport.ConnID) {
	for c, name := range n.peers {
		if name != "" {
			conns = append(conns, c)
		}
	}
	slices.Sort(conns)
	return conns
}
