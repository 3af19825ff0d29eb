package benchmark

import (
	"bufio"
	"net"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// serveNode serves the allocator's connection to the i-th node. The node confirms every bind, and ends its workload
// immediately.
func (c *cluster) serveNode(conn net.Conn, i int) {
	requests := bufio.NewReader(conn)
	replies := &frameWriter{out: conn}
	if _, err := receive(requests); err != nil { // the allocator's hello
		return
	}
	replies.send(transport.HelloFrame(c.helloWithResidents(i)))
	load := protobufLoad()
	for {
		frame, err := receive(requests)
		if err != nil {
			return
		}
		if offer := frame.GetOffer(); offer != nil {
			if c.options.onOffer != nil {
				c.options.onOffer(offer.Request.RequestId)
			}
			replies.add(acceptedFrame(offer.Bind, load))
			replies.add(finishedFrame(offer.Bind))
		}
		if check := frame.GetHealthCheck(); check != nil {
			replies.add(healthyFrame(check.Id, load))
		}
		if requests.Buffered() == 0 {
			replies.flush()
		}
	}
}

// helloWithResidents returns the hello of the i-th node of the fleet, with its residents.
func (c *cluster) helloWithResidents(i int) *pb.Hello {
	hello := nodeHello(i)
	for n := range c.fleet.Residents {
		hello.RunningWorkloads = append(hello.RunningWorkloads, resident(uint64(i*c.fleet.Residents+n), "other", 0))
	}
	return hello
}

// nodeHello returns the hello of the i-th node, without running workloads.
func nodeHello(i int) *pb.Hello {
	return &pb.Hello{
		Role:        pb.Role_NODE,
		Name:        "n",
		Node:        uint32(i + 1),
		Incarnation: 1,
		UpForMs:     -1,
	}
}

// acceptedFrame returns a node's reply that accepts a bind.
func acceptedFrame(bind *pb.BindID, load *pb.Load) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: &pb.OfferReply{
		Bind:     bind,
		Accepted: true,
		Load:     load,
	}}}
}

// finishedFrame returns a node's notification that a workload has finished.
func finishedFrame(bind *pb.BindID) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: bind, Reason: pb.Reason_FINISHED}}}
}

// healthyFrame returns a node's reply to a health check.
func healthyFrame(id uint64, load *pb.Load) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_HealthReply{HealthReply: &pb.HealthReply{Id: id, Load: load}}}
}
