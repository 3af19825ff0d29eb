package native

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// Three days, a minute at a time: nodes are replaced in new cells, clients connect under new names, send requests with weeks
// of time and leave, gangs start and end, connections break. All state stays within a bound.
func TestFrontend_StateOverDays_StaysBounded(t *testing.T) {
	x := newFixture(t, func(c *Config) { c.EventLogSize = 100 })
	for minute := range uint32(3 * 24 * 60) {
		id, client := minute+1, transport.ConnID(1e6+minute)
		e := nodeEntry(id, "z", fmt.Sprint("cell-", minute))
		e.Address, e.UpForMs = fmt.Sprint("at-", id), 5
		x.snapshot(e)
		n := x.network.dialed[e.Address]
		require.NotZero(t, n)
		x.f.Opened(x.now, n)
		x.receive(n, transport.HelloFrame(&pb.Hello{Role: pb.Role_NODE, Name: "n", Node: id, Incarnation: 1, UpForMs: 5}))
		x.runUntil(x.now + 25e3) // warm-up budgets apply only some time after the start
		x.f.Opened(x.now, client)
		x.receive(client, transport.HelloFrame(&pb.Hello{Role: pb.Role_CLIENT, Name: fmt.Sprint("client-", minute), Incarnation: 1, SentMs: 1}))
		part := func(k uint64) *pb.PlaceRequest {
			return &pb.PlaceRequest{Key: uint64(minute)*10 + k, Service: uint64(minute), Group: "serve", Cores: 1, Memory: 1, ExpectedRuntimeMs: 1}
		}
		a := part(0)
		a.RequestId, a.PendingTimeoutMs = 1, 30*24*3600e3
		x.receive(client, &pb.Frame{Body: &pb.Frame_PlaceRequest{PlaceRequest: a}})
		x.receive(client, &pb.Frame{Body: &pb.Frame_GangRequest{GangRequest: &pb.GangRequest{
			RequestId: 2, PendingTimeoutMs: 30 * 24 * 3600e3, Parts: []*pb.PlaceRequest{part(1), part(2)},
		}}})
		offers := x.offers(n)
		require.Len(t, offers, 3)
		for _, o := range offers {
			x.startWorkload(n, o.Bind)
		}
		x.runUntil(x.now + 1e3)
		for _, o := range offers {
			x.endWorkload(n, o.Bind, pb.Reason_FINISHED)
		}
		x.f.Closed(x.now, client, transport.ErrClosedByPeer)
		x.f.Closed(x.now, n, transport.ErrClosedByPeer)
		x.runUntil(x.now + 34e3)
		clear(x.network.sent)
		clear(x.network.closed)
		for part, n := range x.stateSizes() {
			require.LessOrEqual(t, n, 16, "minute %d: %s", minute, part)
		}
	}
	assert.EqualValues(t, 2*3*24*60, x.f.Counters.Requests)
	assert.EqualValues(t, 3*24*60, x.f.Counters.GangsPlaced)
}

// stateSizes are the sizes of everything that the frontend keeps.
func (x *fixture) stateSizes() map[string]int {
	f, nodes := x.f, x.f.nodes.table
	return map[string]int{
		"connections": len(f.connections.byID), "clients": len(f.clients.byName), "nodes": len(nodes.sorted),
		"workloads": len(f.workloads.byID), "requests": len(f.workloads.byRequest), "keys": len(f.workloads.byKey),
		"adopted binds": len(f.workloads.byAdopted), "gangs": len(f.gangs.byRequest),
		"deferred calls": f.core.DeferredCalls(), "timers": f.core.PendingTimers(),
		"zones": len(nodes.zones.byName), "zone numbers": len(nodes.zones.used),
		"cells": len(nodes.cells.byName), "cell numbers": len(nodes.cells.used), "removed nodes": len(nodes.removed),
		"health checks": f.nodes.healthChecks.Len(),
		"engine":        f.core.Engine().WorkloadCount(), "pending requests": f.Pending(),
	}
}

func TestWorkloadIDs_LastOnes_KeptForAdoption(t *testing.T) {
	x := newFixture(t)
	n := x.node(1)
	x.f.workloads.lastID = maxRequestedID - 1
	x.request(1, "serve")
	x.offer(n)
	x.request(2, "serve")
	f := x.network.take(clientConn)
	assert.Equal(t, "the allocator has named all its workloads; restart it", f[0].GetAnswer().GetReason())
	running := func(no uint64) *pb.RunningWorkload {
		return &pb.RunningWorkload{Running: true, Offer: &pb.Offer{
			Bind: &pb.BindID{Allocator: "a", Incarnation: 3, Workload: no}, Client: "o",
			Request: &pb.PlaceRequest{RequestId: 70 + no, Key: 700 + no, Service: 1, Group: "serve", Cores: 1, Memory: 1},
		}}
	}
	x.f.workloads.lastID = math.MaxUint32 - 1
	x.disconnect(n)
	x.reconnectNode(running(1), running(2))
	assert.EqualValues(t, uint32(math.MaxUint32), x.f.workloads.lastID, "the id 0 is never given out")
	assert.Equal(t, 1, x.f.WorkloadCount())
}

// A gang that waits for its next attempt has no workloads, and was not counted under the limit.
func TestGang_WaitingForRetry_CountsAgainstMaxWorkloads(t *testing.T) {
	x := newFixture(t, func(c *Config) { c.MaxWorkloads = 3 })
	n := x.node(1)
	x.requestGang(1)
	for _, o := range x.offers(n) {
		x.answerOffer(n, o.Bind, false, pb.Reason_QUEUE_FULL)
	}
	require.Len(t, x.f.gangs.byRequest, 1)
	require.Equal(t, 0, x.f.WorkloadCount())
	x.requestGang(2)
	assert.Equal(t, map[uint64]pb.Verdict{2: pb.Verdict_REJECTED}, x.verdicts())
}
