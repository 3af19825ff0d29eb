package benchmark

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"grebeglade/internal/daemon"
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	inFlight = 256              // asks that wait for their answer at a time
	warmUp   = 10 * time.Second // at most, until every node is connected
)

// cluster is an allocator on sockets among nodes that accept at once, and an owner's connection to it.
type cluster struct {
	loop    *transport.Loop
	port    *native.Frontend
	closers []io.Closer
	owner   net.Conn
	in      *bufio.Reader
	offered func(ask uint64)  // called at the node when an offer arrives
	journal *daemon.BindStore // nil without state
}

func (c *cluster) Close() {
	for _, x := range c.closers {
		x.Close()
	}
	c.loop.Close()
	if c.journal != nil {
		c.journal.Close()
	}
}

func config(list string, most int) native.Config {
	return native.Config{
		Name: "bench", Incarnation: 2, Seed: 1, Settings: settings(1), GroupNames: []string{"g"}, KindNames: []string{"k"},
		DiscoveryAddress: list, EventLogSize: 1 << 14, MaxWorkloads: most,
	}
}

// start brings the cluster up and waits until every resident is adopted.
func (f Fleet) start(offered func(uint64)) (*cluster, error) {
	c := &cluster{loop: transport.NewLoop(nil), offered: offered}
	u := &pb.ListUpdate{Kind: pb.ListUpdate_WHOLE, Epoch: 1, Revision: 1}
	for i := range f.Nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.Close()
			return nil, err
		}
		c.closers = append(c.closers, l)
		go c.accept(l, func(conn net.Conn) { c.node(conn, f, i) })
		u.Entries = append(u.Entries, &pb.NodeEntry{
			Id: uint32(i + 1), Kind: "k", Zone: "z", Cell: fmt.Sprint(i / 8), Boot: 1, UpForMs: -1, FreeCores: cores / 2,
			FreeMemory: memory / 2, Address: l.Addr().String(),
		})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Close()
		return nil, err
	}
	c.closers = append(c.closers, l)
	go c.accept(l, func(conn net.Conn) {
		w := &writer{w: conn}
		w.send(transport.HelloFrame(&pb.Hello{Role: pb.Role_LIST, Name: "list", Incarnation: 1}))
		w.send(&pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: u}})
		io.Copy(io.Discard, conn)
	})
	pc := config(l.Addr().String(), 0)
	pc.Trace = f.trace
	if f.state.Dir != "" {
		pc.Settings.Groups[0].Idempotency = placement.AtMostOnce
		j, err := daemon.OpenBindStore(f.state, &pc, c.loop, slog.New(slog.DiscardHandler))
		if err != nil {
			c.Close()
			return nil, err
		}
		c.journal = j
	} else if f.once {
		pc.Settings.Groups[0].Idempotency = placement.AtMostOnce
	}
	c.port = native.New(pc)
	if c.journal != nil {
		c.journal.Attach(c.port)
	}
	addr, err := c.loop.ListenFrames(c.port, "127.0.0.1:0", transport.DefaultLimits)
	if err != nil {
		c.Close()
		return nil, err
	}
	c.loop.Run()
	for deadline := time.Now().Add(warmUp); ; time.Sleep(5 * time.Millisecond) {
		held := 0
		c.loop.Call(c.port, func(placement.Millis) { held = c.port.WorkloadCount() })
		if held == f.Nodes*f.Residents {
			break
		}
		if time.Now().After(deadline) {
			c.Close()
			return nil, fmt.Errorf("only %d of %d residents adopted", held, f.Nodes*f.Residents)
		}
	}
	if c.owner, err = net.Dial("tcp", addr); err != nil {
		c.Close()
		return nil, err
	}
	c.closers = append(c.closers, c.owner)
	c.in = bufio.NewReaderSize(c.owner, 1<<16)
	w := &writer{w: c.owner}
	w.send(transport.HelloFrame(&pb.Hello{Role: pb.Role_OWNER, Name: "owner", Incarnation: 1}))
	if _, err := receive(c.in); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) accept(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			serve(conn)
		}()
	}
}

