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

// cluster emulates a discovery service and nodes that start every workload at once and count the starts by key.
type cluster struct {
	t         *testing.T
	discovery string // address of the discovery service
	mu        sync.Mutex
	starts    map[uint64]int
	running   map[uint32][]*pb.RunningWorkload // by node
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
	greet := func(p *peer) error { return c.greet(p, id) }
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
		Address:     c.listen(greet, handle),
	}
}

// startDiscovery starts a discovery service that sends one snapshot, and returns its address.
func (c *cluster) startDiscovery(snapshot *pb.NodeListUpdate) string {
	greet := func(p *peer) error {
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
	return c.listen(greet, func(*peer, *pb.Frame) error { return nil })
}

// listen accepts connections, greets each after its hello, and handles its frames. It returns the address.
func (c *cluster) listen(greet func(*peer) error, handle func(*peer, *pb.Frame) error) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(newPeer(conn), greet, handle)
		}
	}()
	return ln.Addr().String()
}

// serve greets a peer after its hello, and handles its frames until the connection ends. An allocator that is killed
// ends it at any point.
func serve(client *peer, greet func(*peer) error, handle func(*peer, *pb.Frame) error) {
	defer client.close()
	if _, err := client.next(); err != nil {
		return
	}
	if err := greet(client); err != nil {
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

// greet sends a node's hello with the workloads that run there.
func (c *cluster) greet(p *peer, id uint32) error {
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

// fate is what a node does with a workload that it has started.
type fate int

const (
	fateConfirmedAndRuns   fate = iota
	fateUnconfirmedAndRuns      // the allocator learns of it from the node's next hello
	fateUnconfirmedAndEnds      // no hello ever names it
	fates
)

// fateOf gives each fate to a third of the keys.
func fateOf(key uint64) fate { return fate(key % uint64(fates)) }

// handleOffer starts a workload and counts the start.
func (c *cluster) handleOffer(p *peer, id uint32, offer *pb.Offer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := offer.Request.Key
	c.starts[key]++
	if fateOf(key) != fateUnconfirmedAndEnds {
		c.running[id] = append(c.running[id], &pb.RunningWorkload{Offer: offer, Running: true})
	}
	if fateOf(key) != fateConfirmedAndRuns {
		return nil
	}
	confirmation := &pb.OfferReply{Bind: offer.Bind, Accepted: true}
	return p.send(&pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: confirmation}})
}
