package benchmark

import (
	"bufio"
	"net"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// serveNode serves the allocator's connection to the i-th node. The node confirms every bind, and ends its workload at
// once.
func (c *cluster) serveNode(conn net.Conn, i int) {
	in, out := bufio.NewReader(conn), &frameWriter{w: conn}
	if _, err := receive(in); err != nil {
		return
	}
	out.send(transport.HelloFrame(c.nodeHello(i)))
	load := protobufLoad()
	for {
		f, err := receive(in)
		if err != nil {
			return
		}
		if offer := f.GetOffer(); offer != nil {
			if c.options.onOffer != nil {
				c.options.onOffer(offer.Request.RequestId)
			}
			out.add(&pb.Frame{Body: &pb.Frame_OfferReply{OfferReply: &pb.OfferReply{Bind: offer.Bind, Accepted: true, Load: load}}})
			out.add(&pb.Frame{Body: &pb.Frame_End{End: &pb.End{Bind: offer.Bind, Reason: pb.Reason_FINISHED}}})
		}
		if probe := f.GetHealthCheck(); probe != nil {
			out.add(&pb.Frame{Body: &pb.Frame_HealthReply{HealthReply: &pb.HealthReply{Id: probe.Id, Load: load}}})
		}
		if in.Buffered() == 0 {
			out.flush()
		}
	}
}

// nodeHello returns the hello of the i-th node, with its residents.
func (c *cluster) nodeHello(i int) *pb.Hello {
	hello := &pb.Hello{Role: pb.Role_NODE, Name: "n", Node: uint32(i + 1), Incarnation: 1, UpForMs: -1}
	for n := range c.fleet.Residents {
		hello.RunningWorkloads = append(hello.RunningWorkloads, resident(uint64(i*c.fleet.Residents+n), "other", 0))
	}
	return hello
}
