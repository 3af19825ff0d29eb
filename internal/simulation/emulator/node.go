// Package emulator emulates the peers of allocators: nodes, clients and the discovery service.
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

// reconnectDelay is the delay in ms before a node redials the discovery service after a lost connection.
const reconnectDelay = placement.Millis(500)

// unknownUptime is the uptime that a node reports if its start time is unknown.
const unknownUptime = -1

// nodeName is the name in the hellos of all nodes. The ID in a hello identifies the node.
const nodeName = "node"

// errNotAllocator rejects a hello whose role is not allocator.
var errNotAllocator = errors.New("a node serves allocators")

// Node emulates a machine: it admits offers one at a time, starts and ends tasks, and reports its load. Faults set its
// NodeFaults on its goroutine. It has more than ten fields, as these steps share the timers and the tasks.
type Node struct {
	spec        *NodeSpec
	model       *scenario.NodeModel
	incarnation uint64
	startedAt   placement.Millis // placement.DistantPast if unknown
	process

	discovery  transport.ConnID
	allocators allocatorConns
	admission  admission
	answers    answerCache
	tasks      taskList
	programs   programCache
	load       loadReport
	draining   bool

	NodeFaults
	NodeHooks
}

// NodeHooks are callbacks, each of which may be nil. A node calls them on its goroutine.
type NodeHooks struct {
	OnOverload func()                   // the node fails because of too many offers during warm-up
	OnRunning  func(t *Task, runs bool) // a task starts to run, or a running task ends
}

// NodeSpec describes one machine of a run.
type NodeSpec struct {
	ID            uint32
	Kind          string
	Zone          string
	Cell          string
	Cores         float64
	Memory        float64
	DiscoveryAddr string
	Addr          string
	CoreTime      float64 // requested core ms of single workloads that ran while clients sent requests
}

// NewNode returns a node without workloads. In its first incarnation its uptime is unknown, and it does not warm up.
func NewNode(spec *NodeSpec, model *scenario.NodeModel, incarnation uint64) *Node {
	return &Node{
		spec:        spec,
		model:       model,
		incarnation: incarnation,
		startedAt:   placement.DistantPast,
		allocators:  newAllocatorConns(),
		answers:     newAnswerCache(),
		tasks:       taskList{byBind: map[observer.BindKey]*Task{}},
		programs:    programCache{limit: model.CachedPrograms},
		NodeFaults:  NodeFaults{Slowdown: 1},
	}
}

// Start implements transport.FrameHandler.
func (n *Node) Start(now placement.Millis, network transport.FrameNetwork) {
	n.network = network
	if n.incarnation > 1 {
		n.startedAt = now
	}
	n.dialDiscovery(now)
	n.report(now)
	n.scheduleWake()
}

// dialDiscovery connects to the discovery service.
func (n *Node) dialDiscovery(placement.Millis) { n.discovery = n.network.Dial(n.spec.DiscoveryAddr) }

// Opened implements transport.FrameHandler.
func (n *Node) Opened(now placement.Millis, conn transport.ConnID) {
	if conn == n.discovery {
		n.network.Send(conn, transport.HelloFrame(&pb.Hello{
			Role:        pb.Role_NODE,
			Name:        nodeName,
			Node:        n.spec.ID,
			Incarnation: n.incarnation,
		}))
		n.register(now)
	} else {
		n.allocators.opened(conn)
	}
	n.scheduleWake()
}

// Closed implements transport.FrameHandler.
func (n *Node) Closed(now placement.Millis, conn transport.ConnID, _ error) {
	if conn == n.discovery {
		n.timers.Schedule(now+reconnectDelay, n.dialDiscovery)
	} else {
		n.allocators.closed(conn)
	}
	n.scheduleWake()
}

// Received implements transport.FrameHandler. Frames of the discovery service are ignored.
func (n *Node) Received(now placement.Millis, conn transport.ConnID, f *pb.Frame) {
	name, accepted := n.allocators.names[conn]
	switch {
	case !accepted:
	case name == "":
		n.handshake(now, conn, f)
	default:
		n.receivedFromAllocator(now, conn, f)
	}
	n.scheduleWake()
}

