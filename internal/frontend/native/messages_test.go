package native

import (
	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// The groups of the harness's settings.
const (
	idempotent = "serve"
	atMostOnce = "once"
	byKey      = "check"
)

const (
	clientName           = "o"
	allocatorName        = "a"
	allocatorIncarnation = 5
	earlierIncarnation   = 3
	nodeIncarnation      = 1    // incarnation of nodes that were not restarted
	longRunning          = -1.0 // uptime of nodes that have been up for a long but unknown time
)

// placeRequest returns a request for a workload with one core, one unit of memory and a timeout of 6 s.
func placeRequest(id uint64, group string) *pb.PlaceRequest {
	return &pb.PlaceRequest{
		RequestId:         id,
		Key:               id + 100,
		Service:           1,
		Group:             group,
		Cores:             1,
		Memory:            1,
		PendingTimeoutMs:  6000,
		ExpectedRuntimeMs: 1000,
	}
}

// gangPartRequest returns a part of a request for a gang.
func gangPartRequest(key uint64) *pb.PlaceRequest {
	return &pb.PlaceRequest{
		Key:               key,
		Service:           1,
		Group:             idempotent,
		Cores:             1,
		Memory:            1,
		ExpectedRuntimeMs: 1000,
	}
}

// gangRequestOfTwo returns a request for a gang of two parts with a timeout of 6 s.
func gangRequestOfTwo(id uint64) *pb.GangRequest {
	return &pb.GangRequest{
		RequestId:        id,
		PendingTimeoutMs: 6000,
		Parts:            []*pb.PlaceRequest{gangPartRequest(id * 10), gangPartRequest(id*10 + 1)},
	}
}

// runningOf returns the entry in a node's hello for a running workload whose offer the node accepted.
func runningOf(offer *pb.Offer) *pb.RunningWorkload {
	return &pb.RunningWorkload{Offer: offer, Running: true}
}

// earlierOffer returns an offer from an earlier incarnation of the allocator, with that incarnation's workload id.
func earlierOffer(workload uint64, group string) *pb.Offer {
	return &pb.Offer{
		Bind: &pb.BindID{
			Allocator:   allocatorName,
			Incarnation: earlierIncarnation,
			Workload:    workload,
		},
		Client: clientName,
		Request: &pb.PlaceRequest{
			RequestId: 70 + workload,
			Key:       700 + workload,
			Service:   1,
			Group:     group,
			Cores:     1,
			Memory:    1,
		},
	}
}

// gangPart returns a part of a gang that needs all its parts to run.
func gangPart(part, of uint32) *pb.GangPart {
	return &pb.GangPart{
		Part:     part,
		Of:       of,
		MinParts: of,
	}
}

// earlierGangPart returns the entry in a node's hello for a part of a gang that an earlier incarnation started.
func earlierGangPart(workload uint64, group string, part *pb.GangPart, confirmed bool) *pb.RunningWorkload {
	offer := earlierOffer(workload, group)
	offer.Request.RequestId = 7
	offer.Gang = part
	return &pb.RunningWorkload{
		Offer:     offer,
		Running:   true,
		Confirmed: confirmed,
	}
}

// listEntry returns a ready node as the discovery service lists it.
func listEntry(id uint32, zone, cell string) *pb.NodeEntry {
	return &pb.NodeEntry{
		Id:          id,
		Kind:        "k",
		Zone:        zone,
		Cell:        cell,
		Incarnation: nodeIncarnation,
		UpForMs:     longRunning,
		FreeCores:   10,
		FreeMemory:  20,
		Address:     "far",
	}
}

func nodeListUpdate(update *pb.NodeListUpdate) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_NodeListUpdate{NodeListUpdate: update}}
}

func healthCheck() *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_HealthCheck{HealthCheck: &pb.HealthCheck{}}}
}

func clientHello(name string) *pb.Frame {
	return transport.HelloFrame(&pb.Hello{
		Role:        pb.Role_CLIENT,
		Name:        name,
		Incarnation: 1,
	})
}

func discoveryHello() *pb.Frame {
	return transport.HelloFrame(&pb.Hello{
		Role:        pb.Role_DISCOVERY,
		Name:        "list",
		Incarnation: 1,
	})
}
