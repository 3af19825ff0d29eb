package daemon

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// cluster emulates a discovery service and nodes. The nodes start each offered workload immediately, and count the
// starts per key.
type cluster struct {
	t         *testing.T
	discovery string // address of the discovery service
	mu        sync.Mutex
	starts    map[uint64]int                   // number of starts by key
	running   map[uint32][]*pb.RunningWorkload // key: node ID
}

func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	emulated := &cluster{
		t:       t,
		starts:  map[uint64]int{},
		running: map[uint32][]*pb.RunningWorkload{},
	}
	snapshot := &pb.NodeListUpdate{
		Kind:     pb.NodeListUpdate_SNAPSHOT,
		Epoch:    1,
		Revision: 1,
	}
	for i := range nodes {
		snapshot.Entries = append(snapshot.Entries, emulated.startNode(uint32(i+1)))
	}
	emulated.discovery = emulated.startDiscovery(snapshot)
	return emulated
}

// startNode starts a node and returns its entry in the node list.
func (c *cluster) startNode(id uint32) *pb.NodeEntry {
	sendHello := func(p *peer) error { return c.sendNodeHello(p, id) }
	handle := func(p *peer, f *pb.Frame) error {
		if offer := f.GetOffer(); offer != nil {
			return c.handleOffer(p, id, offer)
		}
		return nil
	}
	return &pb.NodeEntry{
		Id:          id,
		Kind:        "k",
		Zone:        "z",
		Cell:        fmt.Sprint(id),
		Incarnation: 1,
		UpForMs:     -1,
		FreeCores:   1000,
		FreeMemory:  1000,
		Address:     c.listen(sendHello, handle),
	}
}

// startDiscovery starts a discovery service that sends one snapshot, and returns its address.
func (c *cluster) startDiscovery(snapshot *pb.NodeListUpdate) string {
	sendHello := func(p *peer) error {
		hello := &pb.Hello{
			Role:        pb.Role_DISCOVERY,
			Name:        "l",
			Incarnation: 1,
		}
		if err := p.send(transport.HelloFrame(hello)); err != nil {
			return err
		}
		return p.send(&pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: snapshot}})
	}
	return c.listen(sendHello, func(*peer, *pb.Frame) error { return nil })
}

// listen accepts connections and serves each on a goroutine. It returns the listen address.
func (c *cluster) listen(sendHello func(*peer) error, handle func(*peer, *pb.Frame) error) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(newPeer(conn), sendHello, handle)
		}
	}()
	return ln.Addr().String()
}

// serve receives a hello, calls sendHello, and handles frames until the connection ends. Errors are not reported, since
// the connection to a killed allocator may end at any point.
func serve(client *peer, sendHello func(*peer) error, handle func(*peer, *pb.Frame) error) {
	defer client.close()
	if _, err := client.next(); err != nil {
		return
	}
	if err := sendHello(client); err != nil {
		return
	}
	for {
		f, err := client.next()
		if err != nil {
			return
		}
		if err := handle(client, f); err != nil {
			return
		}
	}
}

// sendNodeHello sends the hello of a node, with the workloads that run on it.
func (c *cluster) sendNodeHello(p *peer, id uint32) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.send(transport.HelloFrame(&pb.Hello{
		Role:             pb.Role_NODE,
		Name:             "n",
		Node:             id,
		Incarnation:      1,
		UpForMs:          -1,
		RunningWorkloads: c.running[id],
	}))
}

// outcome is the behaviour of a node after it has started a workload.
type outcome int

const (
	outcomeConfirmedRunning   outcome = iota
	outcomeUnconfirmedRunning         // first reported in the node's next hello
	outcomeUnconfirmedEnded           // never reported to the allocator
	numOutcomes
)

// outcomeOf returns the outcome for a key. Each outcome applies to a third of the keys.
func outcomeOf(key uint64) outcome { return outcome(key % uint64(numOutcomes)) }

// handleOffer starts a workload, counts the start, and sends a confirmation if the key's outcome requires one.
func (c *cluster) handleOffer(p *peer, id uint32, offer *pb.Offer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := offer.Request.Key
	c.starts[key]++
	if outcomeOf(key) != outcomeUnconfirmedEnded {
		c.running[id] = append(c.running[id], &pb.RunningWorkload{Offer: offer, Running: true})
	}
	if outcomeOf(key) != outcomeConfirmedRunning {
		return nil
	}
	confirmation := &pb.OfferReply{Bind: offer.Bind, Accepted: true}
	return p.send(&pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: confirmation}})
}