// node says yes to every offer, and that it has ended.
func (c *cluster) node(conn net.Conn, f Fleet, i int) {
	in, out := bufio.NewReader(conn), &writer{w: conn}
	if _, err := receive(in); err != nil {
		return
	}
	hello := &pb.Hello{Role: pb.Role_NODE, Name: "n", Node: uint32(i + 1), Incarnation: 1, UpForMs: -1}
	for r := range f.Residents {
		id := uint64(i*f.Residents + r)
		hello.Standing = append(hello.Standing, &pb.Standing{Running: true, Offer: &pb.Offer{
			Bind: &pb.BindID{Allocator: "bench", Incarnation: 1, Workload: id}, Owner: "other",
			Ask: &pb.Ask{Ask: id, Key: id, Service: id % services, Group: "g", Cores: 0.5, Memory: 1},
		}})
	}
	out.send(transport.HelloFrame(hello))
	spareCores, spareMemory, util := load.SpareCores, load.SpareMemory, load.Utilization
	l := &pb.Load{SpareCores: &spareCores, SpareMemory: &spareMemory, Utilization: &util}
	for {
		f, err := receive(in)
		if err != nil {
			return
		}
		switch o := f.GetOffer(); {
		case o != nil:
			if c.offered != nil {
				c.offered(o.Ask.Ask)
			}
			out.keep(&pb.Frame{Body: &pb.Frame_OfferAnswer{OfferAnswer: &pb.OfferAnswer{Bind: o.Bind, Accepted: true, Load: l}}})
			out.keep(&pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: o.Bind, Why: pb.Why_FINISHED}}})
		case f.GetProbe() != nil:
			out.keep(&pb.Frame{Body: &pb.Frame_ProbeAnswer{ProbeAnswer: &pb.ProbeAnswer{Id: f.GetProbe().Id, Load: l}}})
		}
		if in.Buffered() == 0 {
			out.flush()
		}
	}
}

// writer sends frames, one by one or many at once. What cannot be sent shows in what does not come back.
type writer struct {
	w io.Writer
	b []byte
}

func (w *writer) keep(f *pb.Frame) {
	if b, err := transport.AppendFrame(w.b, f); err == nil {
		w.b = b
	}
}

func (w *writer) flush() {
	if len(w.b) > 0 {
		w.w.Write(w.b)
		w.b = w.b[:0]
	}
}

func (w *writer) send(f *pb.Frame) {
	w.keep(f)
	w.flush()
}

func receive(r *bufio.Reader) (*pb.Frame, error) {
	return transport.ReadFrame(r, transport.DefaultLimits.MaxFrameSize)
}

func askFrame(no uint64) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Ask{Ask: &pb.Ask{
		Ask: no, Key: 1<<40 | no, Service: no % services, Group: "g", Cores: 0.5, Memory: 1, LeftMs: 6000, RunsForMs: 1000,
	}}}
}

// sockets keeps so many asks in flight and returns how many are placed a second.
func (f Fleet) sockets(long time.Duration) (float64, error) {
	c, err := f.start(nil)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	out := &writer{w: c.owner}
	no := uint64(0)
	for range inFlight {
		no++
		out.keep(askFrame(no))
	}
	out.flush()
	began, placed := time.Now(), 0
	for time.Since(began) < long {
		fr, err := receive(c.in)
		if err != nil {
			return 0, err
		}
		if a := fr.GetAnswer(); a != nil {
			if a.Verdict == pb.Verdict_PLACED {
				placed++
			}
			no++
			out.keep(askFrame(no))
		}
		if c.in.Buffered() == 0 {
			out.flush()
		}
	}
	return float64(placed) / time.Since(began).Seconds(), nil
}

type spanMs struct{ median, p99 float64 }

