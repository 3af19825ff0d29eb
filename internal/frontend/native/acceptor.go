package native

import (
	"cmp"
	"fmt"
	"slices"

	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// acceptor handles the connections of clients and operators until their hello.
type acceptor struct {
	*environment
	connections *connections
	clients     *clientSessions
	workloads   *workloadTable
}

// opened handles an accepted connection. It is refused if no hello begins to arrive within helloTimeout, or is received
// within maxHelloTime.
func (a *acceptor) opened(now placement.Millis, id transport.ConnID) {
	a.connections.add(id, &connection{})
	deadline := helloDeadline{begins: now + helloTimeout, complete: now + maxHelloTime}
	a.scheduleHelloDeadline(deadline, id, func(placement.Millis) {
		if a.connections.awaitsHello(id) {
			a.connections.refuse(id, errHelloTimeout)
		}
	})
}

// received handles the first frame of a connection. It refuses the connection unless the frame is the hello of a client
// or an operator.
func (a *acceptor) received(now placement.Millis, id transport.ConnID, peer *connection, frame *pb.Frame) {
	hello, err := helloOf(frame, acceptRole)
	switch {
	case err != nil:
		a.connections.refuse(id, err)
	case hello.Role == pb.Role_CLIENT:
		a.clientConnected(now, id, peer, hello)
	default: // an operator: acceptRole accepts no other role
		peer.role = hello.Role
		a.network.Send(id, a.hello())
	}
}

// acceptRole returns an error if peers with the hello's role may not connect to an allocator.
func acceptRole(hello *pb.Hello) error {
	if hello.Role != pb.Role_CLIENT && hello.Role != pb.Role_OPERATOR {
		return fmt.Errorf("an allocator serves owners and operators, not the role %s", hello.Role)
	}
	return nil
}

// clientConnected opens a client's session and closes an earlier one under the same name.
func (a *acceptor) clientConnected(
	now placement.Millis, id transport.ConnID, peer *connection, hello *pb.Hello,
) {
	if earlier, ok := a.clients.get(hello.Name); ok {
		a.connections.refuse(earlier.conn, fmt.Errorf("another connection came in under the name %s", hello.Name))
	}
	peer.role = hello.Role
	peer.client = a.clients.open(id, hello.Name)
	peer.client.transit.observe(now, hello.SentMs)
	a.network.Send(id, a.hello(a.runningWorkloads(now, hello.Name)...))
}

// runningWorkloads returns a client's placed workloads, ordered by the workload number of their bind ids.
func (a *acceptor) runningWorkloads(now placement.Millis, client string) []*pb.RunningWorkload {
	var running []*pb.RunningWorkload
	placed := a.workloads.ofClient(client, func(w *workload) bool { return w.state == workloadPlaced })
	for _, w := range placed {
		running = append(running, &pb.RunningWorkload{Offer: a.workloads.offer(now, w)})
	}
	slices.SortStableFunc(running, func(x, y *pb.RunningWorkload) int {
		return cmp.Compare(x.Offer.Bind.Workload, y.Offer.Bind.Workload)
	})
	return running
}
