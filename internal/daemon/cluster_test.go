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
	discovery string // address
	mu        sync.Mutex
	starts    map[uint64]int
	running   map[uint32][]*pb.RunningWorkload // by node
}

func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	c := &cluster{t: t, starts: map[uint64]int{}, running: map[uint32][]*pb.RunningWorkload{}}
	snapshot := &pb.NodeListUpdate{Kind: pb.NodeListUpdate_SNAPSHOT, Epoch: 1, Revision: 1}
	for i := range nodes {
		id := uint32(i + 1)
		snapshot.Entries = append(snapshot.Entries, &pb.NodeEntry{
			Id: id, Kind: "k", Zone: "z", Cell: fmt.Sprint(id), Incarnation: 1, UpForMs: -1, FreeCores: 1000, FreeMemory: 1000,
			Address: c.listen(func(p *peer) error { return c.greet(p, id) }, func(p *peer, f *pb.Frame) error {
				if o := f.GetOffer(); o != nil {
					return c.accept(p, id, o)
				}
				return nil
			}),
		})
	}
	greet := func(p *peer) error {
		if err := p.send(transport.HelloFrame(&pb.Hello{Role: pb.Role_DISCOVERY, Name: "l", Incarnation: 1})); err != nil {
			return err
		}
		return p.send(&pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: snapshot}})
	}
	c.discovery = c.listen(greet, func(*peer, *pb.Frame) error { return nil })
	return c
}

// listen accepts connections, greets each after its hello, and handles its frames. It returns the address.
func (c *cluster) listen(greet func(*peer) error, handle func(*peer, *pb.Frame) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(newPeer(conn), greet, handle)
		}
	}()
	return l.Addr().String()
}

// serve ends with the connection: an allocator that is killed breaks it at any point.
func serve(p *peer, greet func(*peer) error, handle func(*peer, *pb.Frame) error) {
	defer p.close()
	if _, err := p.next(); err != nil {
		return
	}
	if err := greet(p); err != nil {
		return
	}
	for {
		f, err := p.next()
		if err != nil {
			return
		}
		if err := handle(p, f); err != nil {
			return
		}
	}
}

// greet sends a node's hello with the workloads that run there.
func (c *cluster) greet(p *peer, id uint32) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.send(transport.HelloFrame(&pb.Hello{
		Role: pb.Role_NODE, Name: "n", Node: id, Incarnation: 1, UpForMs: -1, RunningWorkloads: c.running[id],
	}))
}

// accept starts a workload. A third of them are confirmed and run; a third run without a confirmation; a third are not
// confirmed and end at once, so that no hello ever names them.
func (c *cluster) accept(p *peer, id uint32, o *pb.Offer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := o.Request.Key
	c.starts[key]++
	if key%3 != 2 {
		c.running[id] = append(c.running[id], &pb.RunningWorkload{Offer: o, Running: true})
	}
	if key%3 != 0 {
		return nil
	}
	return p.send(&pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: &pb.OfferReply{Bind: o.Bind, Accepted: true}}})
}