// receivedFromAllocator handles a frame that an allocator sent after its hello.
func (n *Node) receivedFromAllocator(now placement.Millis, conn transport.ConnID, f *pb.Frame) {
	switch body := f.Body.(type) {
	case *pb.Frame_Offer:
		n.handleOffer(now, conn, body.Offer)
	case *pb.Frame_Stop:
		n.handleStop(now, body.Stop)
	case *pb.Frame_ConfirmGang:
		if t := n.tasks.byBind[observer.KeyOf(body.ConfirmGang.Bind)]; t != nil {
			t.confirmed = true
		}
	case *pb.Frame_HealthCheck:
		n.enqueue(now, &queuedFrame{
			healthCheckID: body.HealthCheck.Id,
			from:          conn,
			arrived:       now,
		})
	}
}

// handshake handles the first frame of a connection. It answers an allocator's hello with the allocator's workloads.
// After any other frame it sends a refusal and closes the connection.
func (n *Node) handshake(now placement.Millis, conn transport.ConnID, f *pb.Frame) {
	received, err := transport.CheckHello(f)
	if err == nil && received.Role != pb.Role_ALLOCATOR {
		err = errNotAllocator
	}
	if err != nil {
		n.network.Send(conn, transport.RefusalFrame(err.Error()))
		n.network.Close(conn)
		delete(n.allocators.names, conn)
		return
	}
	n.allocators.ready(conn, received)
	n.network.Send(conn, transport.HelloFrame(&pb.Hello{
		Role:             pb.Role_NODE,
		Name:             nodeName,
		Node:             n.spec.ID,
		Incarnation:      n.incarnation,
		ConfirmsRunning:  n.model.ConfirmsRunning,
		Draining:         n.draining,
		UpForMs:          n.uptime(now),
		RunningWorkloads: n.runningWorkloads(received.Name),
	}))
}

// runningWorkloads returns an allocator's workloads whose acceptance the node has confirmed.
func (n *Node) runningWorkloads(allocator string) (workloads []*pb.RunningWorkload) {
	for _, t := range n.tasks.all {
		if t.Offer.Bind.Allocator == allocator && (t.running || !n.model.ConfirmsRunning) {
			workloads = append(workloads, &pb.RunningWorkload{
				Offer:     t.Offer,
				Running:   t.running,
				Confirmed: t.confirmed,
			})
		}
	}
	return workloads
}

// sendTo sends a frame to an allocator if it is connected.
func (n *Node) sendTo(allocator string, f *pb.Frame) {
	if conn, ok := n.allocators.byName[allocator]; ok {
		n.network.Send(conn, f)
	}
}

// register sends the node's state to the discovery service, and the capacity that no task has requested.
func (n *Node) register(now placement.Millis) {
	cores, memory := n.tasks.requestedCapacity()
	state := pb.NodeEntry_READY
	if n.draining {
		state = pb.NodeEntry_DRAINING
	}
	n.network.Send(n.discovery, &pb.Frame{Body: &pb.Frame_Register{Register: &pb.NodeEntry{
		Id:          n.spec.ID,
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

// uptime returns the time since the node's start in ms, or unknownUptime.
func (n *Node) uptime(now placement.Millis) float64 {
	if math.IsInf(float64(n.startedAt), -1) {
		return unknownUptime
	}
	return float64(now - n.startedAt)
}

// allocatorConns are a node's connections to allocators.
type allocatorConns struct {
	names             map[transport.ConnID]string // name of the allocator; "" before its hello
	byName            map[string]transport.ConnID // the last connection of each allocator
	latestIncarnation map[string]uint64           // highest incarnation in each allocator's hellos
}

func newAllocatorConns() allocatorConns {
	return allocatorConns{
		names:             map[transport.ConnID]string{},
		byName:            map[string]transport.ConnID{},
		latestIncarnation: map[string]uint64{},
	}
}

// opened adds a connection on which no hello has arrived.
func (a *allocatorConns) opened(conn transport.ConnID) { a.names[conn] = "" }

// ready records the hello that was received on a connection.
func (a *allocatorConns) ready(conn transport.ConnID, hello *pb.Hello) {
	a.names[conn] = hello.Name
	a.byName[hello.Name] = conn
	a.latestIncarnation[hello.Name] = max(a.latestIncarnation[hello.Name], hello.Incarnation)
}

// closed removes a connection. Another connection of the same allocator stays.
func (a *allocatorConns) closed(conn transport.ConnID) {
	if name := a.names[conn]; a.byName[name] == conn {
		delete(a.byName, name)
	}
	delete(a.names, conn)
}

// readyConns returns the connections whose hello was received, oldest first.
func (a *allocatorConns) readyConns() (conns []transport.ConnID) {
	for conn, name := range a.names {
		if name != "" {
			conns = append(conns, conn)
		}
	}
	slices.Sort(conns)
	return conns
}