// latency asks at a steady rate, whether or not answers come, and measures from when each ask was due to the
// offer's arrival at the node. It also returns how many asks the tool itself sent over a millisecond late.
func (f Fleet) latency(long time.Duration, perSecond float64) (spanMs, int, error) {
	var mu sync.Mutex
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	gap := time.Duration(float64(time.Second) / max(1, perSecond))
	var began atomic.Int64
	c, err := f.start(func(no uint64) {
		due := began.Load() + int64(no)*int64(gap)
		took := (time.Now().UnixNano() - due) / int64(time.Microsecond)
		mu.Lock()
		defer mu.Unlock()
		if err := h.RecordValue(max(1, took)); err != nil {
			h.RecordValue(h.HighestTrackableValue())
		}
	})
	if err != nil {
		return spanMs{}, 0, err
	}
	defer c.Close()
	go func() {
		for {
			if _, err := receive(c.in); err != nil {
				return
			}
		}
	}()
	out, late := &writer{w: c.owner}, 0
	start := time.Now()
	began.Store(start.UnixNano())
	for no := uint64(1); ; no++ {
		due := start.Add(time.Duration(no) * gap)
		if due.Sub(start) > long {
			break
		}
		if wait := time.Until(due); wait > 0 {
			out.flush()
			time.Sleep(wait)
		} else if wait < -time.Millisecond {
			late++
		}
		out.keep(askFrame(no))
	}
	out.flush()
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	if h.TotalCount() == 0 {
		return spanMs{}, 0, fmt.Errorf("no offer arrived")
	}
	return spanMs{float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(99)) / 1000}, late, nil
}

// still is a net that takes frames and sends none.
type still struct{ last transport.ConnID }

func (s *still) Dial(string) transport.ConnID   { s.last++; return s.last }
func (*still) Send(transport.ConnID, *pb.Frame) {}
func (*still) Close(transport.ConnID)           {}
func (*still) WakeAt(placement.Millis)          {}
func (*still) Now() placement.Millis            { return 0 }

// filled is an allocator that holds so many placed workloads on 1,000 nodes, each asked for and confirmed over
// the wire.
func filled(residents int) (*native.Frontend, error) {
	s := &still{}
	p := native.New(config("list", 0))
	p.Start(0, s)
	list := s.last
	p.Opened(0, list)
	p.Received(0, list, transport.HelloFrame(&pb.Hello{Role: pb.Role_LIST, Name: "l", Incarnation: 1}))
	const nodes = 1000
	u := &pb.ListUpdate{Kind: pb.ListUpdate_WHOLE, Epoch: 1, Revision: 1}
	for i := range nodes {
		u.Entries = append(u.Entries, &pb.NodeEntry{
			Id: uint32(i + 1), Kind: "k", Zone: "z", Cell: fmt.Sprint(i / 8), Boot: 1, UpForMs: -1, FreeCores: cores,
			FreeMemory: memory, Address: fmt.Sprint(i),
		})
	}
	p.Received(0, list, &pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: u}})
	each := (residents + nodes - 1) / nodes
	id := uint64(0)
	for i := range nodes {
		c := list + 1 + transport.ConnID(i)
		h := &pb.Hello{Role: pb.Role_NODE, Name: "n", Node: uint32(i + 1), Incarnation: 1, UpForMs: -1}
		for n := 0; n < each && int(id) < residents; n++ {
			id++
			h.Standing = append(h.Standing, &pb.Standing{Running: true, Offer: &pb.Offer{
				Bind: &pb.BindID{Allocator: "bench", Incarnation: 1, Workload: id}, Owner: fmt.Sprintf("owner-%d", id%100),
				Ask: &pb.Ask{Ask: id, Key: id, Service: id % services, Group: "g", Cores: 0.5, Memory: 1, LeftMs: 6000},
			}})
		}
		p.Opened(0, c)
		p.Received(0, c, transport.HelloFrame(h))
	}
	return p, nil
}
