package benchmark

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"grebeglade/config"
	"grebeglade/internal/daemon"
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/replay"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	loopback         = "127.0.0.1:0"
	adoptionTimeout  = 10 * time.Second     // limit for adopting all residents
	adoptionInterval = 5 * time.Millisecond // time between adoption checks
	clientBufferSize = 1 << 16
)

// clusterOptions are optional features of the allocator, and a hook. The zero value enables none.
type clusterOptions struct {
	trace      replay.Sink                // destination of the trace of calls to the module; nil for no trace
	state      config.State               // binds are persisted if it has a directory
	atMostOnce bool                       // all workloads are at-most-once; implied by state
	onOffer    func(requestNumber uint64) // called when a node receives a bind; may be nil
}

// cluster is an allocator on loopback sockets, with nodes that accept every bind immediately, and a client's connection
// to the allocator.
type cluster struct {
	fleet     Fleet
	options   clusterOptions
	loop      *transport.Loop
	frontend  *native.Frontend
	bindStore *daemon.BindStore // nil without state
	closers   []io.Closer       // listeners, and the client's connection
	client    net.Conn
	received  *bufio.Reader // reads from the client's connection
}

// startCluster starts a cluster and waits until its allocator has adopted every resident.
func startCluster(fleet Fleet, options clusterOptions) (*cluster, error) {
	c := &cluster{
		fleet:   fleet,
		options: options,
		loop:    transport.NewLoop(nil),
	}
	if err := c.start(); err != nil {
		return nil, errors.Join(err, c.close())
	}
	return c, nil
}

// start starts the nodes, the discovery service, the allocator and the client, in that order.
func (c *cluster) start() error {
	entries, err := c.startNodes()
	if err != nil {
		return err
	}
	discovery, err := c.startDiscovery(entries)
	if err != nil {
		return err
	}
	address, err := c.startAllocator(discovery)
	if err != nil {
		return err
	}
	if err := c.awaitResidents(); err != nil {
		return err
	}
	return c.connectClient(address)
}

// close closes all listeners and the client's connection, stops the allocator, and closes its state.
func (c *cluster) close() error {
	var errs []error
	for _, closer := range c.closers {
		errs = append(errs, closer.Close())
	}
	c.loop.Close()
	if c.bindStore != nil {
		errs = append(errs, c.bindStore.Close())
	}
	return errors.Join(errs...)
}

// startNodes starts the nodes and returns their entries in the node list.
func (c *cluster) startNodes() ([]*pb.NodeEntry, error) {
	var entries []*pb.NodeEntry
	for i := range c.fleet.Nodes {
		address, err := c.serve(func(conn net.Conn) { c.serveNode(conn, i) })
		if err != nil {
			return nil, err
		}
		entries = append(entries, nodeEntry(i, freeShare, address))
	}
	return entries, nil
}

// startDiscovery starts a discovery service that sends the node list once per connection.
func (c *cluster) startDiscovery(entries []*pb.NodeEntry) (address string, err error) {
	return c.serve(func(conn net.Conn) {
		out := &frameWriter{out: conn}
		out.send(transport.HelloFrame(discoveryHello()))
		out.send(snapshotFrame(entries))
		_, _ = io.Copy(io.Discard, conn) // ends when the allocator disconnects
	})
}

// discoveryHello returns the hello of the discovery service.
func discoveryHello() *pb.Hello {
	return &pb.Hello{
		Role:        pb.Role_DISCOVERY,
		Name:        "list",
		Incarnation: 1,
	}
}

// snapshotFrame returns the discovery service's first update, with all nodes.
func snapshotFrame(entries []*pb.NodeEntry) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: &pb.NodeListUpdate{
		Kind:     pb.NodeListUpdate_SNAPSHOT,
		Epoch:    1,
		Revision: 1,
		Entries:  entries,
	}}}
}

// serve listens on a free port and calls handle for each connection in a goroutine. It closes a connection after handle
// returns.
func (c *cluster) serve(handle func(net.Conn)) (address string, err error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("listen for the allocator: %w", err)
	}
	c.closers = append(c.closers, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				handle(conn)
				_ = conn.Close() // handle has sent all replies
			}()
		}
	}()
	return listener.Addr().String(), nil
}

// frontendConfig returns the configuration of an allocator without state or traces.
func frontendConfig(discovery string) native.Config {
	return native.Config{
		Name:             allocatorName,
		Incarnation:      2,
		Seed:             1,
		Settings:         settings(),
		GroupNames:       []string{groupName},
		KindNames:        []string{kindName},
		DiscoveryAddress: discovery,
		EventLogSize:     eventLogSize,
	}
}

// startAllocator starts the allocator, with state and trace as the options require, and returns its address.
func (c *cluster) startAllocator(discovery string) (address string, err error) {
	allocatorConfig := frontendConfig(discovery)
	allocatorConfig.Trace = c.options.trace
	persistent := c.options.state.Dir != ""
	if persistent || c.options.atMostOnce {
		allocatorConfig.Settings.Groups[0].Idempotency = placement.AtMostOnce
	}
	if persistent {
		discard := slog.New(slog.DiscardHandler)
		c.bindStore, err = daemon.OpenBindStore(c.options.state, &allocatorConfig, c.loop, discard)
		if err != nil {
			return "", err
		}
	}
	c.frontend = native.New(allocatorConfig)
	if c.bindStore != nil {
		c.bindStore.Attach(c.frontend)
	}
	address, err = c.loop.ListenFrames(c.frontend, loopback, transport.DefaultLimits)
	if err != nil {
		return "", err
	}
	c.loop.Run()
	return address, nil
}

// awaitResidents waits until the allocator has adopted every resident.
func (c *cluster) awaitResidents() error {
	want := c.fleet.Nodes * c.fleet.Residents
	for deadline := time.Now().Add(adoptionTimeout); ; time.Sleep(adoptionInterval) {
		adopted := 0
		c.loop.Call(c.frontend, func(placement.Millis) { adopted = c.frontend.WorkloadCount() })
		if adopted == want {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("adopt the residents: %d of %d adopted before the timeout", adopted, want)
		}
	}
}

// connectClient opens the client's connection to the allocator, and exchanges hellos.
func (c *cluster) connectClient(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return fmt.Errorf("connect to the allocator: %w", err)
	}
	c.closers = append(c.closers, conn)
	c.client = conn
	c.received = bufio.NewReaderSize(conn, clientBufferSize)
	out := &frameWriter{out: conn}
	out.send(transport.HelloFrame(&pb.Hello{
		Role:        pb.Role_CLIENT,
		Name:        "owner",
		Incarnation: 1,
	}))
	_, err = receive(c.received)
	return err
}
