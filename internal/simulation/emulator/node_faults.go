package emulator

import (
	"math"

	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// pacedEvictionInterval is the time in ms between the evictions of a paced drain.
const pacedEvictionInterval = placement.Millis(300)

// UsageSurge is a fault: some services use far more than they requested.
type UsageSurge struct {
	Group  string  // "" for every group
	Share  float64 // share of the services that surge
	Factor float64 // multiplies their usual use
}

// surgeFactor returns the factor by which a surge multiplies the use of a task, 1 without a surge.
func (n *Node) surgeFactor(t *Task) float64 {
	surge := n.Surge
	request := t.Offer.Request
	affected := (surge.Group == "" || surge.Group == request.Group) && ServiceFactor(request.Service+2)-0.5 < surge.Share
	if surge.Factor > 1 && affected {
		return surge.Factor
	}
	return 1
}

// Drain sets whether the node drains, and announces it.
func (n *Node) Drain(now placement.Millis, draining bool) {
	n.now = now
	n.draining = draining
	n.register(now)
	if n.model.AnnouncesDrain {
		for _, conn := range n.allocatorConns() {
			n.network.Send(conn, &pb.Frame{Body: &pb.Frame_Drain{Drain: &pb.Drain{Draining: draining}}})
		}
	}
	if draining && n.model.DrainMode != scenario.DrainKeeps {
		n.evictAll(now)
	}
	n.wake()
}

// evictAll evicts all tasks of a draining node, at once or one by one as its model says.
func (n *Node) evictAll(now placement.Millis) {
	for n.draining && len(n.tasks) > 0 {
		n.endTask(now, n.tasks[0], pb.Reason_DRAINED)
		if n.model.DrainMode == scenario.DrainPaced {
			n.timers.Schedule(now+pacedEvictionInterval, n.evictAll)
			return
		}
	}
}

// UnblockStarts starts the tasks that were accepted while starts were blocked.
func (n *Node) UnblockStarts(now placement.Millis) {
	n.now = now
	n.StartsBlocked = false
	n.startNext(now)
	n.wake()
}

// DropCachedPrograms drops a share of the cached programs, the least recently used first.
func (n *Node) DropCachedPrograms(share float64) {
	n.cachedPrograms = n.cachedPrograms[int(math.Ceil(share*float64(len(n.cachedPrograms)))):]
}
